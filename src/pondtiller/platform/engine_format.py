"""The names of `headers`, `engine_answers`, `engine_orders` and `events` at their former place.

For modules that have not moved to these; it holds nothing of its own.
"""

from pondtiller.platform.engine_answers import (
    MISDIRECTED,
    answer_version,
    is_not_run,
    names_request,
    signature,
)
from pondtiller.platform.engine_orders import (
    EngineReport,
    engine_report,
    order_body,
    order_headers,
)
from pondtiller.platform.events import EventReader, StreamEvent
from pondtiller.platform.headers import (
    Headers,
    continued,
    forwarded_headers,
    header,
    returned_headers,
    sample_headers,
    scorer_headers,
    tenant_headers,
)
from pondtiller.platform.values import address

__all__ = [
    "MISDIRECTED",
    "EngineReport",
    "EventReader",
    "Headers",
    "StreamEvent",
    "address",
    "answer_version",
    "continued",
    "engine_report",
    "forwarded_headers",
    "header",
    "is_not_run",
    "names_request",
    "order_body",
    "order_headers",
    "returned_headers",
    "sample_headers",
    "scorer_headers",
    "signature",
    "tenant_headers",
]
