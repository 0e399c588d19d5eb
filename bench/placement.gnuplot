# Plots the worth of a request under each placement of placement_bench, by shape and load.
# Usage: gnuplot -e "csv='placement.csv'; out='placement.png'" bench/placement.gnuplot
set datafile separator ','
set terminal pngcairo size 1400,700
set output out
set key top right
set xlabel 'load, multiples of the capacity'
set ylabel 'worth of a request, mean of all seeds with its 95% interval'
set yrange [0:1]
set xrange [0.3:3.2]
set xtics 0.5
set multiplot layout 1,3
do for [s in 'catalogue-34 catalogue-5 timetable-4'] {
    set title s
    plot for [p in 'shipped previous least-connections round-robin'] csv \
        using (strcol(1) eq s && strcol(3) eq p ? $2 : NaN):4:5 every ::1 \
        with yerrorlines title p
}
unset multiplot
