"""Checks imports: pure packages stay pure, and no module imports itself by way of others."""

import ast
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent / "src" / "pondtiller"
PURE = (
    "coordination",
    "core",
    "rollouts",
    "routes",
    "steplog",
    "systems",
    "table",
    "usage",
    "wire",
)
PURE_MODULES = ("emulator/engine.py", "emulator/object_store.py", "emulator/trainer.py")
FORBIDDEN = {
    "asyncio",
    "curio",
    "datetime",
    "h11",
    "http",
    "io.open",
    "logbook",
    "logging",
    "os",
    "pathlib",
    "requests",
    "secrets",
    "select",
    "selectors",
    "signal",
    "simpy",
    "socket",
    "sqlite3",
    "subprocess",
    "threading",
    "time",
    "uuid",
}
DRIVERS = {
    "cli",
    "config",
    "daemon",
    "demo",
    "gateway",
    "httpio",
    "links",
    "platform",
    "replica",
    "simulation",
}
GLOBAL_RANDOM = {"random", "choice", "uniform", "shuffle", "sample", "randint", "getrandbits"}


def pure_files() -> list[Path]:
    """Return the modules that must stay pure."""
    files = [path for package in PURE for path in (ROOT / package).rglob("*.py")]
    files += [ROOT / name for name in PURE_MODULES]
    return sorted(path for path in files if "tests" not in path.parts)


def problems_of(path: Path) -> list[str]:
    """Return each forbidden import or call of the shared random source in a module."""
    problems: list[str] = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        for name in imported(node):
            parts = name.split(".")
            is_driver = parts[0] == "pondtiller" and len(parts) > 1 and parts[1] in DRIVERS
            if parts[0] in FORBIDDEN or is_driver:
                problems.append(f"{path.relative_to(ROOT)}:{node.lineno}: imports {name}")
        if is_shared_random(node):
            problems.append(
                f"{path.relative_to(ROOT)}:{node.lineno}: uses the shared random source"
            )
    return problems


def imported(node: ast.AST) -> list[str]:
    """Return the modules that a statement imports."""
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if isinstance(node, ast.ImportFrom) and node.module is not None:
        return [node.module]
    return []


def is_shared_random(node: ast.AST) -> bool:
    """Return whether a node calls `random.choice` and the like without a seeded source."""
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and isinstance(node.func.value, ast.Name)
        and node.func.value.id == "random"
        and node.func.attr in GLOBAL_RANDOM
    )


def module_imports() -> dict[str, set[str]]:
    """Return for each module of ours those that it imports, also late and for types only."""
    paths = {
        ".".join(("pondtiller", *path.relative_to(ROOT).with_suffix("").parts)): path
        for path in sorted(ROOT.rglob("*.py"))
        if "tests" not in path.parts and path.name != "__init__.py"
    }
    found: dict[str, set[str]] = {}
    for name, path in paths.items():
        nodes = ast.walk(ast.parse(path.read_text(encoding="utf-8")))
        found[name] = {
            each for node in nodes for each in imported_members(node) if each in paths
        } - {name}
    return found


def imported_members(node: ast.AST) -> list[str]:
    """Return the modules that a statement may import, with the names taken from a package."""
    names = imported(node)
    if isinstance(node, ast.ImportFrom):
        names += [f"{node.module}.{alias.name}" for alias in node.names]
    return names


def circles(imports: dict[str, set[str]]) -> list[str]:
    """Return each way by which a module imports itself, shortest first."""
    problems = []
    for start in sorted(imports):
        ways = [[start]]
        seen: set[str] = set()
        while ways:
            way = ways.pop(0)
            for each in sorted(imports[way[-1]]):
                if each == start and start == min(way):
                    problems.append("circle: " + " -> ".join([*way, each]))
                elif each not in seen:
                    seen.add(each)
                    ways.append([*way, each])
    return problems


def main() -> int:
    """Print all problems and return 1 where there is one."""
    problems = [problem for path in pure_files() for problem in problems_of(path)]
    problems += circles(module_imports())
    print("\n".join(problems) or "imports: ok")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
