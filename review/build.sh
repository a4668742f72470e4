#!/usr/bin/env bash
# Builds the stand-ins that the cases start: they are plain JavaScript, so this only checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/run.mjs; do
    node --check "$file"
done
