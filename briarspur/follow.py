"""Keeps the followed objects up to date, from the store and by exchange with other entries."""

import asyncio
import hashlib
import logging
import random
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any, Protocol

from briarspur import logs
from briarspur.coord.errors import InvariantError, StoreError, StoreThrottledError
from briarspur.coord.follower import Follower, OfferResult
from briarspur.coord.store import ObjectStore, StoredObject
from briarspur.errors import PeerError
from briarspur.gossip import ObjectCopy, ObjectVersion
from briarspur.metrics import Metrics, NullMetrics
from briarspur.propagation import CallKind, Propagation, PropagationSettings, Readiness, StoreCall

__all__ = ["Follow", "ObjectPeers"]

MAX_PUSH_BYTES = 65_536
"""Larger objects are not pushed; peers fetch them once, when they learn of the version."""
IDLE_DELAY_S = 0.2
"""Delay after a call that returned nothing new, in case the store responds immediately."""


class ObjectPeers(Protocol):
    """Calls to other entries by id; raise :class:`~briarspur.errors.PeerError` on failure."""

    async def fetch(self, entry: str, name: str, newer_than: int) -> ObjectCopy | None:
        """Fetch an object from an entry if its version there is above ``newer_than``."""

    async def offer(self, entry: str, copy: ObjectCopy) -> int:
        """Offer an object to an entry; return the version in force there afterwards."""


