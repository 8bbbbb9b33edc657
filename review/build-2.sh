#!/bin/sh
# The stand-ins of the cases from 4 on are Python's standard library alone: nothing to build.
# This checks that they can be read; run it from anywhere, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec python3 -c 'import ast, glob
for path in ["review/lab2.py", *sorted(glob.glob("review/[4-8]/case.py"))]:
    ast.parse(open(path).read(), path)
    print("read", path)'
