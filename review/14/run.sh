#!/usr/bin/env bash
# A roll-out with a time budget of 40 s to a version that turns bad 37.5 s after the order. TROUBLE=0: the version stays good.
# Exits with 1 if EXPOSURE was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/rollout ] && [ -x target/bin/siskinshunt ] || { echo "build first: the line build of deploy/system.toml, then review/build-3.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
arguments="40 37.5 0 0 none"
[ "${TROUBLE:-1}" = 0 ] && arguments="40 37.5 0 0 good"
# shellcheck disable=SC2086
timeout -k 1 116 target/review-3/rollout "$folder" review/14/record.txt $arguments
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
