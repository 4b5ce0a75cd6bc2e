#!/usr/bin/env bash
# Builds what the scripts of the third review start, after the build of the
# deploy file. Their stand-ins are Python without libraries of their own, so it
# only checks that they and the project's programs can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=.:target/deps PYTHONDONTWRITEBYTECODE=1
python3 -c "import galenarill.cli, review.support_3.deployment"
