"""Sample documents: a configuration as the operator writes it, a step as a trainer submits it."""

import base64
from collections.abc import Sequence
from typing import Any

from pondtiller.standins.engine import StandInEngine


def with_tenants(
    given: dict[str, Any], keys: dict[str, list[str]], public: tuple[str, ...] = ()
) -> dict[str, Any]:
    """Return a configuration whose routes need a key of a tenant, but for the public ones."""
    routes = [{**each, "public": each["name"] in public} for each in given["routes"]]
    tenants = [{"name": name, "api_keys": held} for name, held in keys.items()]
    return {**given, "routes": routes, "tenants": tenants}


def copied_route(route: dict[str, Any], name: str, path: str, limit_ms: int) -> dict[str, Any]:
    """Return a route like another one, at another path and with another time limit."""
    return {**route, "name": name, "path_prefix": path, "timeout_ms": limit_ms}


def public_routes(host: str, paths: Sequence[str], service: str) -> list[dict[str, Any]]:
    """Return routes for requests that may be repeated and need no key, one for each path."""
    return [
        {
            "name": f"{host}{path}",
            "host": host,
            "path_prefix": path,
            "kind": "safe",
            "service": service,
            "public": True,
        }
        for path in paths
    ]


def configuration(version: int, *engines: StandInEngine) -> dict[str, Any]:
    """Return a configuration with a route for whole requests and one for steps."""
    services = sorted({engine.service for engine in engines})
    return {
        "version": version,
        "routes": [
            {
                "name": "quotes",
                "host": "app.example",
                "path_prefix": "/quote/",
                "kind": "safe",
                "timeout_ms": 1500,
                "slo_ms": 200,
                "service": "app",
                "max_attempts": 3,
            },
            {
                "name": "listings",
                "host": "app.example",
                "path_prefix": "/list/",
                "kind": "unsafe",
                "timeout_ms": 1500,
                "slo_ms": 200,
                "service": "app",
                "max_attempts": 3,
            },
            {
                "name": "rollouts",
                "host": "train.example",
                "path_prefix": "/rollout/",
                "kind": "rollout",
                "timeout_ms": 9000,
                "slo_ms": 400,
                "service": "llm",
                "max_attempts": 3,
                "run_deadline_ms": 7500,
                "queue_ttl_s": 40,
            },
        ],
        "services": [{"name": name, "health_path": "/healthz"} for name in services],
        "limits": {},
    }


def step_body(step: str, samples: int, oldest: int) -> dict[str, Any]:
    """Return a step as a trainer submits it."""
    return {
        "step": 1,
        "model": "m",
        "min_version": oldest,
        "desired": 1,
        "requests": [
            {
                "id": f"{step}-{number}",
                "path": f"/rollout/{number}",
                "headers": {"Model": "m", "Token-Count": "10,20", "Prompt-Prefix": "aa:10"},
                "body": base64.b64encode(b"prompt").decode(),
                "tokens": 30,
                "group": f"{step}-g{number // 2}",
                "scorer": {
                    "id": f"{step}-{number}-score",
                    "host": "app.example",
                    "path": "/quote/score",
                    "body": base64.b64encode(b"judge").decode(),
                },
            }
            for number in range(samples)
        ],
    }
