"""Response bodies that are determined by the request, so that callers can check every byte."""

import hashlib
import json
import random
from functools import lru_cache

__all__ = ["download_etag", "download_part", "download_size", "small_body"]

BLOCK_BYTES = 65_521
"""Prime, so that the same offset in two blocks of a download doesn't hold the same bytes."""


def download_size(path: str) -> int | None:
    """Return the size that ``bytes=N`` in the query requests, or None if it is no download."""
    query = path.partition("?")[2]
    for pair in query.split("&"):
        name, _, value = pair.partition("=")
        if name == "bytes" and value.isdigit():
            return int(value)
    return None


@lru_cache(maxsize=64)
def _block(path: str) -> bytes:
    return random.Random(path).randbytes(BLOCK_BYTES)


def download_part(path: str, start: int, end: int) -> bytes:
    """Return bytes ``start`` up to ``end`` of the download at ``path``."""
    block = _block(path)
    first = start // BLOCK_BYTES
    count = end // BLOCK_BYTES - first + 1
    skip = start - first * BLOCK_BYTES
    return (block * count)[skip : skip + end - start]


@lru_cache(maxsize=64)
def download_etag(path: str) -> str:
    """Return the strong ETag, which is the digest of the complete content."""
    size = download_size(path) or 0
    digest = hashlib.sha256()
    for start in range(0, size, BLOCK_BYTES):
        digest.update(download_part(path, start, min(size, start + BLOCK_BYTES)))
    return f'"{digest.hexdigest()}"'


def small_body(path: str, key: str | None) -> bytes:
    """Return the body for any other request; it contains the request's path and key."""
    return json.dumps({"answer_to": path, "key": key}).encode()
