#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, after the build of the deploy file. Those
# in stand_ins_2 are plain JavaScript; the store is the project's own, and is compiled here.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -p tsconfig.json
