"""What a backend server says of itself in the platform's store."""

from dataclasses import dataclass

__all__ = ["Registration"]


@dataclass(frozen=True, slots=True)
class Registration:
    """One backend server as it registered itself.

    Attributes
    ----------
    born : int
        Unix time of its start in milliseconds; with ``target_id`` it names one incarnation.
    cold_s : float
        Seconds that it stays cold from when it wrote this.
    """

    target_id: str
    born: int
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool = False
    cold_s: float = 0.0

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identify one run of the process."""
        return self.target_id, self.born
