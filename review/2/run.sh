#!/bin/sh
# Plays the case with the stand-ins of review/build.sh. Exit code 1: the rule was broken; 0: it held; 2: the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/dahliatrack target/review/standin; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/review/standin endless-noise review/2
