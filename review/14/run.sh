#!/bin/bash
# A configuration moves a route to another service, and no longer lists the one before.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.."
standins=target/review-3/standins
if [ ! -x "$standins" ] || [ ! -x target/release/monsoonspread ]; then
    echo "not built: build the program of the deploy file, then run review/build-3.sh" >&2
    exit 2
fi
TMPDIR=$(mktemp -d)
export TMPDIR
set -m
timeout -s KILL 115 "$standins" config review/14/record.txt &
group=$!
set +m
wait "$group"
code=$?
# Only processes of the group that was started here.
kill -KILL -- "-$group" 2>/dev/null
rm -rf "$TMPDIR"
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
