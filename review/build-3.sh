#!/bin/bash
# The stand-ins of these scripts are plain JavaScript and need no build; this checks that they can be parsed.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
    node --check "$file"
done
