"""How an attempt at a backend server ended."""

from enum import Enum

__all__ = ["NOT_RUN", "UNANSWERED", "UNCONFIRMED", "UNSENT", "Outcome"]


class Outcome(Enum):
    """How an attempt ended; only outcomes in :data:`NOT_RUN` prove that nothing was run."""

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
"""No byte of the request was sent: there was no connection, or the server accepted no new work."""
NOT_RUN = UNSENT | {Outcome.REJECTED, Outcome.MISDIRECTED}
"""The request was not sent, or the server reported that it did not run it."""
UNCONFIRMED = frozenset({Outcome.TIMED_OUT, Outcome.ABANDONED})
"""The attempt was given up. A server may not have got the request yet, and may still get it."""
UNANSWERED = frozenset({Outcome.LOST, Outcome.INVALID, Outcome.TIMED_OUT})
"""There was no complete response: the server may have crashed."""
