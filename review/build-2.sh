#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start: checks that they, the
# project's own ones among them, can be loaded with the libraries of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/parts-2:. \
    python3 -c 'import stage, worker, yuccarelay.standins.platform_store'
echo 'stand-ins of review/parts-2: ready'
