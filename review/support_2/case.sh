#!/bin/sh
# Runs review/$1/case.py. Exits with 1 if the rule was broken, 0 if it held, 2
# if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 -m "review.$1.case" &
pid=$!
trap 'kill "$pid"' TERM INT
code=2
while kill -0 "$pid" 2>/dev/null; do
    wait "$pid"
    code=$?
done
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
