#!/usr/bin/env bash
# 0: the rule held; 1: it was broken; 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review/case-3 ] && [ -x target/amaranthvale-gateway ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec timeout -k 2 110 build/review/case-3 review/3
