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

__all__ = ["LoadSource", "Reporters", "VmReader"]

AT_ONCE = 16
"""Entries asked at the same time."""


class VmReader(Protocol):
    """The platform's list of VMs."""

    async def read(self) -> Sequence[Vm]:
        """Return the VMs; may be old."""


class LoadSource(Protocol):
    """Hands out objects of other entries, as a peer client does."""

    async def fetch(self, address: Address, name: str, newer_than: int) -> ObjectCopy | None:
        """Return an object of the entry at ``address``."""


class Reporters:
    """Asks every VM of the list for its load.

    An entry that does not answer gives no report; that is not the same as an idle one. While the
    list can't be read, the last one is used.

    Parameters
    ----------
    vms : VmReader
    source : LoadSource
    """

    def __init__(self, vms: VmReader, source: LoadSource) -> None:
        self._vms = vms
        self._source = source
        self._known: Sequence[Vm] = ()

    async def collect(self) -> list[LoadDocument]:
        """Return the reports that came."""
        # An outage of the platform must not look like silence of all entries.
        with contextlib.suppress(StoreError):
            self._known = await self._vms.read()
        limit = asyncio.Semaphore(AT_ONCE)
        found = await asyncio.gather(*(self._ask(vm, limit) for vm in self._known))
        return [document for document in found if document is not None]

    async def _ask(self, vm: Vm, limit: asyncio.Semaphore) -> LoadDocument | None:
        async with limit:
            try:
                copy = await self._source.fetch(Address(vm.host, vm.peer_port), LOAD_NAME, 0)
                return parse_load(copy.value, vm.vm_id) if copy is not None else None
            except BriarspurError:
                return None
