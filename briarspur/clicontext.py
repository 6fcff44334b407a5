"""The context of a command: the store, the entries, the clock and the output format."""

import asyncio
import os
import sys
import time
import uuid
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import TypeVar, cast

from twisted.internet.interfaces import IReactorTCP

from briarspur.coord.store import ObjectStore
from briarspur.documents import load_settings
from briarspur.errors import Fault, SettingsError
from briarspur.exits import ExitCode
from briarspur.fetch import Endpoint, Fetcher, HttpFetcher
from briarspur.objects import VmList, open_store
from briarspur.porcelain import Directory, Signature
from briarspur.printing import to_json
from briarspur.repository import PolicyRepository
from briarspur.settings import CliSettings, DaemonSettings

__all__ = [
    "Context",
    "VmDirectory",
    "handle_broken_pipe",
    "open_context",
    "print_result",
    "read_file",
    "sign",
]

POLL_INTERVAL_S = 1.0

T = TypeVar("T")


class VmDirectory:
    """Gets the entries' endpoints from the platform's list of VMs, which may be stale."""

    def __init__(self, vms: VmList) -> None:
        self._vms = vms

    async def endpoints(self) -> list[Endpoint]:
        """Return the endpoint of each VM on the list, including those that are leaving."""
        return [Endpoint(vm.vm_id, vm.host, vm.caller_port) for vm in await self._vms.read()]


@dataclass(slots=True)
class Context:
    """The context of a command; ``interval`` is in seconds between two queries to the entries."""

    json: bool
    author: str
    _repository: PolicyRepository | None = None
    _directory: Directory | None = None
    _fetcher: Fetcher | None = None
    _store: ObjectStore | None = None
    interval: float = POLL_INTERVAL_S
    now: Callable[[], float] = time.monotonic
    sleep: Callable[[float], "asyncio.Future[None]"] = field(default=asyncio.sleep)  # type: ignore[assignment]

    @property
    def repository(self) -> PolicyRepository:
        """The repository of the policy's revisions."""
        return _require(self._repository)

    @property
    def directory(self) -> Directory:
        """The list of the entries' endpoints."""
        return _require(self._directory)

    @property
    def fetcher(self) -> Fetcher:
        """The client for HTTP queries to entries."""
        return _require(self._fetcher)

    @property
    def store(self) -> ObjectStore:
        """The platform's object store."""
        return _require(self._store)

    def sign(self, note: str) -> Signature:
        """Return a signature by this author with a token that is unique to the write."""
        return sign(self.author, note)


def sign(author: str, note: str) -> Signature:
    """Return a signature with the current time and a token that is unique to the write."""
    written_at = datetime.now(UTC).isoformat(timespec="seconds")
    return Signature(uuid.uuid4().hex, author, note, written_at)


@asynccontextmanager
async def open_context(
    settings: str | None, json: bool, author: str, model: type[DaemonSettings] = CliSettings
) -> AsyncIterator[Context]:
    """Connect to the platform named in the settings file.

    Without settings, the context has no store and no entries; commands such as ``check`` need none.
    """
    if settings is None:
        yield Context(json, author)
        return
    platform = load_settings(model, settings).platform
    from twisted.internet import reactor

    fetcher = HttpFetcher(cast(IReactorTCP, reactor), platform.timeout_s)
    async with open_store(platform) as store:
        directory = VmDirectory(VmList(store))
        yield Context(json, author, PolicyRepository(store), directory, fetcher, store)


def read_file(path: str) -> bytes:
    """Return the content of a file; ``-`` reads standard input."""
    if path == "-":
        return sys.stdin.buffer.read()
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise SettingsError(path, [Fault("(file)", str(error))]) from None


def print_result(context: Context, result: T, text: Callable[[T], str]) -> None:
    """Print a result as text, or as JSON if the context requests it."""
    print(to_json(result) if context.json else text(result), flush=True)


def handle_broken_pipe() -> ExitCode:
    """Suppress errors after the reader of standard output, such as ``head``, has exited."""
    # Python flushes standard output at exit, which would report the broken pipe again.
    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    return ExitCode.FAILED


def _require(value: T | None) -> T:
    if value is None:
        fault = Fault("(file)", "pass --settings FILE or set BRIARSPUR_SETTINGS")
        raise SettingsError("settings", [fault])
    return value
