#!/bin/sh
# Bundles the scripts of the cases and their stand-ins into target/review.
set -eu
cd "$(dirname "$0")/.."
npx esbuild review/*/case.ts --bundle --platform=node --target=node20 \
  --format=cjs --outbase=review --outdir=target/review \
  --out-extension:.js=.cjs --log-level=warning
