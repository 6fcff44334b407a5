"""What may be stated of a key that was not run: types that only proof can build."""

from dataclasses import dataclass
from typing import Self

__all__ = ["NotRun", "NotRunProof", "OutcomeUnknown", "release"]

_SEAL = object()


class _Sealed:
    """A fact that only this module may state."""

    __slots__ = ()

    def __init__(self, seal: object) -> None:
        if seal is not _SEAL:
            raise TypeError(f"{type(self).__name__} cannot be built here; see its docstring")


class NotRunProof(_Sealed):
    """Proof that one dispatch ran nothing; built by :meth:`not_sent` or :meth:`shed` alone.

    It names the attempt, because a late or doubled proof of an earlier attempt says nothing about
    the one that runs now.
    """

    __slots__ = ("attempt_id", "reason")

    def __init__(self, seal: object, attempt_id: int, reason: str) -> None:
        super().__init__(seal)
        self.attempt_id = attempt_id
        self.reason = reason

    @classmethod
    def not_sent(cls, attempt_id: int) -> Self:
        """State that no byte of the request was handed to a transport."""
        return cls(_SEAL, attempt_id, "not sent")

    @classmethod
    def shed(cls, attempt_id: int) -> Self:
        """Take the backend server's own word that it did not run the request."""
        return cls(_SEAL, attempt_id, "shed")


class NotRun(_Sealed):
    """The key was not run; built by :class:`KeyMemory` alone.

    Attributes
    ----------
    request_ids : tuple of str
        Every caller that waits, the one that ran it included: refuse them as not run.
    """

    __slots__ = ("request_ids",)

    def __init__(self, seal: object, request_ids: tuple[str, ...]) -> None:
        super().__init__(seal)
        self.request_ids = request_ids


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Nothing proves that the key was not run.

    Attributes
    ----------
    request_ids : tuple of str
        Callers to tell so; empty if the key is in the hands of a later attempt or settled.
    """

    request_ids: tuple[str, ...] = ()


def release(request_ids: tuple[str, ...]) -> NotRun:
    """Build the statement; for :class:`~briarspur.coord.once.KeyMemory` alone."""
    return NotRun(_SEAL, request_ids)
