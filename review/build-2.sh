#!/bin/sh
# Builds the stand-ins that the scripts of review/4 and later start, after the build of the deploy file.
cd "$(dirname "$0")/.." && npm run --silent build
