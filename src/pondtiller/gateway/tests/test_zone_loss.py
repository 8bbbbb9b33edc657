"""A real group in four zones: after a zone loss it tolerates the next one, and steps continue."""

from pathlib import Path

import curio

from pondtiller.gateway.process import GatewayProcess
from pondtiller.gateway.tests.system import ANY, System
from pondtiller.replica.process import ReplicaProcess
from pondtiller.settings import GatewaySettings, Losses, ReplicaSettings

ZONES = ("a", "a", "b", "c", "d")


class ZonedSystem(System):
    """Five replicas in four zones; one of them, or one zone, may be lost."""

    def make_replica(self, number: int, first_start: bool = True) -> ReplicaProcess:
        return ReplicaProcess(
            ReplicaSettings(
                name=f"r{number}",
                zone=ZONES[number],
                links=ANY,
                store=self.store.address,
                data_folder=self.folder / f"r{number}",
                first_start=first_start,
                regions=dict.fromkeys("abcd", "r"),
            )
        )

    def make_gateway(self, number: int) -> GatewayProcess:
        return GatewayProcess(
            GatewaySettings(
                name=f"g{number}",
                zone="a",
                callers=ANY,
                readiness=ANY,
                links=ANY,
                store=self.store.address,
                losses=1,
                regions=dict.fromkeys("abcd", "r"),
                places_lost=Losses(zones=1),
            )
        )

    def zones(self) -> list[str]:
        """Return the zones of the group's members."""
        return sorted(each.zone for each in self.gateways[0].leadership.log.group.members)

    def shortfall(self) -> float:
        return self.gateways[0].sources.figures(0.0).gauges["group_shortfall"]

    async def lose(self, zone: str) -> None:
        for each in self.replicas:
            if each.settings.zone == zone:
                await each.stop()

    async def works(self, step: str) -> None:
        """Have a step run and read it completely."""
        assert await self.submit(step) == 202
        await self.read_all(step, 4)


def test_after_a_zone_loss_the_group_tolerates_the_next_one_as_far_as_replicas_are_left(
    tmp_path: Path,
) -> None:
    async def test(system: ZonedSystem) -> None:
        await system.until_led()
        assert len(set(system.zones())) == 3
        await system.works("one")
        first = next(zone for zone in "bcd" if zone in system.zones())
        await system.lose(first)
        await system.until(lambda: first not in system.zones() and not system.shortfall(), 8.0)
        assert len(set(system.zones())) == 3
        await system.works("two")
        second = next(zone for zone in "bcd" if zone in system.zones())
        await system.lose(second)
        await system.until(lambda: second not in system.zones(), 8.0)
        assert system.zones().count("a") == 2
        # The figure is from the last check; the next one comes within half a second.
        await system.until(lambda: system.shortfall() == 1, 2.0)
        await system.works("three")

    async def main() -> None:
        system = ZonedSystem(tmp_path, replicas=len(ZONES))
        await system.start()
        try:
            await curio.timeout_after(40.0, test, system)
        finally:
            await system.stop()

    curio.run(main)
