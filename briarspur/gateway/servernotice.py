"""What a backend server says of itself in an answer."""

import math
from dataclasses import dataclass

__all__ = ["NO_LIMIT", "ServerNotice"]

NO_LIMIT = math.inf
"""Requests per second of a server that names no limit."""


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What the head of one answer says of the server that sent it.

    Attributes
    ----------
    limit_per_s : float or None
        Requests per second that the server takes from all entries together, :data:`NO_LIMIT` if it
        names none; None if the answer does not tell, so that what it said earlier holds.
    """

    limit_per_s: float | None = None
