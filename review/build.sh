#!/bin/sh
# Builds the stand-ins of the cases, after the build line of the deploy file.
# They are Python and use only what the project declares.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1 \
    exec python3 -c "import review.support.case, review.support.cut"
