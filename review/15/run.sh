#!/usr/bin/env bash
# A roll-out with a time budget of 12 s to a version that turns bad 8.7 s after the order. 8.8 s after it all machines of the core lose power for 3 s.
# TROUBLE=0: the core runs on.
# Exits with 1 if EXPOSURE was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/rollout ] && [ -x target/bin/siskinshunt ] || { echo "build first: the line build of deploy/system.toml, then review/build-3.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
arguments="12 8.7 8.8 3.0 core"
[ "${TROUBLE:-1}" = 0 ] && arguments="12 8.7 0 0 none"
# shellcheck disable=SC2086
timeout -k 1 116 target/review-3/rollout "$folder" review/15/record.txt $arguments
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
