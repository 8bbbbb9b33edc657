#!/bin/bash
# Builds the stand-ins of the review's scripts: plain Python of the standard library (lab.py), so
# there is nothing to make but a look whether this Python can read them.
cd "$(dirname "$0")" || exit 2
python3 - <<'END'
import ast, pathlib
for path in [pathlib.Path("lab.py"), pathlib.Path("losses.py"), *sorted(pathlib.Path(".").glob("[123]/case.py"))]:
    ast.parse(path.read_text(), str(path))
END
