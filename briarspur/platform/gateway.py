"""The gateway, configured for the platform."""

import os
from collections.abc import Iterable
from typing import Any

from expression import Result

from briarspur.daemon import run_file
from briarspur.gateway.app import Gateway
from briarspur.gateway.codec import ReadConfiguration
from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.registration import Registration
from briarspur.gateway.replica import Kind
from briarspur.gateway.settings import GatewaySettings
from briarspur.platform import configdocument, documents, lookup
from briarspur.platform.calls import StoreCalls
from briarspur.platform.dialect import PlatformDialect
from briarspur.platform.store import PlatformStore
from briarspur.processsettings import PlatformSettings
from briarspur.storecalls import PlatformClient

__all__ = ["PlatformCodec", "main"]

SETTINGS_VARIABLE = "BRIARSPUR_BOOT"


class PlatformCodec:
    """Implements :class:`briarspur.gateway.codec.Codec`."""

    configuration_name = configdocument.CONFIGURATION_NAME
    lookup_path = lookup.LOOKUP_PATH
    ready_path = lookup.READY_PATH

    def relevant_part(self, kind: Kind, value: Any) -> Any:
        """Return the part of a stored value whose changes are relevant to entries."""
        return documents.relevant_part(kind, value)

    def write_order(self, kind: Kind, value: Any) -> tuple[int, ...] | None:
        """Return the position of a value among the writes of its object; None if it has none."""
        return documents.write_order(kind, value)

    def configuration(self, value: Any) -> Result[ReadConfiguration, str]:
        """Return a stored configuration, or the reason why none of it can be used."""
        return configdocument.decode_configuration(value)

    def registration(self, name: str, value: Any) -> Result[Registration, str]:
        """Return the registration of a backend server, or an error message."""
        return documents.decode_registration(name, value)

    def entry(self, name: str, value: Any) -> Result[EntryRecord, str]:
        """Return the record of an entry, or an error message."""
        return documents.decode_entry(name, value)

    def entry_value(self, record: EntryRecord) -> dict[str, Any]:
        """Return the record of an entry in its stored form."""
        return documents.encode_entry(record)

    def lookup_location(self, query: bytes) -> tuple[str, str]:
        """Return the region and availability zone of the caller that sent a look-up."""
        return lookup.caller_location(query)

    def lookup_body(self, entries: Iterable[EntryRecord], lifetime: float) -> bytes:
        """Return the response body for a look-up."""
        return lookup.lookup_body(entries, lifetime)


def build(settings: GatewaySettings) -> Gateway:
    """Create a gateway from its settings."""
    host, _, port = settings.store.address.rpartition(":")
    client = PlatformClient(
        PlatformSettings(
            host=host,
            port=int(port),
            timeout_s=settings.store.timeout_s,
            idle_s=settings.store.idle_s,
        )
    )
    return Gateway(settings, PlatformDialect(), PlatformStore(StoreCalls(client)), PlatformCodec())


def main() -> int:
    """Run the gateway with the settings file that the platform passes in the environment."""
    return run_file("briarspur-gateway", GatewaySettings, build, os.environ[SETTINGS_VARIABLE])
