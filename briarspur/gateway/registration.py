"""The record that a backend server registers in the platform's store."""

from dataclasses import dataclass

__all__ = ["Registration"]


@dataclass(frozen=True, slots=True)
class Registration:
    """The registration of a backend server.

    Attributes
    ----------
    born : int
        Unix time of its start in milliseconds; identifies an incarnation together with
        ``target_id``. It is 0 if each incarnation has an id of its own.
    cold_s : float
        Seconds for which it stays cold, from the time it wrote the record.
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
        """Identifier of one run of the server process."""
        return self.target_id, self.born

    @property
    def id_identifies_run(self) -> bool:
        """Whether each run of the process has an id of its own."""
        return self.born == 0
