#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/parts-2:.
exec python3 "$here/case.py" "$here"
