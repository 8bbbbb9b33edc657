"""Calls to the platform's object store.

Counts the calls of each kind and the objects that could not be parsed: one without a name or a
revision is left out, one with odd contents is returned without them. It retries no call and
decides nothing by what it reads: watching with retries is in `store/store_watch.py`. Callers' keys
in a configuration are replaced by digests here.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any
from urllib.parse import quote

from pondtiller.address import Address
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.client_errors import BrokenError, NoAnswerError, NotSentError
from pondtiller.httpio.messages import HttpResponse
from pondtiller.platform.configuration import without_keys
from pondtiller.platform.json_values import flaw_of, is_unicode, read_json
from pondtiller.platform.names import CONFIGURATIONS, OBJECTS_PATH
from pondtiller.platform.values import MAX_INTEGER
from pondtiller.process import clock, logs

CALL_SECONDS = 2.0
"""Time limit of a call that the store answers at once."""
WATCH_MARGIN_SECONDS = 0.4
"""How much longer than its own wait a watch may take, for the transfer of its answer: twice that of
a slow store."""
MAX_REST_SECONDS = 1.5
"""How long a connection to the store may be idle and still be used: longer than a gateway's pause
between two calls for engines, and less than the time for which mirrors are asked before the store
is."""
MAX_UNREAD = 200
"""Unparsable objects that are logged by name, in the life of a process: limits memory and log
lines; the count continues beyond it."""


class StoreCallError(Exception):
    """A call was not answered, or answered with a failure."""


class StoreUnreachedError(StoreCallError):
    """A call got no complete answer: its connection failed, or was silent."""


class StoreSilentError(StoreUnreachedError):
    """A call got no answer within its time limit."""


class HistoryGoneError(Exception):
    """The store does not have the history that a watch requires."""


class PutOutcome(Enum):
    """Result of a write."""

    DONE = "done"
    CONFLICT = "conflict"
    MISSING = "missing"


@dataclass(frozen=True, slots=True)
class StoreObject:
    """An object: name, revision of its last change, its owner's contents, status."""

    name: str
    revision: int
    spec: Any
    status: Any = None


@dataclass(frozen=True, slots=True)
class StoreListing:
    """All objects of a kind at a revision of the store.

    Attributes
    ----------
    age_seconds
        Greatest possible time since the store held exactly these, when the answer was read.
    """

    objects: tuple[StoreObject, ...]
    at: int
    age_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class StoreChange:
    """A change of an object, or its removal."""

    object: StoreObject
    is_gone: bool


@dataclass(frozen=True, slots=True)
class StoreChanges:
    """Result of a watch: changes, and the revision to continue from.

    Attributes
    ----------
    age_seconds
        Greatest possible time since there were no further changes, when the answer was read.
    """

    changes: tuple[StoreChange, ...]
    at: int
    age_seconds: float = 0.0


