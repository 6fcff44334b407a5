"""Interface for the formats of stored objects and look-ups, implemented by the platform package."""

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
    """A part of a configuration that is malformed.

    Attributes
    ----------
    skipped : bool
        The part is not applied; otherwise it is applied in its most restrictive interpretation.
    """

    part: str
    name: str
    reason: str
    skipped: bool


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """The configuration parsed from a document, and the parts that are malformed."""

    configuration: Configuration
    faults: tuple[PartFault, ...] = ()


class Codec(Protocol):
    """Encodes and decodes the formats of a deployment."""

    configuration_name: str
    lookup_path: bytes
    ready_path: bytes

    def relevant_part(self, kind: Kind, value: Any) -> Any:
        """Return the part of a stored value whose changes are relevant to entries."""

    def write_order(self, kind: Kind, value: Any) -> tuple[int, ...] | None:
        """Return the position of a value among the writes of its object; None if it has none."""

    def configuration(self, value: Any) -> Result[ReadConfiguration, str]:
        """Return a stored configuration, or the reason why none of it can be used."""

    def registration(self, name: str, value: Any) -> Result[Registration, str]:
        """Return the registration of a backend server, or an error message."""

    def entry(self, name: str, value: Any) -> Result[EntryRecord, str]:
        """Return the record of an entry, or an error message."""

    def entry_value(self, record: EntryRecord) -> dict[str, Any]:
        """Return the stored form of an entry's record."""

    def lookup_location(self, query: bytes) -> tuple[str, str]:
        """Return the region and availability zone from which a look-up was sent."""

    def lookup_body(self, entries: Iterable[EntryRecord], lifetime: float) -> bytes:
        """Return the response body of a look-up."""
