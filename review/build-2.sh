#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the program of the deploy file: the stand-ins in common-2/ are plain
# JavaScript for Node.js 20 without dependencies, so that a check of their syntax is all that is left to do.
set -e
cd "$(dirname "$0")"
for file in common-2/*.mjs [6-9]/main.mjs 10/main.mjs; do
  if [ -f "$file" ]; then
    node --check "$file"
  fi
done
