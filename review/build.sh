#!/bin/bash
# The stand-ins are Python 3.11 programs of the standard library alone, so that there is nothing to compile: checks that they can run.
cd "$(dirname "$0")" || exit 1
for program in lib/*.py; do
    python3 -c 'import ast, sys, tomllib; ast.parse(open(sys.argv[1]).read())' "$program" || exit 1
done
