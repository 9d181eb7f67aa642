#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the bundle of the
# deploy file: the project's own stand-ins, from their sources. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
node tools/prepare.js
