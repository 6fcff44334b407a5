"""What the head of another's answer says of the request."""

import re
from dataclasses import dataclass

from twisted.web.http_headers import Headers

from briarspur import headers as names
from briarspur.answerhead import AnswerHead
from briarspur.codes import Code, Ran
from briarspur.messages import Failure

__all__ = [
    "Declined",
    "continues",
    "declined",
    "is_draining",
    "is_resumable",
    "strong_etag",
]

OK = 200
PARTIAL_CONTENT = 206
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
CONTENT_RANGE = re.compile(rb"bytes (\d+)-(\d+)/(\d+)")


@dataclass(frozen=True, slots=True)
class Declined:
    """The receiver answered that it did not run the request, gave it up, or does not know.

    Attributes
    ----------
    code : Code or None
        What another entry said; None from a backend server.
    """

    failure: Failure
    retry_after: float | None
    code: Code | None = None


def declined(head: AnswerHead, from_entry: bool) -> Declined | None:
    """Return what the head says if the request was not surely run; None if it is an answer.

    Parameters
    ----------
    from_entry : bool
        The answer came from another entry, which must say by its headers what became of the
        request; an answer that lacks them proves nothing.
    """
    retry_after = names.parse_retry_after(head.headers)
    if not from_entry:
        said = names.last_value(head.headers, names.NOT_RUN)
        if head.status == SERVICE_UNAVAILABLE and said is not None and said.lower() == b"true":
            return Declined(Failure.SHED, retry_after)
        if head.status == GATEWAY_TIMEOUT:
            # It gave up at the deadline we sent; passed on, this would count as a whole answer.
            return Declined(Failure.DEADLINE, retry_after)
        return None
    ran = names.last_value(head.headers, names.RAN)
    code = _code(names.last_value(head.headers, names.CODE))
    if code is None or ran not in _RAN_BY_VALUE:
        return Declined(Failure.LOST, retry_after)
    if _RAN_BY_VALUE[ran] is Ran.NO:
        return Declined(Failure.SHED, retry_after, code)
    if _RAN_BY_VALUE[ran] is Ran.UNKNOWN:
        return Declined(Failure.LOST, retry_after, code)
    return None


_RAN_BY_VALUE = {ran.value.encode(): ran for ran in Ran}


def is_draining(head: AnswerHead) -> bool:
    """Return whether a backend server says that it takes no new work after this request."""
    said = names.last_value(head.headers, names.DRAINING)
    return said is not None and said.lower() == b"true"


def strong_etag(headers: Headers) -> bytes | None:
    """Return the entity tag if it is strong: equal only for equal bytes."""
    etag = names.last_value(headers, b"ETag")
    return etag if etag is not None and etag.startswith(b'"') else None


def is_resumable(head: AnswerHead) -> bool:
    """Return whether a body that was cut can be continued by Range and If-Range."""
    ranges = names.last_value(head.headers, b"Accept-Ranges")
    return (
        head.status == OK
        and head.length is not None
        and strong_etag(head.headers) is not None
        and ranges is not None
        and ranges.lower() == b"bytes"
    )


def continues(first: AnswerHead, head: AnswerHead, resume_at: int) -> bool:
    """Return whether ``head`` begins the rest of the body that ``first`` began.

    A backend server that lost the old file, or never had it, sends another entity or the whole
    one; joined to the part already passed on, that would be a corrupt file that looks complete.
    """
    match = CONTENT_RANGE.fullmatch(names.last_value(head.headers, b"Content-Range") or b"")
    if head.status != PARTIAL_CONTENT or match is None:
        return False
    start, _, total = (int(group) for group in match.groups())
    same = strong_etag(head.headers) == strong_etag(first.headers)
    return same and start == resume_at and total == first.length


def _code(value: bytes | None) -> Code | None:
    try:
        return Code(int(value)) if value is not None else None
    except ValueError:
        return None
