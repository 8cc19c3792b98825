#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript modules of Node's own library. They need no build step; this checks
# that each of them parses.
set -eu
cd "$(dirname "$0")"
for module in lib/*.mjs [0-9]*/*.mjs; do
    [ -e "$module" ] && node --check "$module"
done
