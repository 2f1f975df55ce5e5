#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript, run by Node.js 20 without a build: checks them.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins/*.mjs [1-5]/*.mjs; do node --check "$file"; done
