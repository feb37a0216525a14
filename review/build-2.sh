#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the program of the deploy file. Their stand-ins are plain
# JavaScript in review/lib-2, which needs no build; this checks that Node reads them.
cd "$(dirname "$0")" || exit 2
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
    [ -e "$file" ] || continue
    node --check "$file" || exit 2
done
