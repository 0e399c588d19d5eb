#!/bin/sh
# Runs the script in a folder below review/, within 120 seconds: review/run-one.sh FOLDER
cd "$(dirname "$0")/.." || exit 2
program=target/review/$(basename "$1")
[ -x target/bin/jackdawweir-platform ] && [ -x "$program" ] || exit 2
timeout -k 2 115 "$program" "review/$1/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
