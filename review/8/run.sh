#!/bin/sh
# Plays the case of claim.txt; see there. Exit code: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in bin/relay review/stand-2/bin/stand-2; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of the deploy file and review/build-2.sh"
    exit 2
  fi
done
exec review/stand-2/bin/stand-2 drain-blocks "$PWD" "$PWD/review/8"
