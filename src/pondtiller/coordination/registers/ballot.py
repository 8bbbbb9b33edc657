"""Ballots: the total order in which proposals to one register override each other."""

from typing import NamedTuple

from pondtiller import wire


class Ballot(NamedTuple):
    """A proposal number; ties are broken by the proposer's name."""

    counter: int = 0
    proposer: str = ""

    def to_wire(self) -> wire.Ballot:
        """Return the message for this ballot."""
        return wire.Ballot(counter=self.counter, proposer=self.proposer)

    @classmethod
    def from_wire(cls, ballot: wire.Ballot) -> "Ballot":
        """Return the ballot in a message."""
        return cls(ballot.counter, ballot.proposer)


ZERO = Ballot()
