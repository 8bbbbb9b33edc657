"""The first group of replicas, agreed through the store."""

from pondtiller.daemon import logs
from pondtiller.gateway.leadership import FirstGroupSource
from pondtiller.platform import names, objects
from pondtiller.platform.object_client import ObjectClient, PutOutcome, StoreCallError
from pondtiller.steplog.fault_tolerance import PlaceRules
from pondtiller.steplog.group_policy import first_members
from pondtiller.wire.steplog import Group, GroupMember


class StoredFirstGroup(FirstGroupSource):
    """The first group as an object that is made once: whoever makes it, all take it."""

    def __init__(self, store: ObjectClient, wanted_size: int, rules: PlaceRules) -> None:
        self._store = store
        self._wanted_size = wanted_size
        self._rules = rules

    async def first_group(self, candidates: tuple[GroupMember, ...]) -> Group | None:
        """Return the group, made of the candidates where there is none yet."""
        try:
            found = await self._store.read(names.GROUPS, objects.GROUP_NAME)
            if found is None:
                members = first_members(candidates, self._wanted_size, self._rules)
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
