"""Checks imports: pure packages stay pure, layers import downward, no module imports itself."""

import ast
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent / "src" / "pondtiller"
LAYERS = (
    ("address", "errors", "hashing"),
    ("wire",),
    ("coordination",),
    ("table",),
    ("routes",),
    ("steplog",),
    ("rollouts", "usage"),
    ("process",),
    ("httpio",),
    ("links",),
    ("platform",),
    ("peers",),
    ("store",),
    ("settings",),
    ("replica", "gateway.metrics"),
    ("gateway.engines",),
    ("gateway.callers",),
    ("gateway.runs",),
    ("gateway.leader",),
    ("gateway.watches",),
    ("gateway.pages",),
    ("gateway",),
    ("programs",),
    ("serve.core",),
    ("serve.systems", "serve.deployment"),
    ("serve.emulator",),
    ("serve.simulation", "serve.daemon"),
    ("serve.demo",),
    ("standins",),
    ("soak",),
    ("cli",),
)
"""Packages, lowest first: each imports from its own and from lower layers only, and not from those
that share its layer."""
APART = {
    "serve": ("peers", "store", "settings", "replica", "gateway", "programs"),
}
"""Packages that know nothing of others, though these are lower."""
PURE = (
    "address",
    "coordination",
    "errors",
    "hashing",
    "rollouts",
    "routes",
    "serve.core",
    "serve.systems",
    "steplog",
    "table",
    "usage",
    "wire",
)
PURE_MODULES = (
    "serve/emulator/engine.py",
    "serve/emulator/object_store.py",
    "serve/emulator/trainer.py",
)
"""Models of a package that also holds their sockets."""
MODELS = "serve.emulator"
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
GLOBAL_RANDOM = {"random", "choice", "uniform", "shuffle", "sample", "randint", "getrandbits"}


def pure_files() -> list[Path]:
    """Return the modules that must stay pure."""
    files = [path for package in PURE for path in files_of(package)]
    files += [ROOT / name for name in PURE_MODULES]
    return sorted(path for path in files if "tests" not in path.parts)


def files_of(package: str) -> list[Path]:
    """Return the modules of a package, or the one module of that name."""
    place = ROOT.joinpath(*package.split("."))
    return (
        [place.with_suffix(".py")] if place.with_suffix(".py").exists() else [*place.rglob("*.py")]
    )


def problems_of(path: Path) -> list[str]:
    """Return each forbidden import or call of the shared random source in a module."""
    problems: list[str] = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        for name in imported(node):
            if name.split(".")[0] in FORBIDDEN or is_impure(name):
                problems.append(f"{path.relative_to(ROOT)}:{node.lineno}: imports {name}")
        if is_shared_random(node):
            problems.append(
                f"{path.relative_to(ROOT)}:{node.lineno}: uses the shared random source"
            )
    return problems


def is_impure(name: str) -> bool:
    """Return whether a module of ours does more than decide."""
    package = package_of(name)
    return package is not None and package not in (*PURE, MODELS)


def package_of(name: str) -> str | None:
    """Return the package among the layers that holds a module; None where it is not ours."""
    parts = name.split(".")
    if parts[0] != "pondtiller":
        return None
    for length in (2, 1):
        package = ".".join(parts[1 : 1 + length])
        if any(package in layer for layer in LAYERS):
            return package
    return None


def upward(imports: dict[str, set[str]]) -> list[str]:
    """Return each import of a higher layer, of a neighbour in its layer, or of what is apart."""
    levels = {package: level for level, layer in enumerate(LAYERS) for package in layer}
    problems = []
    for name in sorted(imports):
        own = package_of(name)
        if own is None:
            problems.append(f"{name}: stands in no layer")
            continue
        for other in sorted(imports[name]):
            package = package_of(other)
            if package is None or package == own:
                continue
            is_apart = package.split(".")[0] in APART.get(own.split(".")[0], ())
            if levels[package] >= levels[own] or is_apart:
                problems.append(f"{name}: may not import {other}")
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
        if "tests" not in path.parts and path.name not in ("__init__.py", "conftest.py")
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
    imports = module_imports()
    problems += circles(imports)
    problems += upward(imports)
    print("\n".join(problems) or "imports: ok")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
