"""What identifies a request that a caller sends again: its content and its caller."""

from functools import cached_property
from hashlib import blake2b
from zlib import crc32

__all__ = ["RequestContent"]

DIGEST_BYTES = 8


class RequestContent:
    """The content of a request and its caller; each attempt of a caller has another request id.

    The digests are computed when they are first used, which for most requests is never.

    Parameters
    ----------
    uri : bytes
        Path and query.
    caller : bytes
        The digest of the caller's API key; empty if it has no key.
    """

    def __init__(self, method: bytes, host: str, uri: bytes, body: bytes, caller: bytes) -> None:
        self._method = method
        self._host = host
        self._uri = uri
        self._body = body
        self._caller = caller

    @cached_property
    def digest(self) -> int:
        """A 64-bit hash of what a backend server runs, equal in all processes."""
        digest = blake2b(digest_size=DIGEST_BYTES)
        for part in (self._method, self._host.encode("latin-1"), self._uri):
            digest.update(len(part).to_bytes(4, "big"))
            digest.update(part)
        digest.update(self._body)
        return int.from_bytes(digest.digest(), "big")

    @cached_property
    def caller(self) -> int:
        """A 32-bit hash of the caller, equal in all processes."""
        return crc32(self._caller)
