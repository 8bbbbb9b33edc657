"""A soak's callers: of anybody, of a tenant above its rate, and with bodies that have a home."""

import random

import curio

from pondtiller.process import clock
from pondtiller.process.spawner import Spawner
from pondtiller.soak.caller_rules import RateRule, home_mark
from pondtiller.soak.calls import Calls
from pondtiller.soak.places import NORTH, SOUTH
from pondtiller.soak.promises import NOT_RUN, Promises
from pondtiller.soak.stand_ins import SoakEngine
from pondtiller.standins.ending_engine import ENDING

CALL_SECONDS = 0.1
"""Between two rounds of calls, in seconds. Chosen, not measured: shorter than the shortest fault
(0.2 s), so that each fault meets calls."""
RARE_CALL_EVERY = 4
"""Rounds between two calls that have a home, and two without a key. Chosen, not measured: both are
checked at each call, so a few a second are enough."""
ENDING_CALL_EVERY = 8
"""Rounds between two calls whose content ends engines: one in 0.8 s, while an engine that ended is
back after 1 s, so that other callers find engines. Chosen, not measured."""
ENDING_CALLS = 12
"""How often a content that ends engines comes before another one does: for 10 s."""
KEYS = {"rated": ["key-of-rated"], "homely": ["key-of-homely"]}


class Callers:
    """Calls that must not be repeated, and some that may be.

    Attributes
    ----------
    is_calm
        Whether to call no more.
    """

    def __init__(
        self,
        source: random.Random,
        calls: Calls,
        promises: Promises,
        rate: RateRule,
        apps: list[SoakEngine],
        group: Spawner,
    ) -> None:
        self.is_calm = False
        self._random = source
        self._calls = calls
        self._promises = promises
        self._rate = rate
        self._apps = apps
        self._group = group

    async def run(self) -> None:
        """Call until the calm begins."""
        number = 0
        while not self.is_calm:
            number += 1
            await self._group.spawn(self._call_once, f"q{number}")
            await self._group.spawn(self._call_with_rate, f"t{number}")
            if number % RARE_CALL_EVERY == 0:
                await self._group.spawn(self._call_at_home, f"h{number}")
                await self._group.spawn(self._call_without_key, f"k{number}")
            if number % ENDING_CALL_EVERY == 0:
                await self._group.spawn(self._call_ending, number // ENDING_CALL_EVERY)
            await curio.sleep(CALL_SECONDS)

    async def _call_ending(self, number: int) -> None:
        """Send a content that ends engines; it comes again at other gateways, as others do."""
        content = ENDING + f" {number // ENDING_CALLS}".encode()
        # Drawn without the callers' stream, which keeps what earlier seeds meet.
        gateway = number * 7 % len(self._calls.ports)
        await self._calls.request(
            gateway, "POST", "/quote/7", content, "app.example", request_id=f"e{number}"
        )

    async def _call_once(self, identifier: str) -> None:
        path = self._random.choice(("/list/7", "/quote/7"))
        body = f"body of {identifier}".encode()
        await self._call_live(identifier, path, body, "app.example")

    async def _call_with_rate(self, identifier: str) -> None:
        """Call as a tenant that sends more than its rate."""
        self._rate.sent(identifier, clock.monotonic())
        body = f"body of {identifier}".encode()
        await self._call_live(
            identifier, "/list/7", body, "tenants.example", credential=KEYS["rated"][0]
        )

    async def _call_at_home(self, identifier: str) -> None:
        """Call with a body that must stay in a region, for its row's sake or its tenant's."""
        region = self._random.choice((NORTH, SOUTH))
        body = home_mark(region) + identifier.encode()
        if region == NORTH:
            await self._call_live(identifier, "/list/7", body, "north.example")
        else:
            await self._call_live(
                identifier, "/list/7", body, "tenants.example", credential=KEYS["homely"][0]
            )

    async def _call_without_key(self, identifier: str) -> None:
        """Call where a key is needed, with one of nobody; no engine may begin it."""
        self._refuse(identifier)
        await self._call_live(
            identifier, "/list/7", identifier.encode(), "tenants.example", credential="nobody's"
        )

    def _refuse(self, identifier: str) -> None:
        """Take that a request must not be begun any more."""
        for engine in self._apps:
            engine.refused.add(identifier)

    async def _call_live(
        self, identifier: str, path: str, body: bytes, host: str, **headers: str
    ) -> None:
        gateway = self._random.randrange(len(self._calls.ports))
        answer = await self._calls.request(
            gateway, "POST", path, body, host, request_id=identifier, **headers
        )
        if answer is None:
            return
        status, received = answer
        if status in NOT_RUN:
            self._refuse(identifier)
        if path.startswith("/list/") or status == 200:
            self._promises.answered(identifier, status, received, body)
