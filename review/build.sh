#!/bin/sh
# The stand-ins of the cases are plain modules in review/lib, run by Node.js as they are; nothing has to be compiled.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do node --check "$file"; done
test -f ../target/plantaindrum.cjs || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
