#!/bin/sh
# Runs the script of a case five times and prints how often the rule broke.
cd "$(dirname "$0")/../$1" || exit 2
broken=0
for _ in 1 2 3 4 5; do
    ./run.sh
    code=$?
    echo "exit code $code"
    [ "$code" = 1 ] && broken=$((broken + 1))
done
echo "case $1: broken in $broken of 5"
