#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-3/rig-3 ] || [ ! -x target/release/camphorloft-host ]; then
    echo "build first: the deploy file's build and review/build-3.sh"
    exit 2
fi
target/review-3/rig-3 event-steps review/15
rc=$?
[ "$rc" -le 1 ] || rc=2
exit "$rc"
