"""Errors raised by the coordination parts."""

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
    """Base of every error of this package."""


class InvariantError(CoordError):
    """A property that must always hold did not hold."""


class StoreError(CoordError):
    """The object store did not carry out a call."""


class StoreConflictError(StoreError):
    """The object's version was not the expected one; nothing was written.

    Parameters
    ----------
    name : str
        Name of the object.
    current_version : int
        Version the store holds now; 0 if the object does not exist.
    """

    def __init__(self, name: str, current_version: int) -> None:
        super().__init__(f"{name}: the store is at version {current_version}")
        self.name = name
        self.current_version = current_version


class StoreUnavailableError(StoreError):
    """The store could not be reached; the call surely had no effect."""


class StoreThrottledError(StoreUnavailableError):
    """The store refused the call for its rate; the call surely had no effect.

    Parameters
    ----------
    retry_after : float
        Seconds after which the store asks to be called again.
    """

    def __init__(self, retry_after: float) -> None:
        super().__init__(f"throttled, retry after {retry_after:.3f} s")
        self.retry_after = retry_after


class StoreUnclearError(StoreError):
    """The answer was lost: the write may or may not have taken effect."""
