"""All stand-ins of a deployment on loopback, in one process.

Owns the servers of the platform and of each engine; everything is lost with the process. Trainers
and callers are not among them: `trainer_client` and `demo.load` are.
"""

import json
import random
from dataclasses import dataclass, field

from pondtiller.httpio.server import bind_tcp
from pondtiller.process import clock
from pondtiller.process.spawner import Spawner
from pondtiller.serve.core.constants import FLEET_DOCUMENT
from pondtiller.serve.deployment import Deployment
from pondtiller.serve.emulator.engine import EngineModel
from pondtiller.serve.emulator.engine_server import EngineServer
from pondtiller.serve.emulator.fleet import FleetEntry, engine_settings, first_sheet, fleet_entry
from pondtiller.serve.emulator.object_store import ObjectStore
from pondtiller.serve.emulator.platform_server import PlatformServer
from pondtiller.serve.emulator.weights import WeightStore
from pondtiller.table.sheet import DOCUMENT_NAME


@dataclass(slots=True)
class Emulator:
    """All stand-ins of a deployment.

    Attributes
    ----------
    engines
        Engine servers by name.
    """

    deployment: Deployment
    platform: PlatformServer
    engines: dict[str, EngineServer] = field(default_factory=dict)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with Spawner() as spawner:
            for engine in self.engines.values():
                await spawner.spawn(engine.run)
            await self.platform.run()

    def mark_leaving(self, name: str) -> None:
        """Show an engine as leaving in the platform's list of machines."""
        document = json.loads(self.platform.store.objects[FLEET_DOCUMENT].body)
        for entry in document["engines"]:
            entry["leaving"] = entry["leaving"] or entry["name"] == name
        body = json.dumps(document).encode()
        self.platform.store.put(FLEET_DOCUMENT, None, body, float(clock.wall_seconds()))


def build_emulator(deployment: Deployment, seed: int, host: str, port: int) -> Emulator:
    """Bind all stand-ins; the platform takes `port`, engines take what is free."""
    store = ObjectStore()
    emulator = Emulator(deployment, PlatformServer(store, bind_tcp(host, port)))
    weights = WeightStore(deployment.weights.transfer_seconds, deployment.weights.lanes)
    source = random.Random(seed)
    entries: list[FleetEntry] = []
    for settings in engine_settings(deployment):
        model = EngineModel(settings, weights, random.Random(source.getrandbits(64)))
        server = EngineServer(model, bind_tcp(host, 0))
        emulator.engines[settings.name] = server
        entries.append(fleet_entry(settings, server.address))
    now = float(clock.wall_seconds())
    store.put(DOCUMENT_NAME, 0, first_sheet(deployment).model_dump_json().encode(), now)
    store.put(FLEET_DOCUMENT, 0, json.dumps({"engines": entries}).encode(), now)
    return emulator
