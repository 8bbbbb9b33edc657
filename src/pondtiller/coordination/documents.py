"""Documents whose revisions only increase, replicated by digest and pull.

A document is a named body with the revision that the platform's object service gave it. A replica
accepts a higher revision and never a lower one, so that an old read, a late message or a healed
partition cannot revert it.

Holds the documents in memory; the object service is the durable store. Does not write to it.
"""

from dataclasses import dataclass

from pondtiller import wire
from pondtiller.coordination.outbound import Outbound

REPULL_SECONDS = 0.5
"""Time after which an unanswered pull from the same member is sent again. Several digests in a row
with one revision thus cause one pull; a lost pull is delayed by this."""


@dataclass(frozen=True, slots=True)
class Document:
    """One revision of a document.

    Attributes
    ----------
    name
        Name of the document in the object service.
    revision
        Revision as numbered by the object service; 0 is before the first.
    body
        JSON text as bytes.
    adopted_at
        Time in seconds at which this replica accepted the revision.
    """

    name: str
    revision: int
    body: bytes
    adopted_at: float


class DocumentReplica:
    """One member's copies of all documents; `adoptions` counts accepted revisions.

    Parameters
    ----------
    forward_only
        False only in tests that show what happens without the rule.
    """

    def __init__(self, forward_only: bool = True) -> None:
        self._forward_only = forward_only
        self.documents: dict[str, Document] = {}
        self._highest_known: dict[str, int] = {}
        self._pulled_at: dict[tuple[str, str], float] = {}
        self._outputs: list[Outbound] = []
        self._adopted: list[Document] = []
        self.adoptions = 0

    def revision(self, name: str) -> int:
        """Return the revision held, 0 if there is none."""
        document = self.documents.get(name)
        return document.revision if document is not None else 0

    def highest_known(self, name: str) -> int:
        """Return the highest revision that any member was reported to hold."""
        return max(self.revision(name), self._highest_known.get(name, 0))

    def adopt(self, name: str, revision: int, body: bytes, now: float) -> bool:
        """Accept a revision if it is newer than the one held; return whether it was."""
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
        """Return the digests for gossip: names and revisions without bodies."""
        return [
            wire.DocumentDigest(name=name, revision=self.documents[name].revision)
            for name in sorted(self.documents)
        ]

    def receive_digests(self, sender: str, digests: list[wire.DocumentDigest], now: float) -> None:
        """Pull newer revisions from `sender`."""
        for digest in digests:
            known = self._highest_known.get(digest.name, 0)
            self._highest_known[digest.name] = max(known, digest.revision)
            if digest.revision > self.revision(digest.name):
                self._pull(sender, digest.name, now)

    def receive(
        self, sender: str, message: wire.DocumentPull | wire.DocumentPush, now: float
    ) -> None:
        """Answer a pull, or adopt a pushed document."""
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
        """Return and clear the messages to send."""
        outputs, self._outputs = self._outputs, []
        return outputs

    def has_adopted(self) -> bool:
        """Return whether there are adopted documents that were not taken yet."""
        return bool(self._adopted)

    def take_adopted(self) -> list[Document]:
        """Return and clear the documents adopted since the last call."""
        adopted, self._adopted = self._adopted, []
        return adopted

    def _pull(self, sender: str, name: str, now: float) -> None:
        last = self._pulled_at.get((sender, name))
        if last is not None and now - last < REPULL_SECONDS:
            return
        self._pulled_at[(sender, name)] = now
        self._outputs.append(Outbound(sender, wire.DocumentPull(name=name)))
