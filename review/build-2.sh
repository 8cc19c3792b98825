#!/bin/sh
# The stand-ins of the second review (lib-2/ and the case.mjs of the cases) are plain modules of Node without packages.
# There is nothing to compile; this only checks that they can be parsed.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
    if [ -f "$file" ]; then
        node --check "$file"
    fi
done
