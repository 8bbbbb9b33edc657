"""Tenants as rows of the table, and their keys as digests.

A key is turned into its SHA-256 digest where it is read, and only the digest is kept: the key
itself reaches no engine, log line, metric, file or other daemon.
"""

import hashlib
import hmac
from collections.abc import Iterable
from typing import NamedTuple
from urllib.parse import quote


class TenantRow(NamedTuple):
    """A tenant's row.

    Attributes
    ----------
    key_digests
        SHA-256 digests of the keys that callers may show, as hexadecimal text.
    priority
        Rank of the tenant's requests, 0 first; None where the routes' ranks count.
    rate_per_second
        Most requests a second over all daemons together; None where there is no limit.
    homes
        Regions that may serve and keep the tenant's requests; empty where any may.
    """

    name: str
    key_digests: frozenset[str] = frozenset()
    priority: int | None = None
    rate_per_second: float | None = None
    homes: frozenset[str] = frozenset()


class TenantIndex:
    """Tenants by name and by the digests of their keys."""

    def __init__(self, rows: Iterable[TenantRow]) -> None:
        self.by_name = {row.name: row for row in rows}
        self._by_digest = {
            digest: (digest, row) for row in self.by_name.values() for digest in row.key_digests
        }

    def find(self, digest: str) -> TenantRow | None:
        """Return the tenant that holds a key; the digests are compared in constant time."""
        known, row = self._by_digest.get(digest, ("", None))
        return row if hmac.compare_digest(known, digest) else None


def digest_of(key: str) -> str:
    """Return a key's SHA-256 digest as hexadecimal text."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def owned_name(tenant: str, name: str) -> str:
    """Return the name under which a tenant's step or sample is kept.

    Two tenants may use the same name: each finds its own only, and neither learns of the other.
    A name that belongs to no tenant stays as it is.
    """
    return f"{quote(tenant, safe='')}@{name}" if tenant else name