class ObjectClient:
    """Calls over kept connections; every call is counted, since each has a price.

    Attributes
    ----------
    calls
        Number of calls by kind, for `/metrics`.
    unread
        Objects that could not be parsed, and were left out or returned without their contents.
    """

    def __init__(self, address: Address, client: HttpClient) -> None:
        self._address = address
        self._client = client
        self.calls: dict[str, int] = {}
        self.unread = 0
        self._unread: set[tuple[str, str, str]] = set()

    async def list_all(self, kind: str) -> StoreListing:
        """Return all objects of a kind at one revision; raises `StoreCallError`."""
        asked_at = clock.monotonic()
        found: list[StoreObject] = []
        revisions: list[int] = []
        after = ""
        while True:
            query = f"?since_rev={quote(after)}" if after else ""
            answer = await self._call("list", "GET", f"{kind}{query}")
            page = _json(answer, 200)
            given, at = _page(page, "requests")
            found += self._sound(kind, given)
            revisions.append(at)
            last = max(map(_name, given), default="")
            if not page.get("more") or last <= after:
                break
            after = last
        if at != revisions[0]:
            found, at = await self._with_changes(kind, found, revisions[0])
        return StoreListing(tuple(found), at, clock.monotonic() - asked_at)

    async def _with_changes(
        self, kind: str, found: list[StoreObject], since: int
    ) -> tuple[list[StoreObject], int]:
        """Bring the pages of a listing, each read at its own revision, to one revision."""
        try:
            changes = await self.watch(kind, since, 0.0)
        except HistoryGoneError as error:
            raise StoreCallError("the history since the first page is gone") from error
        objects = {each.name: each for each in found}
        for change in changes.changes:
            if change.is_gone:
                objects.pop(change.object.name, None)
            else:
                objects[change.object.name] = change.object
        return list(objects.values()), changes.at

    async def watch(self, kind: str, at: int, wait_seconds: float) -> StoreChanges:
        """Return the changes after a revision; raises `HistoryGoneError`, `StoreCallError`."""
        wait = int(wait_seconds * 1000)
        target = f"{kind}?watch={at}&wait_ms={wait}"
        seconds = wait_seconds + WATCH_MARGIN_SECONDS
        asked_at = clock.monotonic()
        answer = await self._call("watch", "GET", target, seconds=seconds)
        if answer.status == 410:
            raise HistoryGoneError
        events, at = _page(_json(answer, 200), "events")
        age = age_of_answer(asked_at, wait_seconds, clock.monotonic())
        return StoreChanges(tuple(self._sound_changes(kind, events)), at, age)

    async def skip_idle_connections(self) -> None:
        """Reuse no idle connection: any of them may be silent."""
        await self._client.close_kept(self._address)

    async def read(self, kind: str, name: str) -> StoreObject | None:
        """Return one object, or None if there is none; raises `StoreCallError`."""
        answer = await self._call("read", "GET", f"{kind}/{quote(name)}")
        if answer.status == 404:
            return None
        found = self._read_or_note(kind, _json(answer, 200))
        if found is None:
            raise StoreCallError("an object is not whole")
        return found

    async def create(self, kind: str, name: str, spec: Any) -> PutOutcome:
        """Create an object; a conflict if it exists. Raises `StoreCallError`."""
        body = {"metadata": {"name": name}, "spec": spec}
        answer = await self._call("create", "POST", f"{kind}/{quote(name)}", body)
        return _outcome(answer)

    async def replace(self, kind: str, name: str, revision: int, spec: Any) -> PutOutcome:
        """Replace an object's spec at a revision; raises `StoreCallError`."""
        body = {"metadata": {"name": name, "revision": revision}, "spec": spec}
        return _outcome(await self._call("replace", "PUT", f"{kind}/{quote(name)}", body))

    async def remove(self, kind: str, name: str) -> PutOutcome:
        """Remove an object at any revision; raises `StoreCallError`."""
        return _outcome(await self._call("remove", "DELETE", f"{kind}/{quote(name)}"))

    async def set_status(self, kind: str, name: str, revision: int, status: Any) -> PutOutcome:
        """Replace an object's status at a revision; raises `StoreCallError`."""
        body = {"metadata": {"name": name, "revision": revision}, "status": status}
        answer = await self._call("status", "PUT", f"{kind}/{quote(name)}/status", body)
        return _outcome(answer)

    def _sound(self, kind: str, given: list[Any]) -> Iterable[StoreObject]:
        """Return the objects that can be parsed; an invalid one does not affect the others."""
        read = (self._read_or_note(kind, each) for each in given)
        return (each for each in read if each is not None)

    def _sound_changes(self, kind: str, events: list[Any]) -> Iterable[StoreChange]:
        for event in events:
            given = event.get("object") if isinstance(event, dict) else None
            found = self._read_or_note(kind, given)
            if found is not None:
                yield StoreChange(found, bool(event.get("gone")))

    def _read_or_note(self, kind: str, given: Any) -> StoreObject | None:
        """Parse an object; count an invalid one, and log its name once per cause."""
        flaw = flaw_of(given)
        found = _object(kind, given, bool(flaw))
        if found is not None and not flaw:
            return found
        self.unread += 1
        noted = (kind, _name(given), flaw or "no name or no revision")
        if noted not in self._unread and len(self._unread) < MAX_UNREAD:
            self._unread.add(noted)
            logs.decision("object_unreadable", kind=kind, name=noted[1], reason=noted[2])
        return found

    async def _call(
        self, name: str, method: str, target: str, body: Any = None, seconds: float = CALL_SECONDS
    ) -> HttpResponse:
        self.calls[name] = self.calls.get(name, 0) + 1
        content = json.dumps(body).encode() if body is not None else b""
        try:
            return await self._client.request(
                self._address, method, OBJECTS_PATH + target, content, seconds
            )
        except NoAnswerError as error:
            raise StoreSilentError(str(error)) from error
        except (NotSentError, BrokenError) as error:
            raise StoreUnreachedError(str(error)) from error


def age_of_answer(asked_at: float, wait_seconds: float, now: float) -> float:
    """Return how long an answer may have been unread: it was sent when its wait ended, or earlier.

    A process that was paused reads an old answer, so the time of reading does not show its age.
    """
    return max(0.0, now - asked_at - wait_seconds)


def _json(answer: HttpResponse, status: int) -> Any:
    if answer.status != status:
        raise StoreCallError(f"status {answer.status}")
    try:
        return read_json(answer.body)
    except ValueError as error:
        raise StoreCallError("the answer is no JSON") from error


def _page(page: Any, field: str) -> tuple[list[Any], int]:
    """Return the list in a field of an answer, and the store's revision."""
    try:
        return list(page[field]), _revision(page["at"])
    except (KeyError, OverflowError, TypeError, ValueError) as error:
        raise StoreCallError(f"the answer tells no {field}") from error


def _name(given: Any) -> str:
    """Return an object's name if it has one."""
    metadata = given.get("metadata") if isinstance(given, dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    return name if isinstance(name, str) and is_unicode(name) else ""


def _revision(given: Any) -> int:
    """Parse a revision; raises `OverflowError`, `TypeError` or `ValueError`."""
    revision = int(given)
    if not 0 <= revision <= MAX_INTEGER:
        raise ValueError("no revision")
    return revision


def _object(kind: str, given: Any, is_odd: bool) -> StoreObject | None:
    """Parse an object, an odd one without its contents; None if it has no name or revision.

    The callers' keys in a configuration are removed here.
    """
    name = _name(given)
    try:
        revision = _revision(given["metadata"]["revision"])
    except (KeyError, OverflowError, TypeError, ValueError):
        return None
    if not name:
        return None
    if is_odd:
        return StoreObject(name, revision, None)
    spec = given.get("spec")
    if kind == CONFIGURATIONS:
        spec = without_keys(spec)
    return StoreObject(name, revision, spec, given.get("status"))


def _outcome(answer: HttpResponse) -> PutOutcome:
    if answer.status in (200, 201, 204):
        return PutOutcome.DONE
    if answer.status == 409:
        return PutOutcome.CONFLICT
    if answer.status == 404:
        return PutOutcome.MISSING
    raise StoreCallError(f"status {answer.status}")
