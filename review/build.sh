#!/bin/sh
# Builds the stand-ins of the scripts into target/review. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for scenario in review/[1-5]/scenario.cc review/other/*/scenario.cc; do
    [ -f "$scenario" ] || continue
    name=$(basename "$(dirname "$scenario")")
    g++ -std=c++20 -O1 -pthread -Ireview/common -o "target/review/$name" "$scenario"
done
