#!/bin/sh
# Replicas whose streams go on without end in short chunks; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
# With TROUBLE=0 the case runs without its disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec node review/12/case.mjs
