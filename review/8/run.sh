#!/bin/sh
# Plays the case of claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't
# run. TROUBLE=0 leaves out the disruptions, WIPE=0 only the loss of the disk.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-8 ] && [ -x target/bin/jackdawweir-platform ] || exit 2
target/review-2/case-8 review/8/record.txt
