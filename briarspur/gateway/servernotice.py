"""Notices about itself that a backend server includes in its responses."""

import math
from dataclasses import dataclass, replace

from briarspur.gateway.loss import Loss

__all__ = [
    "FROM_ANSWER",
    "FROM_ENTRY",
    "NO_LIMIT",
    "NO_NOTICES",
    "ReportedLimit",
    "ReportedNotices",
    "ServerNotice",
]

NO_LIMIT = math.inf
"""Requests per second of a server that advertises no limit."""
FROM_ANSWER = "answer"
FROM_ENTRY = "entry"
"""Source of a notice: a response of the server itself, or another entry."""


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """The notices in the head of one response, about the server that sent it.

    Attributes
    ----------
    limit_per_s : float or None
        Requests per second that the server accepts from all entries together, :data:`NO_LIMIT` if
        it advertises none; None if the response does not say, so that the earlier limit still
        applies.
    leaving : bool
        The server no longer accepts new work.
    backoff : float
        Seconds from now on in which this entry must send the server no requests.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    backoff: float = 0.0


@dataclass(frozen=True, slots=True)
class ReportedLimit:
    """A limit as one entry reports it to another.

    Attributes
    ----------
    number : int
        The server's incarnation.
    per_s : float
        Requests per second from all entries; :data:`NO_LIMIT` if it was lifted.
    age : float
        Seconds since the response that advertised it arrived.
    held : float
        Seconds for which the server has advertised limits without interruption.
    hops : int
        Number of entries that passed it on; 0 if the reporting entry received the response
        itself.
    """

    number: int
    per_s: float
    age: float
    held: float
    hops: int = 0


@dataclass(frozen=True, slots=True)
class ReportedNotices:
    """Notices of servers, as one entry reports them to another.

    Attributes
    ----------
    limits : tuple of ReportedLimit
        The limits that servers advertised recently.
    leaving : tuple of int
        Numbers of the servers that recently announced that they are leaving.
    losses : tuple of Loss
        Requests that servers may have crashed on.
    """

    limits: tuple[ReportedLimit, ...] = ()
    leaving: tuple[int, ...] = ()
    losses: tuple[Loss, ...] = ()

    def delayed(self, seconds: float) -> "ReportedNotices":
        """Return the same notices, aged by a transit time."""
        limits = (replace(limit, age=limit.age + seconds) for limit in self.limits)
        losses = (loss.delayed(seconds) for loss in self.losses)
        return ReportedNotices(tuple(limits), self.leaving, tuple(losses))


NO_NOTICES = ReportedNotices()
