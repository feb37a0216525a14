#!/bin/sh
# The stand-ins of the cases are plain JavaScript and use only Node's own modules. Checks that they can be loaded.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs earlier/[0-9]/*.mjs other/*/*.mjs; do
    [ -e "$file" ] && node --check "$file"
done
