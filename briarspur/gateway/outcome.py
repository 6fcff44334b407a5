"""How an attempt at a backend server ended."""

from enum import Enum

__all__ = ["NOT_RUN", "UNSENT", "Outcome"]


class Outcome(Enum):
    """The ends of an attempt; only those in :data:`NOT_RUN` prove that nothing was run."""

    ANSWERED = "answered"
    SERVER_ERROR = "server error"
    NOT_SENT = "not sent"
    DEPARTED = "departed"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    LOST = "lost"
    INVALID = "invalid answer"
    TIMED_OUT = "timed out"
    ABANDONED = "abandoned"


UNSENT = frozenset({Outcome.NOT_SENT, Outcome.DEPARTED})
"""No byte of the request left: there was no connection, or the server took no work any more."""
NOT_RUN = UNSENT | {Outcome.REJECTED, Outcome.MISDIRECTED}
"""No connection took the request, or the server itself said that it did not run it."""
