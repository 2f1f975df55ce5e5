#!/bin/bash
# Builds what the scripts of the cases 11 to 15 start: the program of the deploy file and the project's
# own stand-ins. The other stand-ins, in stand_ins_3, need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -p tsconfig.platform.json
npx tsc -p tsconfig.json
