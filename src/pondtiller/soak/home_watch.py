"""Looks at all bytes that pass proxies, for bodies that leave their home region."""

from functools import partial

from pondtiller.soak.caller_rules import HomeRule
from pondtiller.soak.fault_targets import FaultTargets
from pondtiller.soak.places import STORE_ZONE


class HomeWatch:
    """Passes bytes on the way to engines, programs and the store to the rule about homes.

    What an engine answers goes to the gateway that a caller chose, so it is not looked at.
    """

    def __init__(self, rule: HomeRule, targets: FaultTargets) -> None:
        self._rule = rule
        self._zones = {each.spec.name: each.spec.zone for each in targets.programs}
        for engine in targets.engines:
            engine.proxy.watch = partial(self._passed, engine.identifier, engine.zone, False)
        targets.store_proxy.watch = partial(self._passed, "store", STORE_ZONE, True)
        for name, zone in self._zones.items():
            targets.links[name].watch = partial(self._passed, name, zone, True)

    def _passed(
        self, target: str, zone: str, is_answer_watched: bool, data: bytes, receiver: str
    ) -> None:
        if not receiver:
            self._rule.passed(data, zone, target)
        elif is_answer_watched and receiver in self._zones:
            self._rule.passed(data, self._zones[receiver], receiver)
