"""The import check refuses circles and sees each import once."""

import importlib.util
from pathlib import Path

SPEC = importlib.util.spec_from_file_location(
    "check_imports", Path(__file__).resolve().parent.parent / "check_imports.py"
)
assert SPEC is not None and SPEC.loader is not None
CHECK = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(CHECK)


def test_a_circle_is_reported_once_wherever_it_is_entered() -> None:
    imports = {"a": {"b"}, "b": {"c"}, "c": {"b", "d"}, "d": set()}
    assert CHECK.circles(imports) == ["circle: b -> c -> b"]


def test_a_tree_has_no_circle() -> None:
    assert CHECK.circles({"a": {"b", "c"}, "b": {"c"}, "c": set()}) == []


def test_imports_for_types_only_and_within_functions_count() -> None:
    imports = CHECK.module_imports()
    assert (
        "pondtiller.gateway.pages.metrics_text"
        in imports["pondtiller.gateway.pages.readiness_page"]
    )
    assert CHECK.circles(imports) == []


def test_layers_import_downward_only() -> None:
    upward = {"pondtiller.routes.engines": {"pondtiller.gateway.callers.front"}}
    apart = {"pondtiller.serve.daemon.runtime": {"pondtiller.store.mirror"}}
    neighbour = {"pondtiller.usage.meter": {"pondtiller.rollouts.steps"}}
    for refused in (upward, apart, neighbour):
        assert len(CHECK.upward(refused)) == 1
    assert CHECK.upward({"pondtiller.gateway.runs.run_host": {"pondtiller.routes.topology"}}) == []
    assert CHECK.upward({"pondtiller.elsewhere": set()}) == [
        "pondtiller.elsewhere: stands in no layer"
    ]


def test_a_pure_package_may_use_pure_ones_only() -> None:
    assert CHECK.is_impure("pondtiller.process.clock")
    assert not CHECK.is_impure("pondtiller.routes.topology")
    assert not CHECK.is_impure("sortedcontainers")
