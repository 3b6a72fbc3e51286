#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/parts-2:.
python3 "$here/case.py" "$here" &
case=$!
trap 'kill -TERM $case 2>/dev/null' TERM INT
wait $case
status=$?
if [ $status -gt 128 ]; then
    wait $case
    status=$?
fi
case $status in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
