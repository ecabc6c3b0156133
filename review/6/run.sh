#!/bin/sh
# Another writer leaves an odd entry among those of the instances. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-2/rig ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
exec ../../target/review-2/rig odd-entry record.txt
