"""What engines of a soak share, for tests that look at one of its parts."""

from pondtiller.soak.caller_rules import RateRule
from pondtiller.soak.cancelled_steps import CancelledSteps
from pondtiller.soak.ending_rules import EndingRule
from pondtiller.soak.owners import Owners
from pondtiller.soak.promises import Promises
from pondtiller.soak.sample_runs import SampleRuns
from pondtiller.soak.stand_ins import Platform
from pondtiller.standins.store import StandInStore

NEVER = float("-inf")


def make_platform(seen: Promises, acts_since: float = NEVER) -> Platform:
    """Return a platform of no programs; all of them have acted since the same time."""
    return Platform(
        seen,
        SampleRuns(seen),
        RateRule(seen),
        StandInStore(),
        Owners(dict),
        lambda _: acts_since,
        EndingRule(seen),
        lambda _: acts_since,
        CancelledSteps(seen),
    )
