"""A source of the first group for tests in which replicas already have a group."""

from pondtiller.wire.steplog import Group, GroupMember


class NoFirstGroup:
    """Must never be asked."""

    async def first_group(self, candidates: tuple[GroupMember, ...]) -> Group | None:
        raise AssertionError("a first group is asked for where there is a group")
