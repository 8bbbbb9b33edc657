"""Demand of steps for each model, and the number of engines it corresponds to. No I/O.

Holds the demand of each model for one term of a leader. `load_shares.py` distributes the engines.
"""

from pondtiller.rollouts.load_shares import engines_needed, load_shares
from pondtiller.rollouts.model_fleet import ModelFleet

DEMAND_WEIGHT = 0.3
"""Weight of one step in the smoothed tokens of a model's steps. Three steps make two thirds, so
that a single large step does not change which engines serve the model."""
PEAK_WEIGHT = 0.3
"""How fast the slots of a model follow smaller steps; larger ones count at once. Too slow keeps
engines loading that no step fills, but does not delay any step."""


class ModelDemand:
    """Demand of each model's steps.

    Attributes
    ----------
    tokens
        Smoothed tokens of a step by model.
    samples
        Samples of a step by model: the recent maximum.
    """

    def __init__(self) -> None:
        self.tokens: dict[str, float] = {}
        self.samples: dict[str, float] = {}

    def step_opened(self, model: str, tokens: float, samples: int) -> None:
        """Record the size of a step."""
        before = self.tokens.get(model, tokens)
        self.tokens[model] = before + DEMAND_WEIGHT * (tokens - before)
        most = self.samples.get(model, 0.0)
        self.samples[model] = max(samples, most + PEAK_WEIGHT * (samples - most))

    def target_engines(self, model: str, fleet: ModelFleet) -> int:
        """Return how many engines should have a model's next version."""
        return self.needed(model, fleet) if self.is_enough(fleet) else self._share(model, fleet)

    def is_enough(self, fleet: ModelFleet) -> bool:
        """Return whether the sound engines suffice for the steps of all their models."""
        return sum(self.needed(model, fleet) for model in fleet.models) <= fleet.sound

    def needed(self, model: str, fleet: ModelFleet) -> int:
        """Return how many engines a model's steps need; all while no step is known."""
        samples = self.samples.get(model)
        if samples is None:
            return len(fleet.engines)
        return engines_needed(samples, fleet.slots)

    def _share(self, model: str, fleet: ModelFleet) -> int:
        """Return how many engines a model may have beside the others, by demand."""
        usual = sum(self.tokens.values()) / len(self.tokens) if self.tokens else 1.0
        demand = {each: self.tokens.get(each, usual) for each in fleet.models}
        return load_shares(max(fleet.sound, 1), demand).get(model, 1)
