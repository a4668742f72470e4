#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain JavaScript in review/lib-2 and in the cases; this checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs [0-9]*/*.mjs; do
    node --check "$file" || exit 1
done
