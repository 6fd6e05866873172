#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are plain modules that need no build step: this checks
# that each of them can be read.
set -e
cd "$(dirname "$0")"
for module in lib-2/*.mjs lib-3/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ ! -e "$module" ] || node --check "$module"
done
