"""Log lines of requests that are rejected before any processing."""

from pondtiller.gateway.callers.request_routing import HOME_REASONS, Reason, Refusal
from pondtiller.gateway.callers.table_in_force import TableReading
from pondtiller.hashing import DIGEST_SHOWN
from pondtiller.platform.requests import CallerRequest
from pondtiller.process import logs


def log_refusal(refusal: Refusal, request: CallerRequest, decided_by: TableReading) -> None:
    """Log why a request is rejected.

    Nothing is logged for a gateway without a table or with keys that are too old: readiness and the
    event `keys_trusted` report that once for all requests.
    """
    if refusal.reason is Reason.NO_ROUTE:
        logs.decision(
            "no_route",
            request=request.identifier,
            host=request.host,
            path=request.path,
            version=refusal.version,
            table_age=decided_by.age_seconds,
        )
    elif refusal.reason is Reason.UNKNOWN_KEY:
        logs.decision(
            "key_refused",
            request=request.identifier,
            host=request.host,
            path=request.path,
            digest=(request.key_digest or "none")[:DIGEST_SHOWN],
            version=refusal.version,
            table_age=decided_by.age_seconds,
        )
    elif refusal.reason in HOME_REASONS:
        logs.decision(
            "home_refused",
            request=request.identifier,
            route=refusal.label,
            homes=",".join(sorted(refusal.homes)),
            reason=HOME_REASONS[refusal.reason],
        )
