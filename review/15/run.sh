#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and
# review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standins-3 ] && [ -x target/release/radishgauged ] || exit 2
exec target/review/standins-3 limit-after-fault review/15/record.txt
