#!/bin/sh
# Checks that the stand-ins of review/6 to review/10 can be loaded. They are
# Python and use the libraries of target/deps, so nothing is compiled.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 exec python3 -c '
import review.support_2.clients, review.support_2.system, review.support_2.workers
'
