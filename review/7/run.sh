#!/usr/bin/env bash
# Plays the case; see claim.txt. Needs the build of the deploy file and
# review/build-2.sh. With TROUBLE=0 it plays the same without the disruption.
cd "$(dirname "$0")/../.."
[ -f target/daemon.cjs ] && [ -f target/review-2/7.cjs ] || exit 2
# A range of ports of its own, so that cases can run beside each other.
export CUCUMBER_WORKER_ID="${CUCUMBER_WORKER_ID:-2}"
CASE_FOLDER="$PWD/review/7" exec node target/review-2/7.cjs
