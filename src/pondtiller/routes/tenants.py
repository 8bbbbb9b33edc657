"""Tenants' rows of the table, with digests of their keys.

A key is replaced by its SHA-256 digest where it is read. The key itself reaches no engine, log
line, metric, file or other daemon.
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
        SHA-256 digests of the accepted keys, in hexadecimal.
    priority
        Rank of the tenant's requests, 0 is the most urgent; None if the routes' ranks apply.
    rate_per_second
        Most requests a second over all daemons together; None for no limit.
    homes
        Regions that may process and store the tenant's requests; empty for any.
    """

    name: str
    key_digests: frozenset[str] = frozenset()
    priority: int | None = None
    rate_per_second: float | None = None
    homes: frozenset[str] = frozenset()


class TenantIndex:
    """Tenants by name and by key digest."""

    def __init__(self, rows: Iterable[TenantRow]) -> None:
        self.by_name = {row.name: row for row in rows}
        self._by_digest = {
            digest: (digest, row) for row in self.by_name.values() for digest in row.key_digests
        }

    def find(self, digest: str) -> TenantRow | None:
        """Return the tenant of a key digest, compared in constant time."""
        known, row = self._by_digest.get(digest, ("", None))
        return row if hmac.compare_digest(known, digest) else None


def digest_of(key: str) -> str:
    """Return a key's SHA-256 digest in hexadecimal."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def owned_name(tenant: str, name: str) -> str:
    """Return the name under which a tenant's step or sample is stored.

    Two tenants may use the same name; neither can find the other's. A name without a tenant stays
    as it is.
    """
    return f"{quote(tenant, safe='')}@{name}" if tenant else name
