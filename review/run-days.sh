#!/bin/sh
# Plays the days of the cases on three seeds each: review/run-days.sh [CASE...]
set -u
cd "$(dirname "$0")/.."
bench=../given/kit/more/system/bin/fleetbench
site=../given/kit/more/system/sites/lidolane-bc.toml
for case in ${@:-$(ls -d review/[1-5])}; do
    case=$(basename "$case")
    [ -f "review/$case/day.toml" ] || continue
    for seed in 3 2 1; do
        report=review/$case/report.json
        [ "$seed" = 1 ] || report=review/$case/report-seed-$seed.json
        $bench run "$site" "review/$case/day.toml" --seed "$seed" --report "$report" \
            --why "independent review, case $case, seed $seed" >/dev/null 2>&1
    done
done
