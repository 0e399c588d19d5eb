#!/bin/sh
# Builds the scenarios of review/6 to review/10 into target/review-2, after the build of the deploy
# file. They need a C++20 compiler and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 8 9 10; do
    if [ -f "review/$case/scenario.cc" ]; then
        "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread \
            -o "target/review-2/case-$case" "review/$case/scenario.cc"
    fi
done
