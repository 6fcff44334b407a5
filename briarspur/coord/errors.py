"""Errors raised by the coordination modules."""

__all__ = [
    "CoordError",
    "InvariantError",
    "StoreConflictError",
    "StoreError",
    "StoreThrottledError",
    "StoreUnavailableError",
    "StoreUnclearError",
]


class CoordError(Exception):
    """Base class of all errors of this package."""


class InvariantError(CoordError):
    """An invariant was violated."""


class StoreError(CoordError):
    """A call to the object store failed."""


class StoreConflictError(StoreError):
    """The object's version was not the expected one; nothing was written.

    Parameters
    ----------
    name : str
        Name of the object.
    current_version : int
        Current version in the store; 0 if the object does not exist.
    """

    def __init__(self, name: str, current_version: int) -> None:
        super().__init__(f"{name}: the store is at version {current_version}")
        self.name = name
        self.current_version = current_version


class StoreUnavailableError(StoreError):
    """The store could not be reached; the call certainly had no effect."""


class StoreThrottledError(StoreUnavailableError):
    """The store refused the call due to its rate limit; the call certainly had no effect.

    Parameters
    ----------
    retry_after : float
        Seconds to wait before the next call, as requested by the store.
    """

    def __init__(self, retry_after: float) -> None:
        super().__init__(f"throttled, retry after {retry_after:.3f} s")
        self.retry_after = retry_after


class StoreUnclearError(StoreError):
    """The answer was lost: the write may or may not have taken effect."""
