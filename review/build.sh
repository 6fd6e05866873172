#!/bin/sh
# The stand-ins are plain modules that need no build; checks that each of them can be read.
set -e
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/case.mjs; do node --check "$file"; done
