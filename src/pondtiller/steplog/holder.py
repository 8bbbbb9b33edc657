"""Who may order engines: the last gateway that claimed it in the log.

A gateway's first order in a term comes after its claim is committed. The last claim in the log thus
names the only gateway that can have sent the latest orders, and if that gateway becomes the leader
again, there are no late orders of others to wait for.
"""

from collections.abc import Iterable

from pondtiller.steplog.entry import Entry

HOLDER_PREFIX = "holder/"


def holder_key(epoch: int) -> str:
    """Return the key of a claim; keys sort by epoch."""
    return f"{HOLDER_PREFIX}{epoch:020d}"


def holder_of(entries: Iterable[Entry]) -> str:
    """Return the gateway of the last claim among entries; empty if there is none."""
    claims = [entry for entry in entries if entry.key.startswith(HOLDER_PREFIX)]
    last = max(claims, key=lambda entry: entry.key, default=None)
    return last.value.decode() if last is not None else ""


def older_claims(key: str, keys: Iterable[str]) -> list[str]:
    """Return the claims among some keys that are older than a given claim."""
    return [each for each in keys if each.startswith(HOLDER_PREFIX) and each < key]