class Follow:
    """Follows objects for one entry; a context manager that stops on exit.

    Parameters
    ----------
    entry_id, zone : str
        This entry's id and availability zone.
    store : ObjectStore
    peers : ObjectPeers
    followers : sequence of Follower
        One for each object.
    rng : random.Random
        Seeded differently in each process; otherwise all would call the store at the same moment.
    settings : PropagationSettings or None
    sleep : callable
        Waits for a number of seconds; replaced in tests.
    metrics : Metrics or None
        Counts old versions that were ignored.
    """

    def __init__(
        self,
        entry_id: str,
        zone: str,
        store: ObjectStore,
        peers: ObjectPeers,
        followers: Sequence[Follower[Any]],
        rng: random.Random,
        settings: PropagationSettings | None = None,
        sleep: Callable[[float], Coroutine[Any, Any, None]] = asyncio.sleep,
        metrics: Metrics | None = None,
    ) -> None:
        self._metrics = metrics or NullMetrics()
        self._settings = settings or PropagationSettings()
        self._propagation = Propagation(entry_id, zone, len(followers), rng, self._settings)
        self._store = store
        self._peers = peers
        self._followers_by_name = {follower.name: follower for follower in followers}
        self._readiness_by_name = {f.name: Readiness(self._settings) for f in followers}
        self._wanted_by_name: dict[str, dict[str, int]] = {f.name: {} for f in followers}
        self._sleep = sleep
        self._peer_count = 0
        self._members_changed = asyncio.Event()
        self._fetching: set[str] = set()
        self._ready: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> "Follow":
        for follower in self._followers_by_name.values():
            self._start(self._follow(follower))
        return self

    async def __aexit__(self, *_: object) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_members(self, zones_by_member: Mapping[str, str]) -> None:
        """Set the live entries and their zones."""
        self._propagation.set_members(zones_by_member)
        self._peer_count = len(zones_by_member.keys() - {self._propagation.entry_id})
        previous_event = self._members_changed
        self._members_changed = asyncio.Event()
        previous_event.set()

    def is_watcher(self, name: str) -> bool:
        """Return whether this entry watches an object in the store for its zone."""
        return self._propagation.is_watcher(name)

    def is_ready(self, name: str) -> bool:
        """Return whether requests may be served with the version in force; see :class:`Readiness`.

        An object that was ready once stays ready: a newer version that is known but not yet fetched
        is no reason to refuse requests.
        """
        if name in self._ready:
            return True
        follower = self._followers_by_name[name]
        wanted = any(follower.wants(version) for version in self._wanted_by_name[name].values())
        readiness = self._readiness_by_name[name]
        if readiness.is_ready(follower.version, wanted, self._peer_count):
            self._ready.add(name)
        return name in self._ready

    def is_store_failing(self, name: str) -> bool:
        """Return whether the last store call for an object failed."""
        return self._readiness_by_name[name].store_failed

    def versions(self) -> tuple[ObjectVersion, ...]:
        """Return the versions in force, to be sent with heartbeats."""
        return tuple(
            ObjectVersion(follower.name, follower.version, follower.digest)
            for follower in self._followers_by_name.values()
            if follower.stored is not None
        )

    def copy(self, name: str, newer_than: int) -> ObjectCopy | None:
        """Return a copy of an object for a peer; None if it is not above ``newer_than``."""
        follower = self._followers_by_name.get(name)
        if follower is None or follower.stored is None or follower.version <= newer_than:
            return None
        return ObjectCopy(name, follower.version, follower.digest, follower.stored.value)

    def receive_copy(self, copy: ObjectCopy) -> int:
        """Apply a copy from a peer if its digest matches; return the version then in force."""
        follower = self._followers_by_name.get(copy.name)
        if follower is None:
            return 0
        if hashlib.sha256(copy.value).digest() == copy.digest:
            self._apply(follower, StoredObject(copy.name, copy.version, copy.value))
        return follower.version

    def record_versions(self, sender: str, versions: Sequence[ObjectVersion]) -> None:
        """Record the versions in force at a peer, and fetch objects that are newer there."""
        for reported in versions:
            follower = self._followers_by_name.get(reported.name)
            if follower is None:
                continue
            self._readiness_by_name[reported.name].versions_by_peer[sender] = reported.version
            if follower.wants(reported.version):
                self._wanted_by_name[reported.name][sender] = reported.version
                self._start_fetch(follower, sender)

    async def _follow(self, follower: Follower[Any]) -> None:
        last_kind: CallKind | None = None
        failures = 0
        while True:
            call = self._propagation.next_call(
                follower.name, follower.stored is not None, last_kind, failures
            )
            if not await self._wait_for(call, follower.name):
                continue
            try:
                found = await self._call_store(follower, call.kind)
            except StoreError as error:
                failures += 1
                await self._record_store_failure(follower, error)
                continue
            failures = 0
            self._readiness_by_name[follower.name].store_failed = False
            is_new = found is not None and self._apply(follower, found) is OfferResult.IN_FORCE
            last_kind = None if is_new else call.kind
            if not is_new:
                await self._sleep(IDLE_DELAY_S)

    async def _wait_for(self, call: StoreCall, name: str) -> bool:
        """Wait for the delay of a call; return False if this entry became a watcher meanwhile."""
        if not call.delay:
            return True
        was_watcher = self._propagation.is_watcher(name)
        delay = asyncio.ensure_future(self._sleep(call.delay))
        changed = asyncio.ensure_future(self._members_changed.wait())
        try:
            while True:
                await asyncio.wait([changed, delay], return_when=asyncio.FIRST_COMPLETED)
                if delay.done():
                    return True
                if self._propagation.is_watcher(name) and not was_watcher:
                    return False
                changed = asyncio.ensure_future(self._members_changed.wait())
        finally:
            changed.cancel()
            delay.cancel()

    async def _call_store(self, follower: Follower[Any], kind: CallKind) -> StoredObject | None:
        if kind is CallKind.WATCH:
            newer_than = follower.seen_version
            return await self._store.watch(follower.name, newer_than, self._settings.watch_timeout)
        # A read, not a watch: it detects watches that were lost silently. Reading the whole policy
        # each time would cost a watcher more bytes than all its other traffic together.
        found = await self._store.get_newer(follower.name, follower.seen_version)
        self._readiness_by_name[follower.name].store_answered = True
        return found

    async def _record_store_failure(self, follower: Follower[Any], error: StoreError) -> None:
        self._readiness_by_name[follower.name].store_failed = True
        logs.event("store-unavailable", logging.WARNING, object=follower.name, error=str(error))
        if isinstance(error, StoreThrottledError):
            await self._sleep(error.retry_after)

    def _apply(self, follower: Follower[Any], stored: StoredObject) -> OfferResult:
        try:
            result = follower.offer(stored)
        except InvariantError:
            raise
        except Exception as error:
            # A version that triggers a bug here must not prevent later versions from being applied.
            fault = repr(error)
            logs.event("internal-error", logging.ERROR, object=stored.name, error=fault)
            return follower.reject(stored.version, fault)
        if result is OfferResult.OLD:
            self._metrics.count("old_versions_ignored", stored.name)
        if result is not OfferResult.IN_FORCE:
            return result
        wanted = self._wanted_by_name[follower.name]
        for peer in [peer for peer, version in wanted.items() if not follower.wants(version)]:
            del wanted[peer]
        copy = self.copy(follower.name, 0)
        if copy is not None and len(copy.value) <= MAX_PUSH_BYTES:
            for peer in self._propagation.choose_push_peers():
                self._start(self._push(peer, copy))
        return result

    async def _push(self, peer: str, copy: ObjectCopy) -> None:
        try:
            await self._peers.offer(peer, copy)
        except PeerError as error:
            # The peer learns of the version from the next heartbeat and fetches it.
            logs.event("peer-unavailable", logging.DEBUG, object=copy.name, error=str(error))

    def _start_fetch(self, follower: Follower[Any], sender: str) -> None:
        if follower.name not in self._fetching:
            self._fetching.add(follower.name)
            self._start(self._fetch(follower, sender))

    async def _fetch(self, follower: Follower[Any], sender: str) -> None:
        try:
            copy = await self._peers.fetch(sender, follower.name, follower.version)
            if copy is not None:
                self.receive_copy(copy)
        except PeerError as error:
            logs.event("peer-unavailable", logging.DEBUG, object=follower.name, error=str(error))
        finally:
            self._fetching.discard(follower.name)
            # An unreachable peer must not keep a new process from becoming ready.
            self._wanted_by_name[follower.name].pop(sender, None)

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
