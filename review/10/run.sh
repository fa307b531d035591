#!/bin/sh
# Plays the case after the build of the deploy file and review/build-2.sh, and writes
# record.txt beside this file. With TROUBLE=0 the disruption is left out.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
# The descriptors that the platform gives to a process (limits.maxFds).
ulimit -S -n 4100 || exit 2
CASE_FOLDER=review/10 exec target/review-2/standins-2 cold
