"""Stand-in engines that crash, used in place of a small system's engines."""

from pondtiller.gateway.tests.system import System
from pondtiller.standins.ending_engine import EndingEngine


async def replace_engines(
    system: System, service: str, count: int, keeps_name: bool = False
) -> list[EndingEngine]:
    """Replace a service's engines by engines that crash."""
    for engine in (*system.app, *system.llm):
        if engine.service == service:
            system.store.remove("servers", engine.identifier)
    engines = [
        EndingEngine(f"x{number}", service, system.store, keeps_name) for number in range(count)
    ]
    for engine in engines:
        if service == "llm":
            engine.models = ["m"]
        await system.group.spawn(engine.serve)
        system.store.put("servers", engine.identifier, engine.entry())
    names = {engine.identifier for engine in engines}
    await system.until(
        lambda: all(
            each.engines.current(name) is not None for each in system.gateways for name in names
        )
    )
    return engines
