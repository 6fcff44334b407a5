"""The address of another process."""

from dataclasses import dataclass

__all__ = ["Address"]


@dataclass(frozen=True, slots=True)
class Address:
    """Host and port on which a process accepts connections."""

    host: str
    port: int
