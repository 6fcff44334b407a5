"""The time that the start of this process took, imports included."""

import time

__all__ = ["record_start", "start_duration"]

_started_at: list[float] = []


def record_start() -> None:
    """Record the start of the process; to be called before its imports."""
    _started_at[:] = [time.monotonic()]


def start_duration() -> float:
    """Return the seconds since the recorded start; 0 if none was recorded."""
    return time.monotonic() - _started_at[0] if _started_at else 0.0
