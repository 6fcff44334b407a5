"""Collects the load reports of all entries for the planner."""

import asyncio
import contextlib
from collections.abc import Sequence
from typing import Protocol

from briarspur.coord.address import Address
from briarspur.coord.errors import StoreError
from briarspur.errors import BriarspurError
from briarspur.gossip import ObjectCopy
from briarspur.loadreport import LOAD_NAME, LoadDocument, parse_load
from briarspur.objects import Vm

__all__ = ["LoadCollector", "LoadSource", "VmReader"]

MAX_CONCURRENT_FETCHES = 16


class VmReader(Protocol):
    """The platform's list of VMs."""

    async def read(self) -> Sequence[Vm]:
        """Return the VMs; the list may be stale."""


class LoadSource(Protocol):
    """Fetches objects from other entries, as a peer client does."""

    async def fetch(self, address: Address, name: str, newer_than: int) -> ObjectCopy | None:
        """Return an object from the entry at ``address``."""


class LoadCollector:
    """Fetches the load report of every entry on the VM list.

    An entry that does not answer has no report, which is not the same as a report of no load. While
    the VM list can't be read, the last one that was read is used.

    Parameters
    ----------
    vms : VmReader
    source : LoadSource
    """

    def __init__(self, vms: VmReader, source: LoadSource) -> None:
        self._vms = vms
        self._source = source
        self._last_vms: Sequence[Vm] = ()

    async def collect(self) -> list[LoadDocument]:
        """Return the reports of the entries that answered."""
        # An outage of the platform must not look as if no entry answered.
        with contextlib.suppress(StoreError):
            self._last_vms = await self._vms.read()
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_FETCHES)
        found = await asyncio.gather(*(self._fetch_report(vm, semaphore) for vm in self._last_vms))
        return [document for document in found if document is not None]

    async def _fetch_report(self, vm: Vm, semaphore: asyncio.Semaphore) -> LoadDocument | None:
        async with semaphore:
            try:
                copy = await self._source.fetch(Address(vm.host, vm.peer_port), LOAD_NAME, 0)
                return parse_load(copy.value, vm.vm_id) if copy is not None else None
            except BriarspurError:
                return None
