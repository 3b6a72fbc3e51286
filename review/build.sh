#!/bin/bash
# Builds the stand-ins: they are Python files, which are checked here. The libraries that
# they use come with the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo 'run the build of deploy/system.toml first' >&2; exit 1; }
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
for file in review/common/*.py review/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
bash -n review/common/run
python3 -c 'import yuccarelay.standins.platform_store'
