# Plots the figures of moves_bench for each scenario and policy.
# Usage: gnuplot -e "csv='moves.csv'; out='moves.png'" bench/moves.gnuplot
set datafile separator ','
set terminal pngcairo size 1400,900
set output out
set style data histograms
set style fill solid 0.8
set xtics rotate by -40
set key outside
set multiplot layout 2,1
set title 'Calls that met a bad version, percent of all calls (target 0.5)'
set logscale y
set yrange [0.01:200]
plot for [p in 'guarded fixed-steps immediate'] csv \
    using (strcol(3) eq p ? $9 : NaN):xtic(2) every ::1 title p
set title 'Seconds from the first fault to no traffic, p99 (target 5 at 200 calls/min)'
set yrange [0.1:2000]
plot for [p in 'guarded fixed-steps'] csv \
    using (strcol(3) eq p && $13 > 0 ? $13 : NaN):xtic(2) every ::1 title p
unset multiplot
