"""Agreement on the first replica group through the store, once for the whole system.

Holds how many replicas were seen and since when. Which of them become members is decided in
`steplog/group_policy.py`.
"""

from pondtiller.platform import names, objects
from pondtiller.platform.object_client import ObjectClient, PutOutcome, StoreCallError
from pondtiller.process import clock, logs
from pondtiller.steplog.fault_tolerance import GroupRules
from pondtiller.steplog.group_policy import first_members
from pondtiller.wire.steplog import Group, GroupMember

SMALL_GROUP_WAIT_SECONDS = 3.0
"""How long no further replica must have appeared before a group smaller than wanted is created. All
machines start within 0.3 s of each other, and a replica is ready some tenths of a second later."""

MIN_MEMBERS = 3
"""Minimum size of a first group; with fewer members the loss of one disk could lose accepted
steps."""


class StoredFirstGroup:
    """The first group as a store object that is created once and read by all gateways.

    If there are fewer replicas than the declared losses require, the group is created from all of
    them once no more have appeared for a while. It then tolerates fewer losses, which the shortfall
    reports, and grows when more replicas appear. Without a group no step can be accepted at all.
    """

    def __init__(self, store: ObjectClient, wanted_size: int, rules: GroupRules) -> None:
        self._store = store
        self._wanted_size = wanted_size
        self._rules = rules
        self._seen = 0
        self._seen_at = 0.0

    def _size(self, candidates: int, now: float) -> int:
        """Return the number of members to create a group with."""
        if candidates != self._seen:
            self._seen, self._seen_at = candidates, now
        is_all = candidates >= MIN_MEMBERS and now >= self._seen_at + SMALL_GROUP_WAIT_SECONDS
        return min(candidates, self._wanted_size) if is_all else self._wanted_size

    async def first_group(self, candidates: tuple[GroupMember, ...]) -> Group | None:
        """Return the group; it is created from the candidates if there is none yet."""
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
