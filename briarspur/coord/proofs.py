"""Types that state that a key was not run, which can only be built with proof."""

from dataclasses import dataclass
from typing import Self

__all__ = ["NotRun", "NotRunProof", "OutcomeUnknown", "build_not_run"]

_SEAL = object()


class _Sealed:
    """Base of types that only this module can instantiate."""

    __slots__ = ()

    def __init__(self, seal: object) -> None:
        if seal is not _SEAL:
            raise TypeError(
                f"{type(self).__name__} cannot be instantiated directly; see its docstring"
            )


class NotRunProof(_Sealed):
    """Proof that one dispatch did not run; built by :meth:`not_sent` or :meth:`shed` only.

    It carries the attempt id, because a late or duplicated proof of an earlier attempt says
    nothing about the current one.
    """

    __slots__ = ("attempt_id", "reason")

    def __init__(self, seal: object, attempt_id: int, reason: str) -> None:
        super().__init__(seal)
        self.attempt_id = attempt_id
        self.reason = reason

    @classmethod
    def not_sent(cls, attempt_id: int) -> Self:
        """Build the proof that no byte of the request was passed to a transport."""
        return cls(_SEAL, attempt_id, "not sent")

    @classmethod
    def shed(cls, attempt_id: int) -> Self:
        """Build the proof from the backend server's statement that it did not run the request."""
        return cls(_SEAL, attempt_id, "shed")


class NotRun(_Sealed):
    """States that the key was not run; built by :class:`KeyMemory` only.

    Attributes
    ----------
    request_ids : tuple of str
        All waiting requests, including the one that was to run the key; refuse them as not run.
    """

    __slots__ = ("request_ids",)

    def __init__(self, seal: object, request_ids: tuple[str, ...]) -> None:
        super().__init__(seal)
        self.request_ids = request_ids


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """States that there is no proof that the key was not run.

    Attributes
    ----------
    request_ids : tuple of str
        Requests to answer with an unknown outcome; empty if a later attempt is running or the key
        is settled.
    """

    request_ids: tuple[str, ...] = ()


def build_not_run(request_ids: tuple[str, ...]) -> NotRun:
    """Build a :class:`NotRun`; only for :class:`~briarspur.coord.once.KeyMemory`."""
    return NotRun(_SEAL, request_ids)
