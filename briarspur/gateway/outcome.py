"""How an attempt at a backend server ended."""

from enum import Enum

__all__ = ["NOT_RUN", "Outcome"]


class Outcome(Enum):
    """The ends of an attempt; only those in :data:`NOT_RUN` prove that nothing was run."""

    ANSWERED = "answered"
    SERVER_ERROR = "server error"
    NOT_SENT = "not sent"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    LOST = "lost"
    INVALID = "invalid answer"
    TIMED_OUT = "timed out"
    ABANDONED = "abandoned"


NOT_RUN = frozenset({Outcome.NOT_SENT, Outcome.REJECTED, Outcome.MISDIRECTED})
"""No connection took the request, or the server itself said that it did not run it."""
