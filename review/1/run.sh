#!/bin/sh
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the kill.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/target/trial ] || { echo "review/build.sh has not been run" >&2; exit 2; }
exec review/target/trial budget review/1
