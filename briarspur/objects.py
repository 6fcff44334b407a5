"""Access to the platform's object store and to its list of VMs."""

import json
import logging
from dataclasses import dataclass
from enum import Enum

from pydantic import BaseModel, ConfigDict, ValidationError

from briarspur import logs
from briarspur.coord.store import ObjectStore, StoredObject
from briarspur.platform.calls import StoreCalls
from briarspur.platform.objectstore import PlatformObjectStore
from briarspur.processsettings import PlatformSettings
from briarspur.storecalls import PlatformClient

__all__ = ["VMS_PREFIX", "Vm", "VmList", "VmState", "open_store"]

VMS_PREFIX = "vms/"
"""Prefix of the objects that the VMs' operators maintain, one for each VM."""


def open_store(settings: PlatformSettings) -> PlatformObjectStore:
    """Open the platform's store. Call it in a running event loop; the caller closes the store."""
    return PlatformObjectStore(StoreCalls(PlatformClient(settings)))


class VmState(Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM in the platform's list."""

    vm_id: str
    host: str
    zone: str
    state: VmState
    caller_port: int
    forward_port: int
    peer_port: int


class _VmDocument(BaseModel):
    """The stored form of a VM; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    host: str
    zone: str
    state: VmState
    caller_port: int
    forward_port: int
    peer_port: int


class VmList:
    """The platform's list of VMs, which lags behind reality."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def read(self) -> list[Vm]:
        """Return the VMs in the list, ordered by id.

        A malformed item is logged and skipped; the others are returned.

        Raises
        ------
        StoreUnavailableError
            The list cannot be read.
        """
        listed = await self._store.list(VMS_PREFIX)
        return [vm for stored in listed if (vm := _decode_vm(stored)) is not None]


def _decode_vm(stored: StoredObject) -> Vm | None:
    vm_id = stored.name.removeprefix(VMS_PREFIX)
    try:
        document = _VmDocument.model_validate(json.loads(stored.value))
    except ValidationError as error:
        reason = f"{error.error_count()} fields missing or of the wrong type"
    except ValueError as error:
        reason = str(error)
    else:
        ports = (document.caller_port, document.forward_port, document.peer_port)
        return Vm(vm_id, document.host, document.zone, document.state, *ports)
    logs.event("vm-skipped", logging.WARNING, vm=vm_id, reason=reason)
    return None
