"""Checks that each numeric constant of a module says what it bounds and why it is what it is.

A docstring under the constant, or a comment on its line or right above it, counts. Whether it tells
unit, source and reason is for readers: this finds constants that say nothing.
"""

import ast
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent / "src" / "pondtiller"
LEFT_OUT = {"tests", "wire"}
"""Folders of tests, and of messages that a generator writes."""


def bare_constants(text: str) -> list[tuple[int, str]]:
    """Return line and name of each numeric constant in a module's text that says nothing."""
    lines = text.splitlines()
    body = ast.parse(text).body
    found = []
    for statement, following in zip(body, [*body[1:], None], strict=True):
        name = constant_name(statement)
        if name is None or is_docstring(following) or has_comment(lines, statement):
            continue
        found.append((statement.lineno, name))
    return found


def constant_name(statement: ast.stmt) -> str | None:
    """Return the name of a constant that is assigned a number; None for any other statement."""
    if isinstance(statement, ast.Assign):
        target, value = statement.targets[0], statement.value
    elif isinstance(statement, ast.AnnAssign) and statement.value is not None:
        target, value = statement.target, statement.value
    else:
        return None
    if not isinstance(target, ast.Name) or not target.id.isupper():
        return None
    if not isinstance(value, ast.Constant | ast.BinOp | ast.UnaryOp):
        return None
    return target.id if any(is_number(node) for node in ast.walk(value)) else None


def is_number(node: ast.AST) -> bool:
    """Return whether a node is a number; a truth value is none."""
    return isinstance(node, ast.Constant) and type(node.value) in (int, float)


def is_docstring(statement: ast.stmt | None) -> bool:
    """Return whether a statement is a bare string, as stands under what it describes."""
    return (
        isinstance(statement, ast.Expr)
        and isinstance(statement.value, ast.Constant)
        and isinstance(statement.value.value, str)
    )


def has_comment(lines: list[str], statement: ast.stmt) -> bool:
    """Return whether a comment stands on a statement's first line or on the line above."""
    above = lines[statement.lineno - 2].lstrip() if statement.lineno >= 2 else ""
    return "#" in lines[statement.lineno - 1] or above.startswith("#")


def main() -> int:
    """Print all problems and return 1 where there is one."""
    problems = []
    for path in sorted(ROOT.rglob("*.py")):
        if LEFT_OUT & set(path.relative_to(ROOT).parts):
            continue
        for line, name in bare_constants(path.read_text(encoding="utf-8")):
            problems.append(f"{path.relative_to(ROOT)}:{line}: {name} says nothing of itself")
    print("\n".join(problems) or "constants: ok")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
