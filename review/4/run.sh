#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
rm -f "$folder/record.txt"
node "$folder/run.mjs"
code=$?
grep -q ' verdict ' "$folder/record.txt" 2>/dev/null || exit 2
exit "$code"
