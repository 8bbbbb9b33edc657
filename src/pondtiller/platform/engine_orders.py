"""An engine's report about itself, and orders to load a version of the weights."""

import json
from dataclasses import dataclass
from typing import Any

from pondtiller.platform import names
from pondtiller.platform.headers import Headers
from pondtiller.platform.json_values import flaw_of
from pondtiller.platform.values import started_ms
from pondtiller.rollouts.versions import OrderVersion
from pondtiller.routes.engines import name_of


def _models(given: dict[str, Any]) -> dict[str, int]:
    return {each["name"]: int(each["version"]) for each in given.get("models") or ()}


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's report about itself.

    Attributes
    ----------
    models
        Version that it serves, by model.
    orders_taken
        Orders that it has accepted since it started. The platform's name calls this a sequence.
    started_ms
        When it started, in ms since 1970; 0 if it does not say.
    """

    models: dict[str, int]
    orders_taken: int
    is_busy: bool
    started_ms: int = 0


def engine_report(body: bytes) -> EngineReport | None:
    """Parse an engine's report; None if it is invalid."""
    try:
        given = json.loads(body)
        if flaw_of(given):
            return None
        orders = int(given.get("sequence") or 0)
        started = started_ms(given.get("born"))
        return EngineReport(_models(given), orders, bool(given.get("busy")), started)
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError):
        return None


def order_body(order: OrderVersion, holder: str, fence: int) -> bytes:
    """Return the body of an order for a version."""
    return json.dumps(
        {
            "operation": "version",
            "model": order.model,
            "version": order.version,
            "mode": "wait" if order.must_wait else "retain",
            "holder": holder,
            "fencing_token": fence,
            "if_rev": order.orders_taken,
        }
    ).encode()


def order_headers(engine: str) -> Headers:
    """Return the headers of an order, which only this incarnation of the engine accepts."""
    return ((names.EXPECT_ENGINE, name_of(engine)),)
