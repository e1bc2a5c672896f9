#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit code: 0 the rule held, 1 it was broken, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lentilbend ] && [ -x review/bin/cases ] || exit 2
exec review/bin/cases early-reject review/1
