#!/usr/bin/env bash
# Plays the case pause of standin-3. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lentilbend ] && [ -x target/review-3 ] || { echo "build first"; exit 2; }
exec target/review-3 pause review/15/record.txt
