"""What a gateway looks after at intervals: replicas to find, engines that are gone, a stale table.

Owns no state but its next search. Relies on the store to find replicas; a gateway that hears one
replica learns of the others from it.
"""

import curio

from pondtiller.gateway.parts import GatewayParts
from pondtiller.platform import names
from pondtiller.platform.object_client import StoreCallError
from pondtiller.process import clock

HOUSEKEEPING_SECONDS = 0.5
"""Between two looks. Chosen, not measured: connections to an engine that is gone are kept for so
much longer at most; nothing is sent on them, since the engine is not chosen any more."""
NO_REPLICA_SECONDS = 2.5
"""How long no replica must have been heard before the store is asked where they are: as long as a
silent link is kept (`peers.replicas.SILENT_SECONDS`). Chosen, not measured."""
SEARCH_SECONDS = 1.0
"""Between the first two searches for replicas. Chosen, not measured: a system that starts finds the
later ones of its replicas so."""
LONGEST_SEARCH_SECONDS = 4.0
"""Searches are calls to the store; one that finds nothing new is repeated later each time. With 1 s
throughout, searches were 294 of the 4,032 calls of a played day."""


class Housekeeping:
    """Finds replicas when none is heard, forgets engines that are gone."""

    def __init__(self, parts: GatewayParts) -> None:
        self._parts = parts

    async def run(self) -> None:
        """Look after both until cancelled."""
        parts = self._parts
        next_search, pause = 0.0, SEARCH_SECONDS
        while True:
            now = clock.monotonic()
            if not self._lacks_replicas(now):
                pause = SEARCH_SECONDS
            elif now >= next_search:
                next_search = now + pause
                pause = min(2 * pause, LONGEST_SEARCH_SECONDS)
                await self._find_replicas()
            parts.leadership.may_stand = parts.is_ready()
            parts.engines.drop_expired(now)
            parts.cold.look(now)
            parts.stale_configuration.look()
            await parts.pool.forget(set(parts.engines.engines))
            await curio.sleep(HOUSEKEEPING_SECONDS)

    def _lacks_replicas(self, now: float) -> bool:
        """Return whether to look for replicas: none is heard, or too few for a first group.

        Once there is a group, one replica that is heard names the others.
        """
        replicas = self._parts.leadership.replicas
        if now > replicas.last_heard() + NO_REPLICA_SECONDS:
            return True
        views = replicas.views()
        has_group = any(view.group.generation for view in views)
        return not has_group and len(views) < self._parts.settings.wanted_replicas

    async def _find_replicas(self) -> None:
        try:
            listing = await self._parts.store.list_all(names.REPLICAS)
        except StoreCallError:
            return
        await self._parts.leader_watches.take_replicas(listing.objects)
