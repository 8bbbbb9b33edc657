"""What steps ask of each model, and how many engines that is. No I/O.

Owns the demand of each model, for one term of a leader. Relies on `load_shares.py` for the figures
by which engines are shared.
"""

from pondtiller.rollouts.load_shares import engines_needed, load_shares
from pondtiller.rollouts.model_fleet import ModelFleet

DEMAND_WEIGHT = 0.3
"""Of one step in the tokens that a model's steps have. Chosen, not measured: three steps are two
thirds of it, so that a single large step does not change which engines follow the model."""
PEAK_WEIGHT = 0.3
"""How fast the places that a model needs follow smaller steps; larger ones count at once. Chosen,
not measured: too slow keeps engines loading that no step fills, and takes nothing from a step."""


class ModelDemand:
    """Knows what the steps of each model ask for.

    Attributes
    ----------
    tokens
        Tokens of a step by model, smoothed.
    places
        Samples of a step by model: the most of late.
    """

    def __init__(self) -> None:
        self.tokens: dict[str, float] = {}
        self.places: dict[str, float] = {}

    def step_opened(self, model: str, tokens: float, samples: int) -> None:
        """Take the size of a step."""
        before = self.tokens.get(model, tokens)
        self.tokens[model] = before + DEMAND_WEIGHT * (tokens - before)
        most = self.places.get(model, 0.0)
        self.places[model] = max(samples, most + PEAK_WEIGHT * (samples - most))

    def engines_wanted(self, model: str, fleet: ModelFleet) -> int:
        """Return how many engines are to have a model's next version."""
        return self.needed(model, fleet) if self.is_enough(fleet) else self._share(model, fleet)

    def is_enough(self, fleet: ModelFleet) -> bool:
        """Return whether the sound engines are as many as all their models' steps need."""
        return sum(self.needed(model, fleet) for model in fleet.models) <= fleet.sound

    def needed(self, model: str, fleet: ModelFleet) -> int:
        """Return how many engines a model's steps need; all while no step is known."""
        samples = self.places.get(model)
        if samples is None:
            return len(fleet.engines)
        return engines_needed(samples, fleet.slots)

    def _share(self, model: str, fleet: ModelFleet) -> int:
        """Return how many engines a model may have beside the others, by demand."""
        usual = sum(self.tokens.values()) / len(self.tokens) if self.tokens else 1.0
        demand = {each: self.tokens.get(each, usual) for each in fleet.models}
        return load_shares(max(fleet.sound, 1), demand).get(model, 1)
