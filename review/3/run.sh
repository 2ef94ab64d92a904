#!/bin/sh
# Runs the case. TROUBLE=0 leaves out the disruption. Exit code: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/relay ] && [ -x review/bin/case3 ] || { echo "build first: build of deploy/balancer.toml, then review/build.sh"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 review/bin/case3 -record review/3/record.txt -folder "$folder"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
