#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
rm -f "$folder/record.txt"
node "$folder/run.mjs" &
pid=$!
# A script that is ended early ends what it has started, too.
trap 'kill "$pid" 2>/dev/null' TERM INT HUP
wait "$pid"
code=$?
while kill -0 "$pid" 2>/dev/null; do
	wait "$pid"
	code=$?
done

grep -q ' verdict ' "$folder/record.txt" 2>/dev/null || exit 2
exit "$code"
