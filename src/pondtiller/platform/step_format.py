"""Steps as trainers submit and read them on the platform."""

import base64
import binascii
import json
from typing import Any

from result import Err, Ok, Result

from pondtiller.platform import names
from pondtiller.platform.headers import CALLER_HEADERS
from pondtiller.platform.json_values import TOO_DEEP, flaw_of
from pondtiller.platform.values import MAX_INTEGER
from pondtiller.rollouts.step_record import add_sample
from pondtiller.routes.tenants import owned_name
from pondtiller.wire.steplog import Header, ResultsPage, Sample, SampleResult, Scorer, Step


def read_step(
    identifier: str, host: str, path: str, body: bytes, tenant: str = ""
) -> Result[Step, str]:
    """Parse a step that a tenant submits; the error says what is wrong with it."""
    try:
        given = json.loads(body)
        if flaw := flaw_of(given):
            return Err(flaw)
        step = Step(
            id=owned_name(tenant, identifier),
            tenant=tenant,
            host=host,
            path=path,
            number=_whole(given.get("step")),
            model=str(given.get("model") or ""),
            oldest_version=_whole(given.get("min_version")),
            desired_groups=_whole(given.get("desired")),
        )
        for each in given["requests"]:
            sample = _sample(each)
            add_sample(step, sample, expected_tokens(sample))
    except RecursionError:
        return Err(TOO_DEEP)
    except (KeyError, TypeError, ValueError, AttributeError, binascii.Error) as error:
        return Err(f"{type(error).__name__}: {error}")
    if len(set(step.sample_ids)) != len(step.sample_ids):
        return Err("a sample stands twice")
    return Ok(step)


def _whole(given: Any) -> int:
    """Return a number, 0 if it is missing; one in a text may be longer than any field."""
    number = int(given or 0)
    if abs(number) > MAX_INTEGER:
        raise ValueError("a number out of range")
    return number


def _sample(given: dict[str, Any]) -> Sample:
    scorer = given.get("scorer")
    return Sample(
        id=str(given["id"]),
        path=str(given["path"]),
        headers=[
            Header(name, str(value))
            for name, value in (given.get("headers") or {}).items()
            if name.lower() not in CALLER_HEADERS
        ],
        body=base64.b64decode(given.get("body") or "", validate=True),
        tokens=_whole(given.get("tokens")),
        group=str(given.get("group") or given["id"]),
        scorer=_scorer(scorer) if scorer else Scorer(),
    )


def expected_tokens(sample: Sample) -> float:
    """Return the expected number of tokens of a sample: the hint, or the largest allowed number."""
    given = {each.name.lower(): each.value for each in sample.headers}
    for text in (given.get(names.LENGTH_HINT), (given.get(names.TOKENS) or "").rpartition(",")[2]):
        try:
            return float(text or "")
        except ValueError:
            continue
    return float(sample.tokens)


def _scorer(given: dict[str, Any]) -> Scorer:
    return Scorer(
        id=str(given["id"]),
        host=str(given["host"]),
        path=str(given["path"]),
        body=base64.b64decode(given.get("body") or "", validate=True),
    )


def write_page(page: ResultsPage) -> bytes:
    """Return a page of results in the trainers' format."""
    results: list[dict[str, Any]] = []
    for encoded in page.results:
        result = SampleResult().parse(encoded)
        item: dict[str, Any] = {
            "id": result.id,
            "state": "succeeded" if result.succeeded else "terminated",
            "text": result.text,
            "versions": list(result.versions),
        }
        if result.score:
            item["score"] = result.score
        results.append(item)
    text = json.dumps(
        {"total": page.total, "next_token": page.next_position, "results": results},
        ensure_ascii=False,
    )
    return text.encode("utf-8", "surrogateescape")
