"""What a backend server says of itself in an answer."""

import math
from dataclasses import dataclass, replace

__all__ = [
    "FROM_ANSWER",
    "FROM_ENTRY",
    "NOTHING_SAID",
    "NO_LIMIT",
    "ServerNotice",
    "ToldLimit",
    "ToldNotices",
]

NO_LIMIT = math.inf
"""Requests per second of a server that names no limit."""
FROM_ANSWER = "answer"
FROM_ENTRY = "entry"
"""Who told what a server says: an answer of its own, or another entry."""


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What the head of one answer says of the server that sent it.

    Attributes
    ----------
    limit_per_s : float or None
        Requests per second that the server takes from all entries together, :data:`NO_LIMIT` if it
        names none; None if the answer does not tell, so that what it said earlier holds.
    leaving : bool
        The server takes no new work any more.
    rest : float
        Seconds from now on in which the server wants nothing from this entry.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    rest: float = 0.0


@dataclass(frozen=True, slots=True)
class ToldLimit:
    """A limit as one entry tells it to another.

    Attributes
    ----------
    number : int
        The server's incarnation.
    per_s : float
        Requests per second from all entries; :data:`NO_LIMIT` if it was lifted.
    age : float
        Seconds since the answer came that says so.
    held : float
        Seconds for which the server has named limits without a break.
    hops : int
        Entries that have passed it on; 0 if the answer came at the one that tells it.
    """

    number: int
    per_s: float
    age: float
    held: float
    hops: int = 0


@dataclass(frozen=True, slots=True)
class ToldNotices:
    """What servers said of themselves, as one entry tells it to another.

    Attributes
    ----------
    limits : tuple of ToldLimit
        What they said lately that they take.
    leaving : tuple of int
        Those that said lately that they leave, by number.
    """

    limits: tuple[ToldLimit, ...] = ()
    leaving: tuple[int, ...] = ()

    def delayed(self, seconds: float) -> "ToldNotices":
        """Return the same as it is after some time on the way."""
        limits = (replace(limit, age=limit.age + seconds) for limit in self.limits)
        return ToldNotices(tuple(limits), self.leaving)


NOTHING_SAID = ToldNotices()
