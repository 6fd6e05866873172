#!/bin/sh
# Replicas whose streams go on without end in short chunks; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec node review/12/case.mjs
