#!/bin/sh
exec "$(dirname "$0")/../../run-one.sh" other/split-weights
