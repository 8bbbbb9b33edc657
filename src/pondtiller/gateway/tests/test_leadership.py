"""When a gateway campaigns, and when it must not."""

import curio

from pondtiller.address import Address
from pondtiller.gateway.leader.leadership import Leadership
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.gateway.tests.no_first_group import NoFirstGroup
from pondtiller.peers.replicas import KnownLeader
from pondtiller.process import clock
from pondtiller.steplog.instructions import Phase, StepDownReason, SteppedDown
from pondtiller.wire.steplog import Group, GroupMember, ReplicaView

MEMBER = GroupMember(name="r0", disk="d0", zone="z", host="h", port=1)
OTHER = KnownLeader("other", Address("h", 2), 7)


class Gateway:
    """A leadership whose view of the replicas is set by the test."""

    def __init__(self, cores: float = 4.0) -> None:
        place = Address("127.0.0.1", 1)
        source = NoFirstGroup()
        self.leadership = Leadership("me", place, cores, 3, source, GatewayMetrics())
        self.leadership.may_campaign = True
        self.leader: KnownLeader | None = None
        view = ReplicaView(replica=MEMBER, group=Group(generation=1, members=[MEMBER]))
        self.leadership.replicas.views = lambda: [view]  # type: ignore[method-assign]
        self.leadership.replicas.leader = lambda: self.leader  # type: ignore[method-assign]

    async def stands(self, now: float) -> bool:
        await self.leadership._campaign_if_due(now)
        stood = self.leadership.log.phase is Phase.PREPARING
        if stood:
            self.leadership.log.phase = Phase.IDLE
        return stood


def test_a_gateway_campaigns_soon_after_the_leader_is_gone_and_never_beside_one() -> None:
    async def main() -> None:
        gateway, now = Gateway(), clock.monotonic()
        gateway.leader = OTHER
        assert not await gateway.stands(now + 5.0)
        gateway.leader = None
        assert not await gateway.stands(now + 6.0)
        assert await gateway.stands(now + 6.3)

    curio.run(main)


def test_a_slow_machine_campaigns_only_if_no_fast_one_has() -> None:
    async def main() -> None:
        now = clock.monotonic()
        slow, fast = Gateway(cores=0.5), Gateway(cores=4.0)
        for gateway in (slow, fast):
            gateway.leader = OTHER
            assert not await gateway.stands(now)
            gateway.leader = None
            assert not await gateway.stands(now + 1.0)
        assert await fast.stands(now + 1.29)
        assert not await slow.stands(now + 1.29)
        assert await slow.stands(now + 1.56)

    curio.run(main)


def test_a_refused_candidate_waits_for_the_lease_whatever_it_sees_meanwhile() -> None:
    """Guards against a candidate that campaigned at once whenever a lease started and ended."""

    async def main() -> None:
        gateway, now = Gateway(), clock.monotonic()
        await gateway.leadership._deposed(
            SteppedDown(StepDownReason.PROMISE_REFUSED, 7, wait_seconds=2.0)
        )
        gateway.leader = OTHER
        assert not await gateway.stands(now + 0.1)
        gateway.leader = None
        for step in range(2, 20):
            assert not await gateway.stands(now + step * 0.1)
        assert await gateway.stands(now + 2.5)

    curio.run(main)


def test_a_gateway_that_resigned_never_campaigns_again_whatever_its_readiness() -> None:
    """Housekeeping sets again that a ready gateway may campaign; that undid a resignation."""

    async def main() -> None:
        gateway, now = Gateway(), clock.monotonic()
        await gateway.leadership.resign()
        gateway.leadership.may_campaign = True
        assert not await gateway.stands(now + 1.0)
        assert not await gateway.stands(now + 5.0)

    curio.run(main)


def test_the_daemon_that_ordered_engines_last_campaigns_first() -> None:
    async def main() -> None:
        gateway, now = Gateway(cores=0.5), clock.monotonic()
        view = ReplicaView(
            replica=MEMBER, group=Group(generation=1, members=[MEMBER]), order_holder="me"
        )
        gateway.leadership.replicas.views = lambda: [view]  # type: ignore[method-assign]
        assert await gateway.stands(now)

    curio.run(main)
