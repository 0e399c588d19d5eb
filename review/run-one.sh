#!/bin/sh
# Runs the script of one case, within 120 seconds: review/run-one.sh CASE
cd "$(dirname "$0")/.." || exit 2
[ -x "target/bin/jackdawweir-platform" ] && [ -x "target/review/case-$1" ] || exit 2
exec timeout -k 5 115 "target/review/case-$1" "review/$1/record.txt"
