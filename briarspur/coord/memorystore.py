"""An in-memory object store with fault injection, for tests.

Tests of programs that embed the coordination modules can use it too. Each call takes effect at one
moment and returns at another; faults can affect either. If ``hold_calls`` is set, a call waits
until the test driver releases it, so that the driver determines how calls interleave.
"""

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from briarspur.coord.era import number_of, revision_in_era
from briarspur.coord.errors import (
    StoreConflictError,
    StoreThrottledError,
    StoreUnavailableError,
    StoreUnclearError,
)
from briarspur.coord.store import ABSENT, StoredObject

__all__ = ["HeldCall", "MemoryStore", "StoreFault"]

MAX_HISTORY = 16


class StoreFault(Enum):
    """A fault that is injected into one call."""

    UNAVAILABLE = "refused; no effect"
    THROTTLED = "refused for its rate; no effect"
    LOST_ANSWER = "a write takes effect, its answer is lost"
    LOST_REQUEST = "a write has no effect, and the writer cannot tell"


@dataclass(slots=True, eq=False)
class HeldCall:
    """A call that waits for the test driver.

    Attributes
    ----------
    kind : str
        ``get``, ``list``, ``put``, ``delete`` or ``watch``.
    task : asyncio.Task or None
        The task that made the call.
    """

    kind: str
    name: str
    released: asyncio.Future[StoreFault | None]
    task: asyncio.Task[Any] | None

    def release(self, fault: StoreFault | None = None) -> None:
        """Let the call proceed, with ``fault`` if given."""
        if not self.released.done():
            self.released.set_result(fault)


