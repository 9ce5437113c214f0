#!/bin/sh
# Builds the stand-ins of the review: Python 3 with its standard library alone, so they are only compiled here.
# The head itself comes from the build of the deploy file.
cd "$(dirname "$0")" || exit 1
for file in lib/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
