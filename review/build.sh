#!/bin/sh
# Builds the stand-ins and drivers of the cases into review/bin, from the module's own packages and the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in 1 2 3; do
  if [ -f "review/$n/main.go" ]; then
    go build -o "review/bin/case$n" "./review/$n"
  fi
done
