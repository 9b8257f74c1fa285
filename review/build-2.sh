#!/usr/bin/env bash
# Bundles the scripts of the second review and the stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in 6 7 8 9 10; do
  [ -f "review/$case/main.ts" ] || continue
  node_modules/.bin/esbuild "review/$case/main.ts" --bundle --platform=node \
    --target=node20 --format=cjs --log-level=warning \
    --outfile="target/review-2/$case.cjs"
done
