#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hq-gateway ] && [ -x target/review-refusals ] || { echo "build first: the build command of deploy/system.toml, then review/build-2.sh" >&2; exit 2; }
exec target/review-refusals review/7/record.txt
