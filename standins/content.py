"""Answers that a caller can check whole: it knows each byte from the request alone."""

import hashlib
import json
import random
from functools import lru_cache

__all__ = ["download_etag", "download_part", "download_size", "small_answer"]

BLOCK = 65_521
"""Prime, so that no part of a download looks like the same place in another block of it."""


def download_size(path: str) -> int | None:
    """Return the size asked for by ``bytes=N`` in the query, None if it is no download."""
    query = path.partition("?")[2]
    for pair in query.split("&"):
        name, _, value = pair.partition("=")
        if name == "bytes" and value.isdigit():
            return int(value)
    return None


@lru_cache(maxsize=64)
def _block(path: str) -> bytes:
    return random.Random(path).randbytes(BLOCK)


def download_part(path: str, start: int, end: int) -> bytes:
    """Return bytes ``start`` up to ``end`` of the download at ``path``."""
    block = _block(path)
    first = start // BLOCK
    count = end // BLOCK - first + 1
    skip = start - first * BLOCK
    return (block * count)[skip : skip + end - start]


@lru_cache(maxsize=64)
def download_etag(path: str) -> str:
    """Return the strong ETag: the digest of the whole content."""
    size = download_size(path) or 0
    digest = hashlib.sha256()
    for start in range(0, size, BLOCK):
        digest.update(download_part(path, start, min(size, start + BLOCK)))
    return f'"{digest.hexdigest()}"'


def small_answer(path: str, key: str | None) -> bytes:
    """Return the answer to any other request; it names the request it belongs to."""
    return json.dumps({"answer_to": path, "key": key}).encode()
