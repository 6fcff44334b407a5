"""The address of another process."""

from dataclasses import dataclass

__all__ = ["Address"]


@dataclass(frozen=True, slots=True)
class Address:
    """Where a process takes calls."""

    host: str
    port: int
