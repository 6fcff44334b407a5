"""How stored objects and look-ups are read and written; the platform package implements it."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from expression import Result

from briarspur.gateway.configuration import Configuration
from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.registration import Registration
from briarspur.gateway.replica import Kind

__all__ = ["Codec", "PartFault", "ReadConfiguration"]


@dataclass(frozen=True, slots=True)
class PartFault:
    """A part of a configuration that could not be read as it stands.

    Attributes
    ----------
    skipped : bool
        The part is not in force; otherwise it is, in the most careful reading.
    """

    part: str
    name: str
    reason: str
    skipped: bool


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """What could be read of a configuration's document, and what could not."""

    configuration: Configuration
    faults: tuple[PartFault, ...] = ()


class Codec(Protocol):
    """Formats of the deployment."""

    configuration_name: str
    lookup_path: bytes
    ready_path: bytes

    def essence(self, kind: Kind, value: Any) -> Any:
        """Return the part of a stored value whose change matters to entries."""

    def configuration(self, value: Any) -> Result[ReadConfiguration, str]:
        """Return what a stored configuration says, or why none of it can be used."""

    def registration(self, name: str, value: Any) -> Result[Registration, str]:
        """Return a backend server's registration, or what is wrong with it."""

    def entry(self, name: str, value: Any) -> Result[EntryRecord, str]:
        """Return an entry's record, or what is wrong with it."""

    def entry_value(self, record: EntryRecord) -> dict[str, Any]:
        """Return an entry's record as it is stored."""

    def lookup_place(self, query: bytes) -> tuple[str, str]:
        """Return region and availability zone that a look-up comes from."""

    def lookup_body(self, entries: Iterable[EntryRecord], lifetime: float) -> bytes:
        """Return the answer to a look-up."""
