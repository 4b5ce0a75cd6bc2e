#!/bin/sh
# Runs the script of a case without its disruption, then five times with it.
# Usage: review/run5.sh N
cd "$(dirname "$0")/.." || exit 2
TROUBLE=0 "review/$1/run.sh" >/dev/null 2>&1
echo "case $1, TROUBLE=0: exit $?"
for attempt in 1 2 3 4 5; do
    "review/$1/run.sh" >/dev/null 2>&1
    echo "case $1, run $attempt: exit $?"
done
