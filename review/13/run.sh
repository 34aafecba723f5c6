#!/usr/bin/env bash
# A roll-out with a time budget of 6 s to a version that is bad under load. 15 s after the order the decision leader is killed and is back after 3 s.
# TROUBLE=0: it runs on.
# Exits with 1 if EXPOSURE was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/rollout ] && [ -x target/bin/siskinshunt ] || { echo "build first: the line build of deploy/system.toml, then review/build-3.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
arguments="6 0 15 3.0 leader 63 30 0 15"
[ "${TROUBLE:-1}" = 0 ] && arguments="6 0 0 0 none 63 30 0 15"
# shellcheck disable=SC2086
timeout -k 1 116 target/review-3/rollout "$folder" review/13/record.txt $arguments
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
