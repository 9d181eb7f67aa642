#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the program of the deploy file. The stand-ins in common-2/ and
# standins-2/ are plain JavaScript for Node.js 20 without dependencies, so that a check of their syntax is all that is left to do;
# standins-2/ also uses the project's stand-in of the store, which is compiled here. The packages have been installed by the
# build of the deploy file; no network is needed.
set -e
cd "$(dirname "$0")/.."
node tools/prepare.js
cd review
for file in common-2/*.mjs standins-2/*.mjs [7-8]/main.mjs 6/case.mjs 9/case.mjs 10/case.mjs more-2/*/*.mjs; do
  if [ -f "$file" ]; then
    node --check "$file"
  fi
done
