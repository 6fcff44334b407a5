"""Final answers that briarspur generates itself."""

import json
import math
from dataclasses import dataclass

from briarspur import headers as names
from briarspur.codes import CODES, Code

__all__ = ["Answer", "Refusal", "refusal_answer"]


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer that is small enough to be kept."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Refusal:
    """A final answer that briarspur generates instead of relaying one.

    Attributes
    ----------
    retry_after : float or None
        Seconds after which the caller may retry; None if a retry is of no use.
    """

    code: Code
    detail: str = ""
    retry_after: float | None = None


def refusal_answer(refusal: Refusal) -> Answer:
    """Return the HTTP answer that reports a refusal to the caller."""
    info = CODES[refusal.code]
    document = {
        "code": int(refusal.code),
        "name": refusal.code.name,
        "ran": info.ran.value,
        "repeat": info.repeat.value,
        "detail": refusal.detail or info.meaning,
        "retry_after": refusal.retry_after,
    }
    pairs = [
        (b"Content-Type", b"application/json"),
        (names.CODE, b"%d" % refusal.code),
        (names.RAN, info.ran.value.encode()),
    ]
    if refusal.retry_after is not None:
        pairs.append((names.RETRY_AFTER, b"%d" % max(1, math.ceil(refusal.retry_after))))
    return Answer(info.http_status, tuple(pairs), json.dumps(document).encode() + b"\n")