class MemoryStore:
    """An :class:`~briarspur.coord.store.ObjectStore` in the memory of one process.

    Attributes
    ----------
    era : int
        Incremented by each return from an older copy; versions contain it.
    down : bool
        Every call is refused, and waiting watches are aborted.
    stale_by : int
        Reads and watches see the state this many writes ago, limited by the history kept.
    watches_miss_changes : bool
        Watches never see a change and time out.
    hold_calls : bool
        Calls wait in ``held_calls`` until they are released.
    calls_by_kind : Counter of str
        Number of calls, including refused ones.
    """

    def __init__(self) -> None:
        self.era = 0
        self.down = False
        self.stale_by = 0
        self.watches_miss_changes = False
        self.hold_calls = False
        self.held_calls: list[HeldCall] = []
        self.calls_by_kind: Counter[str] = Counter()
        self._objects_by_name: dict[str, StoredObject] = {}
        self._last_number = 0
        self._history: deque[dict[str, StoredObject]] = deque(maxlen=MAX_HISTORY)
        self._faults: deque[StoreFault] = deque()
        self._watchers_by_name: dict[str, list[asyncio.Future[None]]] = {}

    def fail_next(self, *faults: StoreFault) -> None:
        """Inject these faults into the next calls, one per call, in this order."""
        self._faults.extend(faults)

    def stop(self) -> None:
        """Begin an outage."""
        self.down = True
        self._wake_watchers(*list(self._watchers_by_name))

    def start(self) -> None:
        """End an outage."""
        self.down = False

    def restore(self, lost: int) -> None:
        """Return from a copy without the latest ``lost`` writes, limited by the history kept."""
        self.era += 1
        for _ in range(min(lost, len(self._history))):
            self._objects_by_name = self._history.pop()
        self._history.clear()
        self._objects_by_name = {
            name: replace(stored, version=revision_in_era(self.era, number_of(stored.version)))
            for name, stored in self._objects_by_name.items()
        }
        numbers = [number_of(stored.version) for stored in self._objects_by_name.values()]
        self._last_number = max(numbers, default=0)

    def drop_history(self) -> None:
        """Make the current state the oldest one that reads and copies can show."""
        self._history.clear()

    def peek(self, name: str) -> StoredObject | None:
        """Return the newest state of an object, unaffected by faults."""
        return self._objects_by_name.get(name)

    async def get(self, name: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""
        await self._begin_call("get", name)
        return self._visible_objects().get(name)

    async def get_newer(self, name: str, known: int) -> StoredObject | None:
        """Return the object if it is not at version ``known``."""
        found = await self.get(name)
        return found if found is not None and found.version != known else None

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose names start with ``prefix``, sorted by name."""
        await self._begin_call("list", prefix)
        visible = self._visible_objects()
        return [visible[name] for name in sorted(visible) if name.startswith(prefix)]

    async def put(self, name: str, value: bytes, expected_version: int) -> int:
        """Write if the object is at ``expected_version``; return its new version."""
        fault = await self._begin_call("put", name)
        if fault is StoreFault.LOST_REQUEST:
            raise StoreUnclearError(name)
        self._check_version(name, expected_version, fault)
        version = revision_in_era(self.era, self._last_number + 1)
        self._apply_change(name, StoredObject(name, version, value))
        if fault is StoreFault.LOST_ANSWER:
            raise StoreUnclearError(name)
        return version

    async def delete(self, name: str, expected_version: int) -> None:
        """Delete if the object is at ``expected_version``."""
        fault = await self._begin_call("delete", name)
        if fault is StoreFault.LOST_REQUEST:
            raise StoreUnclearError(name)
        self._check_version(name, expected_version, fault)
        self._apply_change(name, None)
        if fault is StoreFault.LOST_ANSWER:
            raise StoreUnclearError(name)

    async def watch(self, name: str, newer_than: int, wait: float) -> StoredObject | None:
        """Wait up to ``wait`` seconds for a version above ``newer_than``; None if there is none."""
        await self._begin_call("watch", name)
        loop = asyncio.get_running_loop()
        end = loop.time() + wait
        while True:
            if self.down:
                raise StoreUnavailableError("the store is down")
            found = None if self.watches_miss_changes else self._visible_objects().get(name)
            if found is not None and found.version > newer_than:
                return found
            if not await self._wait_for_change(name, end - loop.time()):
                return None

    async def _begin_call(self, kind: str, name: str) -> StoreFault | None:
        """Count the call, wait for the driver, and apply faults that refuse the call."""
        self.calls_by_kind[kind] += 1
        fault = self._faults.popleft() if self._faults else None
        if self.hold_calls:
            fault = await self._hold_call(kind, name) or fault
        if self.down or fault is StoreFault.UNAVAILABLE:
            raise StoreUnavailableError("the store is down")
        if fault is StoreFault.THROTTLED:
            raise StoreThrottledError(retry_after=1.0)
        return fault

    async def _hold_call(self, kind: str, name: str) -> StoreFault | None:
        released = asyncio.get_running_loop().create_future()
        call = HeldCall(kind, name, released, asyncio.current_task())
        self.held_calls.append(call)
        try:
            return await call.released
        finally:
            self.held_calls.remove(call)

    def _visible_objects(self) -> dict[str, StoredObject]:
        if self.stale_by and self._history:
            return self._history[-min(self.stale_by, len(self._history))]
        return self._objects_by_name

    def _check_version(self, name: str, expected_version: int, fault: StoreFault | None) -> None:
        found = self._objects_by_name.get(name)
        current = found.version if found else ABSENT
        if current == expected_version:
            return
        if fault is StoreFault.LOST_ANSWER:
            raise StoreUnclearError(name)
        raise StoreConflictError(name, current)

    def _apply_change(self, name: str, changed: StoredObject | None) -> None:
        self._history.append(dict(self._objects_by_name))
        if changed is None:
            del self._objects_by_name[name]
        else:
            # Versions keep increasing after a deletion, so that no version is ever used twice.
            self._last_number = number_of(changed.version)
            self._objects_by_name[name] = changed
        self._wake_watchers(name)

    def _wake_watchers(self, *names: str) -> None:
        for name in names:
            for future in self._watchers_by_name.pop(name, []):
                if not future.done():
                    future.set_result(None)

    async def _wait_for_change(self, name: str, wait: float) -> bool:
        if wait <= 0.0:
            return False
        future = asyncio.get_running_loop().create_future()
        self._watchers_by_name.setdefault(name, []).append(future)
        done, _ = await asyncio.wait([future], timeout=wait)
        if not done:
            self._watchers_by_name[name].remove(future)
        return bool(done)
