"""The platform's object API and VM list over HTTP; docs/PLATFORM.md gives the protocol.

A write is settled only by its answer; a lost answer is an error of its own, never a failure.
"""

import base64
from dataclasses import dataclass
from enum import Enum
from typing import Self
from urllib.parse import quote

from pydantic import BaseModel, ConfigDict, ValidationError

from briarspur.coord.errors import (
    StoreConflictError,
    StoreError,
    StoreThrottledError,
    StoreUnavailableError,
    StoreUnclearError,
)
from briarspur.coord.store import ABSENT, StoredObject
from briarspur.settings import PlatformSettings
from briarspur.storecalls import NoAnswerError, NotSentError, PlatformClient, Response

__all__ = ["MAX_VALUE_BYTES", "HttpObjectStore", "Vm", "VmList", "VmState"]

MAX_VALUE_BYTES = 1_048_576
WATCH_MARGIN_S = 2.0


class VmState(Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM of the platform's list."""

    vm_id: str
    host: str
    zone: str
    state: VmState
    caller_port: int
    forward_port: int
    peer_port: int


class _Document(BaseModel):
    """A document of the platform; fields we do not know are left alone."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class _VmDocument(_Document):
    id: str
    host: str
    zone: str
    state: VmState
    caller_port: int
    forward_port: int
    peer_port: int


class _VmsDocument(_Document):
    vms: list[_VmDocument]


class _ObjectDocument(_Document):
    name: str
    version: int
    value: str


class _ObjectsDocument(_Document):
    objects: list[_ObjectDocument]


class _ConflictDocument(_Document):
    version: int


class HttpObjectStore:
    """The platform's objects; implements :class:`briarspur.coord.store.ObjectStore`.

    Make it inside the running loop. It owns its connections: use it as an asynchronous context
    manager, or call :meth:`close`.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._client = PlatformClient(settings)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the kept connections."""
        await self._client.close()

    async def get(self, name: str) -> StoredObject | None:
        """Return the object, or None if there is none."""
        response = await self._read(_path(name))
        if response.status == 404:
            return None
        return StoredObject(name, response.version, response.body)

    async def get_newer(self, name: str, known: int) -> StoredObject | None:
        """Return the object if it is not at version ``known``."""
        headers = {b"If-None-Match": b'"%d"' % known}
        response = await self._read(_path(name), headers=headers)
        if response.status in (304, 404):
            return None
        return StoredObject(name, response.version, response.body)

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose names begin with ``prefix``, ordered by name."""
        response = await self._read(f"/v1/objects?prefix={quote(prefix, safe='')}")
        try:
            document = _ObjectsDocument.model_validate_json(response.body)
            return [
                StoredObject(item.name, item.version, base64.b64decode(item.value, validate=True))
                for item in document.objects
            ]
        except ValueError as error:
            raise StoreUnavailableError(f"malformed list: {error}") from None

    async def put(self, name: str, value: bytes, expected_version: int) -> int:
        """Write if the object is at ``expected_version`` (``ABSENT``: create); return its version.

        Raises
        ------
        StoreConflictError
            The object is at another version; nothing was written.
        StoreError
            The value is longer than ``MAX_VALUE_BYTES``.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise StoreError(f"{name}: {len(value)} bytes, at most {MAX_VALUE_BYTES} are held")
        response = await self._write(b"PUT", name, value, expected_version)
        if response.version == ABSENT:
            raise StoreUnclearError(f"{name}: written, but no version was answered")
        return response.version

    async def delete(self, name: str, expected_version: int) -> None:
        """Delete if the object is at ``expected_version``.

        Raises
        ------
        StoreConflictError
            The object is at another version; nothing was deleted.
        """
        await self._write(b"DELETE", name, None, expected_version)

    async def watch(self, name: str, newer_than: int, wait: float) -> StoredObject | None:
        """Wait at most ``wait`` seconds for a version above ``newer_than``; None if none came."""
        query = f"?newer_than={newer_than}&wait_s={wait:.3f}"
        response = await self._read(_path(name) + query, wait + WATCH_MARGIN_S)
        if response.status in (304, 404):
            return None
        return StoredObject(name, response.version, response.body)

    async def _read(
        self, path: str, wait: float = 0.0, headers: dict[bytes, bytes] | None = None
    ) -> Response:
        response = await _read(self._client, path, wait, headers)
        _refuse_malformed_version(response, path)
        return response

    async def _write(
        self, method: bytes, name: str, value: bytes | None, expected_version: int
    ) -> Response:
        creates = expected_version == ABSENT
        condition = (b"If-None-Match", b"*") if creates else _if_match(expected_version)
        try:
            response = await self._client.call(
                method, _path(name), {condition[0]: condition[1]}, value
            )
        except NotSentError as error:
            raise StoreUnavailableError(f"{name}: {error}") from None
        except NoAnswerError as error:
            raise StoreUnclearError(f"{name}: {error}") from None
        if response.status in (200, 201, 204):
            return response
        raise _write_error(name, response)


class VmList:
    """The platform's list of VMs, which lags; owns its connections."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._client = PlatformClient(settings)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the kept connections."""
        await self._client.close()

    async def read(self) -> list[Vm]:
        """Return the VMs the platform believes in, ordered by id.

        Raises
        ------
        StoreUnavailableError
            The list could not be read.
        """
        response = await _read(self._client, "/v1/vms", 0.0)
        try:
            document = _VmsDocument.model_validate_json(response.body)
        except ValidationError as error:
            raise StoreUnavailableError(f"malformed VM list: {error}") from None
        vms = [
            Vm(v.id, v.host, v.zone, v.state, v.caller_port, v.forward_port, v.peer_port)
            for v in document.vms
        ]
        return sorted(vms, key=lambda vm: vm.vm_id)


async def _read(
    client: PlatformClient, path: str, wait: float, headers: dict[bytes, bytes] | None = None
) -> Response:
    """Read; a failure of any kind means only that nothing was learnt."""
    try:
        response = await client.call(b"GET", path, headers, wait=wait)
    except (NotSentError, NoAnswerError) as error:
        raise StoreUnavailableError(f"{path}: {error}") from None
    if response.status in (200, 304, 404):
        return response
    if response.status == 429:
        raise StoreThrottledError(response.retry_after)
    if response.status >= 500:
        raise StoreUnavailableError(f"{path}: status {response.status}")
    raise StoreError(f"{path}: status {response.status}")


def _refuse_malformed_version(response: Response, path: str) -> None:
    is_object = response.status == 200 and not path.startswith("/v1/objects?")
    if is_object and response.version == ABSENT:
        raise StoreUnavailableError(f"{path}: no version in the answer")


def _write_error(name: str, response: Response) -> StoreError:
    """Return the error for a write that was answered and not carried out."""
    if response.status in (409, 412):
        try:
            conflict = _ConflictDocument.model_validate_json(response.body)
        except ValidationError:
            return StoreUnclearError(f"{name}: a conflict without the current version")
        return StoreConflictError(name, conflict.version)
    if response.status == 429:
        return StoreThrottledError(response.retry_after)
    if response.status == 503:
        return StoreUnavailableError(f"{name}: status 503")
    if response.status >= 500:
        return StoreUnclearError(f"{name}: status {response.status}")
    return StoreError(f"{name}: status {response.status}")


def _if_match(version: int) -> tuple[bytes, bytes]:
    return b"If-Match", f'"{version}"'.encode()


def _path(name: str) -> str:
    return f"/v1/objects/{quote(name, safe='/')}"
