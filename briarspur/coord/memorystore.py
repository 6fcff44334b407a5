"""An object store in memory whose faults a test chooses.

It serves tests of programs that embed the coordination parts, too. Every call takes effect at one
moment and answers at another; faults act on either. With ``held`` set, a call waits until the
test's driver lets it go, so that the driver chooses the order in which calls interleave.
"""

import asyncio
from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum
from typing import Any

from briarspur.coord.errors import (
    StoreConflictError,
    StoreThrottledError,
    StoreUnavailableError,
    StoreUnclearError,
)
from briarspur.coord.store import ABSENT, StoredObject

__all__ = ["HeldCall", "MemoryStore", "StoreFault"]

HISTORY = 16


class StoreFault(Enum):
    """What happens to one call."""

    UNAVAILABLE = "refused; no effect"
    THROTTLED = "refused for its rate; no effect"
    LOST_ANSWER = "a write takes effect, its answer is lost"
    LOST_REQUEST = "a write has no effect, and the writer cannot tell"


@dataclass(slots=True, eq=False)
class HeldCall:
    """A call that waits for the test's driver.

    Attributes
    ----------
    kind : str
        ``get``, ``list``, ``put``, ``delete`` or ``watch``.
    task : asyncio.Task or None
        Who called.
    """

    kind: str
    name: str
    go: asyncio.Future[StoreFault | None]
    task: asyncio.Task[Any] | None

    def release(self, fault: StoreFault | None = None) -> None:
        """Let the call take effect, with ``fault`` if one is given."""
        if not self.go.done():
            self.go.set_result(fault)


class MemoryStore:
    """An :class:`~briarspur.coord.store.ObjectStore` of one process.

    Attributes
    ----------
    down : bool
        Every call is refused, and waiting watches break off.
    stale_by : int
        Reads and watches see the state this many writes ago, at most as many as are kept.
    deaf : bool
        Watches never see a change: they end at their time with nothing.
    held : bool
        Calls wait in ``held_calls`` until released.
    calls_by_kind : Counter of str
        Calls seen, refused ones included.
    """

    def __init__(self) -> None:
        self.down = False
        self.stale_by = 0
        self.deaf = False
        self.held = False
        self.held_calls: list[HeldCall] = []
        self.calls_by_kind: Counter[str] = Counter()
        self._objects_by_name: dict[str, StoredObject] = {}
        self._last_version_by_name: dict[str, int] = {}
        self._history: deque[dict[str, StoredObject]] = deque(maxlen=HISTORY)
        self._faults: deque[StoreFault] = deque()
        self._watchers_by_name: dict[str, list[asyncio.Future[None]]] = {}

    def fail_next(self, *faults: StoreFault) -> None:
        """Let the next calls meet these faults, one each, in this order."""
        self._faults.extend(faults)

    def stop(self) -> None:
        """Begin an outage."""
        self.down = True
        self._wake(*list(self._watchers_by_name))

    def start(self) -> None:
        """End an outage."""
        self.down = False

    def peek(self, name: str) -> StoredObject | None:
        """Return the newest state of an object, past every fault."""
        return self._objects_by_name.get(name)

    async def get(self, name: str) -> StoredObject | None:
        """Return the object, or None if there is none."""
        await self._begin("get", name)
        return self._seen().get(name)

    async def get_newer(self, name: str, known: int) -> StoredObject | None:
        """Return the object if it is not at version ``known``."""
        found = await self.get(name)
        return found if found is not None and found.version != known else None

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose names begin with ``prefix``, ordered by name."""
        await self._begin("list", prefix)
        seen = self._seen()
        return [seen[name] for name in sorted(seen) if name.startswith(prefix)]

    async def put(self, name: str, value: bytes, expected_version: int) -> int:
        """Write if the object is at ``expected_version``; return its new version."""
        fault = await self._begin("put", name)
        if fault is StoreFault.LOST_REQUEST:
            raise StoreUnclearError(name)
        self._expect(name, expected_version, fault)
        version = self._last_version_by_name.get(name, ABSENT) + 1
        self._change(name, StoredObject(name, version, value))
        if fault is StoreFault.LOST_ANSWER:
            raise StoreUnclearError(name)
        return version

    async def delete(self, name: str, expected_version: int) -> None:
        """Delete if the object is at ``expected_version``."""
        fault = await self._begin("delete", name)
        if fault is StoreFault.LOST_REQUEST:
            raise StoreUnclearError(name)
        self._expect(name, expected_version, fault)
        self._change(name, None)
        if fault is StoreFault.LOST_ANSWER:
            raise StoreUnclearError(name)

    async def watch(self, name: str, newer_than: int, wait: float) -> StoredObject | None:
        """Wait at most ``wait`` seconds for a version above ``newer_than``; None if none came."""
        await self._begin("watch", name)
        loop = asyncio.get_running_loop()
        end = loop.time() + wait
        while True:
            if self.down:
                raise StoreUnavailableError("the store is down")
            found = None if self.deaf else self._seen().get(name)
            if found is not None and found.version > newer_than:
                return found
            if not await self._changed(name, end - loop.time()):
                return None

    async def _begin(self, kind: str, name: str) -> StoreFault | None:
        """Count the call, wait for the driver, and meet the faults that refuse it."""
        self.calls_by_kind[kind] += 1
        fault = self._faults.popleft() if self._faults else None
        if self.held:
            fault = await self._hold(kind, name) or fault
        if self.down or fault is StoreFault.UNAVAILABLE:
            raise StoreUnavailableError("the store is down")
        if fault is StoreFault.THROTTLED:
            raise StoreThrottledError(retry_after=1.0)
        return fault

    async def _hold(self, kind: str, name: str) -> StoreFault | None:
        go = asyncio.get_running_loop().create_future()
        call = HeldCall(kind, name, go, asyncio.current_task())
        self.held_calls.append(call)
        try:
            return await call.go
        finally:
            self.held_calls.remove(call)

    def _seen(self) -> dict[str, StoredObject]:
        if self.stale_by and self._history:
            return self._history[-min(self.stale_by, len(self._history))]
        return self._objects_by_name

    def _expect(self, name: str, expected_version: int, fault: StoreFault | None) -> None:
        found = self._objects_by_name.get(name)
        current = found.version if found else ABSENT
        if current == expected_version:
            return
        if fault is StoreFault.LOST_ANSWER:
            raise StoreUnclearError(name)
        raise StoreConflictError(name, current)

    def _change(self, name: str, changed: StoredObject | None) -> None:
        self._history.append(dict(self._objects_by_name))
        if changed is None:
            del self._objects_by_name[name]
        else:
            # Versions go on rising after a deletion, so that no version is ever used twice.
            self._last_version_by_name[name] = changed.version
            self._objects_by_name[name] = changed
        self._wake(name)

    def _wake(self, *names: str) -> None:
        for name in names:
            for future in self._watchers_by_name.pop(name, []):
                if not future.done():
                    future.set_result(None)

    async def _changed(self, name: str, wait: float) -> bool:
        if wait <= 0.0:
            return False
        future = asyncio.get_running_loop().create_future()
        self._watchers_by_name.setdefault(name, []).append(future)
        done, _ = await asyncio.wait([future], timeout=wait)
        if not done:
            self._watchers_by_name[name].remove(future)
        return bool(done)
