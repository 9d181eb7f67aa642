#!/usr/bin/env bash
# Builds what the scripts of the cases start: the program of a host, and the
# project's stand-ins that the cases import.
set -euo pipefail
cd "$(dirname "$0")/.."
node tools/prepare.js
node tools/bundle.js
