#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript for Node 20 without dependencies, so that there is nothing to compile: this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in support/*.mjs [1-5]/run.mjs; do
	node --check "$file"
done
