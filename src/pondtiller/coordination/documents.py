"""Documents that only move forward: replicated by digest and pull.

A document is a named body with the revision that the platform's object service gave it.
A replica takes a higher revision and never a lower one, so an old read, a late message or
a healed cut cannot make it go back.

Owns the documents in memory; the object service holds what lasts. Does not write them there.
"""

from dataclasses import dataclass

from pondtiller import wire
from pondtiller.coordination.outbound import Outbound

PULL_AGAIN_SECONDS = 0.5
"""After which a pull from the same member that was not answered is sent again, in seconds. Chosen,
not measured: several digests in a row that name one revision cost one pull; a lost one costs
this."""


@dataclass(frozen=True, slots=True)
class Document:
    """One revision of a document.

    Attributes
    ----------
    name
        Name of the document in the object service.
    revision
        Revision as the object service numbers it; 0 is before the first.
    body
        JSON text as bytes.
    adopted_at
        Time in seconds at which this replica took the revision.
    """

    name: str
    revision: int
    body: bytes
    adopted_at: float


class DocumentReplica:
    """One member's copies of all documents; `adoptions` counts what was taken.

    Parameters
    ----------
    forward_only
        False only in tests that show what happens without the rule.
    """

    def __init__(self, forward_only: bool = True) -> None:
        self._forward_only = forward_only
        self.documents: dict[str, Document] = {}
        self._highest_heard: dict[str, int] = {}
        self._pulled_at: dict[tuple[str, str], float] = {}
        self._outputs: list[Outbound] = []
        self._adopted: list[Document] = []
        self.adoptions = 0

    def revision(self, name: str) -> int:
        """Return the revision held, 0 where there is none."""
        document = self.documents.get(name)
        return document.revision if document is not None else 0

    def highest_heard(self, name: str) -> int:
        """Return the highest revision that anyone was heard to hold."""
        return max(self.revision(name), self._highest_heard.get(name, 0))

    def adopt(self, name: str, revision: int, body: bytes, now: float) -> bool:
        """Take a revision where it is newer than the one held; return whether it was."""
        if revision == self.revision(name):
            return False
        if self._forward_only and revision < self.revision(name):
            return False
        document = Document(name, revision, body, now)
        self.documents[name] = document
        self.adoptions += 1
        self._adopted.append(document)
        return True

    def digests(self) -> list[wire.DocumentDigest]:
        """Return what to carry on gossip: names and revisions, no bodies."""
        return [
            wire.DocumentDigest(name=name, revision=self.documents[name].revision)
            for name in sorted(self.documents)
        ]

    def receive_digests(self, sender: str, digests: list[wire.DocumentDigest], now: float) -> None:
        """Pull from `sender` what it holds and this replica lacks."""
        for digest in digests:
            heard = self._highest_heard.get(digest.name, 0)
            self._highest_heard[digest.name] = max(heard, digest.revision)
            if digest.revision > self.revision(digest.name):
                self._pull(sender, digest.name, now)

    def receive(
        self, sender: str, message: wire.DocumentPull | wire.DocumentPush, now: float
    ) -> None:
        """Answer a pull, or adopt what was pushed."""
        if isinstance(message, wire.DocumentPush):
            self.adopt(message.name, message.revision, message.body, now)
            return
        document = self.documents.get(message.name)
        if document is not None:
            push = wire.DocumentPush(
                name=document.name, revision=document.revision, body=document.body
            )
            self._outputs.append(Outbound(sender, push))

    def take_outputs(self) -> list[Outbound]:
        """Return and forget the messages to send."""
        outputs, self._outputs = self._outputs, []
        return outputs

    def has_adopted(self) -> bool:
        """Return whether documents were adopted and not taken yet."""
        return bool(self._adopted)

    def take_adopted(self) -> list[Document]:
        """Return and forget the documents adopted since the last call."""
        adopted, self._adopted = self._adopted, []
        return adopted

    def _pull(self, sender: str, name: str, now: float) -> None:
        last = self._pulled_at.get((sender, name))
        if last is not None and now - last < PULL_AGAIN_SECONDS:
            return
        self._pulled_at[(sender, name)] = now
        self._outputs.append(Outbound(sender, wire.DocumentPull(name=name)))
