#!/usr/bin/env bash
# The stand-ins of the second review are plain modules of Node and need no build; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in support-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
	[ ! -e "$file" ] || node --check "$file"
done
