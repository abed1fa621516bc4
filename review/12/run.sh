#!/bin/sh
# Runs the case "origins" of lab-3. TROUBLE=0 leaves the disruption out. Exit code 1: the rule was
# broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-lab-3 ] && [ -x target/clementineshed-relay ] || exit 2
CASE_DIR="$(pwd)/review/12"
export CASE_DIR
exec target/review-lab-3 origins
