"""A stand-in of the platform's object store, on a socket."""

import json
from dataclasses import replace
from typing import Any, NamedTuple

import curio

from pondtiller.httpio.messages import HttpResponse, json_response
from pondtiller.httpio.server import ConnectionLostError, Exchange
from pondtiller.platform import names
from pondtiller.process import clock
from pondtiller.standins.listening import StandIn, listen_on_loopback

CHECK_SECONDS = 0.02
"""How often a waiting watch looks for changes; chosen, not measured."""


class StoredChange(NamedTuple):
    """A change of an object.

    Attributes
    ----------
    at
        Revision of the store that the change made.
    object
        The object after the change; before it, where it is gone.
    """

    at: int
    kind: str
    object: dict[str, Any]
    is_gone: bool


class StandInStore(StandIn):
    """The platform's object store: list, watch, create, replace, status, delete.

    Attributes
    ----------
    kinds
        Objects as they are on the wire, by kind and name.
    history
        All changes, oldest first.
    oldest
        Watches from before this revision are answered 410.
    is_down
        Whether it answers 503 to everything.
    loses_answers
        Whether it takes writes and ends the connection instead of answering.
    page
        Objects in one page of a listing, at most.
    texts
        Specs written as texts, which answers contain in place of the objects' own.
    silenced_at
        When connections that were open turned silent, on the steady clock.
    """

    def __init__(self) -> None:
        self.listener = listen_on_loopback()
        self.revision = 1
        self.kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[StoredChange] = []
        self.oldest = 0
        self.is_down = False
        self.loses_answers = False
        self.page = 2
        self.calls = 0
        self.texts: list[bytes] = []
        self._ports: set[int] = set()
        self._silent_ports: set[int] = set()
        self.silenced_at = float("-inf")

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator, a trainer or an engine does."""
        self._store(kind, name, spec, None)

    def put_text(self, kind: str, name: str, text: str) -> None:
        """Write an object whose spec is any text that a writer may send as JSON."""
        self.put(kind, name, f"text {len(self.texts)} of this store")
        self.texts.append(text.encode("utf-8", "surrogatepass"))

    def remove(self, kind: str, name: str) -> None:
        """Remove an object; watches are answered with its end."""
        gone = self.kinds[kind].pop(name)
        self.revision += 1
        self.history.append(StoredChange(self.revision, kind, gone, True))

    def forget_history(self) -> None:
        """Answer watches from older revisions with 410 from now on."""
        self.oldest = self.revision

    def silence_open_connections(self) -> None:
        """Answer nothing any more on connections that are open, and leave them open."""
        self._silent_ports |= self._ports
        self.silenced_at = clock.monotonic()

    def _store(self, kind: str, name: str, spec: Any, status: Any) -> dict[str, Any]:
        self.revision += 1
        found = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": spec,
            "status": status,
        }
        self.kinds.setdefault(kind, {})[name] = found
        self.history.append(StoredChange(self.revision, kind, found, False))
        return found

    async def _handle(self, exchange: Exchange) -> None:
        self.calls += 1
        port = exchange.peer_port
        self._ports.add(port)
        await self._keep_silence(exchange, port)
        if self.is_down:
            await exchange.respond(HttpResponse(503))
            return
        request = exchange.request
        kind, _, name = request.path.removeprefix(names.OBJECTS_PATH).partition("/")
        if request.method == "GET" and "watch" in request.query:
            await self._watch(exchange, kind)
        elif request.method == "GET":
            answer = self._read(kind, name, request.query.get(names.FROM_POSITION, ""))
            await exchange.respond(self._with_texts(answer))
        else:
            answer = self._write(request.method, kind, name, json.loads(request.body or b"{}"))
            if self.loses_answers:
                raise ConnectionLostError("cut")
            await exchange.respond(answer)

    async def _keep_silence(self, exchange: Exchange, port: int) -> None:
        """Wait for the end of a connection that is silent; return at once on any other."""
        if port in self._silent_ports:
            await exchange.wait_closed()
            raise ConnectionLostError("the connection was silent")

    def _read(self, kind: str, name: str, after: str) -> HttpResponse:
        objects = self.kinds.get(kind, {})
        if name:
            found = objects.get(name)
            return json_response(200, found) if found else HttpResponse(404)
        names = sorted(each for each in objects if each > after)
        page = [objects[each] for each in names[: self.page]]
        more = len(names) > self.page
        return json_response(200, {"requests": page, "more": more, "at": self.revision})

    async def _watch(self, exchange: Exchange, kind: str) -> None:
        at, port = int(exchange.request.query["watch"]), exchange.peer_port
        # By the clock: in a busy process a number of short sleeps lasts far longer than their sum.
        until = clock.monotonic() + int(exchange.request.query["wait_ms"]) / 1000.0
        while True:
            await self._keep_silence(exchange, port)
            if self.is_down:
                await exchange.respond(HttpResponse(503))
                return
            if at < self.oldest:
                await exchange.respond(HttpResponse(410))
                return
            found = [each for each in self.history if each.at > at and each.kind == kind]
            # What comes after this look is not in the answer, so its revision must not be either.
            seen = self.revision
            if found or clock.monotonic() >= until:
                break
            await curio.sleep(CHECK_SECONDS)
        events = [{"object": each.object, "gone": each.is_gone} for each in found]
        answer = json_response(200, {"events": events, "at": seen})
        await exchange.respond(self._with_texts(answer))

    def _with_texts(self, answer: HttpResponse) -> HttpResponse:
        body = answer.body
        for number, text in enumerate(self.texts):
            body = body.replace(b'"text %d of this store"' % number, text)
        return replace(answer, body=body)

    def _write(self, method: str, kind: str, name: str, body: dict[str, Any]) -> HttpResponse:
        name, _, part = name.partition("/")
        found = self.kinds.get(kind, {}).get(name)
        if method == "POST":
            if found is not None:
                return json_response(409, found)
            return json_response(201, self._store(kind, name, body["spec"], None))
        if found is None:
            return HttpResponse(404)
        if method == "DELETE":
            self.remove(kind, name)
            return json_response(200, found)
        wanted = body["metadata"].get("revision")
        if wanted is not None and wanted != found["metadata"]["revision"]:
            return json_response(409, found)
        if part == "status":
            return json_response(200, self._store(kind, name, found["spec"], body["status"]))
        return json_response(200, self._store(kind, name, body["spec"], found["status"]))
