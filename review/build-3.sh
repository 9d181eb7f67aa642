#!/bin/sh
# Builds the project's stand-ins, which the scripts of the cases 11 to 15 use beside review/standins-3, and the program
# of a host. Needs the packages that the build of the deploy file has installed, and no network.
set -e
cd "$(dirname "$0")/.."
node tools/prepare.js
node tools/bundle.js
