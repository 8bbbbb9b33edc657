"""The first group of replicas, agreed through the store, once for the whole system.

Owns how many replicas were seen and since when. Which of them become members is decided in
`steplog/group_policy.py`.
"""

from pondtiller.platform import names, objects
from pondtiller.platform.object_client import ObjectClient, PutOutcome, StoreCallError
from pondtiller.process import clock, logs
from pondtiller.steplog.fault_tolerance import PlaceRules
from pondtiller.steplog.group_policy import first_members
from pondtiller.wire.steplog import Group, GroupMember

FEW_SECONDS = 3.0
"""How long no further replica must have come before a group of too few is made. All machines start
within 0.3 s of each other, and a replica is there some tenths of a second later."""

FEWEST_MEMBERS = 3
"""Of a first group: with fewer the loss of one disk could lose what was accepted."""


class StoredFirstGroup:
    """The first group as an object that is made once: whoever makes it, all take it.

    Where there are fewer replicas than the settings' losses need, the group is made of all that
    there are, once no more have come for a while: it bears what it can, which the shortfall
    tells, and grows when more come. Without a group no step is taken at all.
    """

    def __init__(self, store: ObjectClient, wanted_size: int, rules: PlaceRules) -> None:
        self._store = store
        self._wanted_size = wanted_size
        self._rules = rules
        self._seen = 0
        self._seen_at = 0.0

    def _size(self, candidates: int, now: float) -> int:
        """Return how many members to make a group of."""
        if candidates != self._seen:
            self._seen, self._seen_at = candidates, now
        is_all = candidates >= FEWEST_MEMBERS and now >= self._seen_at + FEW_SECONDS
        return min(candidates, self._wanted_size) if is_all else self._wanted_size

    async def first_group(self, candidates: tuple[GroupMember, ...]) -> Group | None:
        """Return the group, made of the candidates where there is none yet."""
        try:
            found = await self._store.read(names.GROUPS, objects.GROUP_NAME)
            if found is None:
                size = self._size(len(candidates), clock.monotonic())
                members = first_members(candidates, size, self._rules)
                if members is None:
                    return None
                group = Group(generation=1, members=members)
                spec = objects.group_spec(group)
                outcome = await self._store.create(names.GROUPS, objects.GROUP_NAME, spec)
                logs.decision("first_group", outcome=outcome.value, members=len(members))
                if outcome is PutOutcome.DONE:
                    return group
                found = await self._store.read(names.GROUPS, objects.GROUP_NAME)
        except StoreCallError as error:
            logs.decision("first_group", outcome="store_lost", reason=str(error))
            return None
        return objects.read_group(found) if found is not None else None
