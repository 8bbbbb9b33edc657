"""Rendezvous hashing and digests: every process computes the same from the same input.

Without a seed. `digest` is fast and not cryptographic; `content_digest` is for texts whose sender
must not be able to choose the digest.
"""

import hashlib
from collections.abc import Iterable

import xxhash

DIGEST_SHOWN = 8
"""Hexadecimal digits of a key's digest that are displayed: enough to tell a table's keys apart."""


def score(key: str, candidate: str) -> int:
    """Return the 64-bit weight of `candidate` for `key`."""
    return xxhash.xxh3_64_intdigest(_encode(f"{key}\0{candidate}"))


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Return `candidates` with the owner of `key` first."""
    return sorted(candidates, key=lambda candidate: (-score(key, candidate), candidate))


def owner(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate that owns `key`, or None if there are no candidates."""
    return min(candidates, key=lambda candidate: (-score(key, candidate), candidate), default=None)


def digest(text: str) -> str:
    """Return a 128-bit digest of `text` in hexadecimal."""
    return xxhash.xxh3_128_hexdigest(_encode(text))


def content_digest(*parts: bytes) -> str:
    """Return a 128-bit digest of texts in their order, in hexadecimal.

    It is cryptographic, so that the sender of one text cannot produce another text's digest.
    """
    hasher = hashlib.blake2b(digest_size=16)
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.hexdigest()


def _encode(text: str) -> bytes:
    # JSON may contain lone surrogates, which strict UTF-8 rejects.
    return text.encode("utf-8", "surrogatepass")
