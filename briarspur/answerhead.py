"""The head of an HTTP answer."""

from dataclasses import dataclass

from twisted.web.http_headers import Headers

__all__ = ["AnswerHead"]


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer.

    Attributes
    ----------
    length : int or None
        Size of the body in bytes; None if unknown.
    """

    status: int
    headers: Headers
    length: int | None
