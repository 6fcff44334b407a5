"""Attempts without an answer, as entries report them to each other."""

from dataclasses import dataclass, replace
from enum import Enum, IntEnum

__all__ = ["Evidence", "Loss", "LossState"]


class LossState(IntEnum):
    """What is known of the cause of a loss."""

    OPEN = 0
    CONFIRMED = 1
    REFUTED = 2


class Evidence(Enum):
    """Why a loss was confirmed or refuted."""

    UNREACHABLE = "the server was unreachable"
    REPLACED = "another server answered at its address"
    LAPSED = "the registration lapsed"
    SERVER_ANSWERED = "the server answered later"
    STILL_REGISTERED = "the server stayed registered"
    REQUEST_ANSWERED = "the request was answered"
    CUT_OFF = "this entry was cut off"
    REPORTED = "reported by another entry"


@dataclass(frozen=True, slots=True)
class Loss:
    """An attempt without an answer, as one entry reports it to another.

    Attributes
    ----------
    content : int
        Hash of the request's content.
    target : int
        Number of the server's incarnation.
    caller : int
        Hash of the caller.
    age : float
        Seconds since the attempt ended.
    """

    content: int
    target: int
    caller: int
    age: float
    state: LossState = LossState.OPEN

    def delayed(self, seconds: float) -> "Loss":
        """Return the loss, aged by a transit time."""
        return replace(self, age=self.age + seconds)
