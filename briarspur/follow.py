"""Keeps the followed objects in force: from the store by turns, and from and to other entries."""

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

PUSH_BYTES = 65_536
"""Larger objects are not pushed; peers fetch them once, when they hear of the version."""
IDLE_PAUSE = 0.2
"""Least time between two calls that brought nothing new, should the store answer at once."""


class ObjectPeers(Protocol):
    """Other entries, by id; a call raises :class:`~briarspur.errors.PeerError` if it fails."""

    async def fetch(self, entry: str, name: str, newer_than: int) -> ObjectCopy | None:
        """Return the object if its version in force there is above ``newer_than``."""

    async def offer(self, entry: str, copy: ObjectCopy) -> int:
        """Hand an object over; return the version in force there afterwards."""


class Follow:
    """Follows objects for one entry; a context manager whose end stops it.

    Parameters
    ----------
    me, zone : str
        This entry's id and availability zone.
    store : ObjectStore
    peers : ObjectPeers
    followers : sequence of Follower
        One for each object.
    rng : random.Random
        Of its own in each process, or all would call at one moment.
    sleep : callable
        Waits for seconds; replaced in tests.
    metrics : Metrics or None
        Counts old versions that were ignored.
    """

    def __init__(
        self,
        me: str,
        zone: str,
        store: ObjectStore,
        peers: ObjectPeers,
        followers: Sequence[Follower[Any]],
        rng: random.Random,
        times: PropagationSettings | None = None,
        sleep: Callable[[float], Coroutine[Any, Any, None]] = asyncio.sleep,
        metrics: Metrics | None = None,
    ) -> None:
        self._metrics = metrics or NullMetrics()
        self._times = times or PropagationSettings()
        self._propagation = Propagation(me, zone, len(followers), rng, self._times)
        self._store = store
        self._peers = peers
        self._followers_by_name = {follower.name: follower for follower in followers}
        self._readiness_by_name = {f.name: Readiness(self._times) for f in followers}
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

    def members_changed(self, zones_by_member: Mapping[str, str]) -> None:
        """Take the live entries and their zones."""
        self._propagation.set_members(zones_by_member)
        self._peer_count = len(zones_by_member.keys() - {self._propagation.entry_id})
        gone = self._members_changed
        self._members_changed = asyncio.Event()
        gone.set()

    def watches(self, name: str) -> bool:
        """Whether this entry is one of its zone's watchers of an object."""
        return self._propagation.is_watcher(name)

    def is_ready(self, name: str) -> bool:
        """Whether the version in force may be served by; see :class:`Readiness`.

        Once ready it stays so: a newer version that is heard of and not yet fetched is no reason
        to send callers away.
        """
        if name in self._ready:
            return True
        follower = self._followers_by_name[name]
        wanted = any(follower.wants(version) for version in self._wanted_by_name[name].values())
        readiness = self._readiness_by_name[name]
        if readiness.is_ready(follower.version, wanted, self._peer_count):
            self._ready.add(name)
        return name in self._ready

    def store_fails(self, name: str) -> bool:
        """Whether the last call of the store for an object failed."""
        return self._readiness_by_name[name].store_failed

    def versions(self) -> tuple[ObjectVersion, ...]:
        """Return the versions in force, for the heartbeats."""
        return tuple(
            ObjectVersion(follower.name, follower.version, follower.digest)
            for follower in self._followers_by_name.values()
            if follower.stored is not None
        )

    def copy(self, name: str, newer_than: int) -> ObjectCopy | None:
        """Return an object for a peer that fetches it, if ours is newer."""
        follower = self._followers_by_name.get(name)
        if follower is None or follower.stored is None or follower.version <= newer_than:
            return None
        return ObjectCopy(name, follower.version, follower.digest, follower.stored.value)

    def offered(self, copy: ObjectCopy) -> int:
        """Take a copy from a peer, if it is whole; return the version in force then."""
        follower = self._followers_by_name.get(copy.name)
        if follower is None:
            return 0
        if hashlib.sha256(copy.value).digest() == copy.digest:
            self._take(follower, StoredObject(copy.name, copy.version, copy.value))
        return follower.version

    def heard(self, sender: str, versions: Sequence[ObjectVersion]) -> None:
        """Note the versions in force at a peer; fetch what is newer, hand over what is older."""
        for seen in versions:
            follower = self._followers_by_name.get(seen.name)
            if follower is None:
                continue
            self._readiness_by_name[seen.name].versions_by_peer[sender] = seen.version
            if follower.wants(seen.version):
                self._wanted_by_name[seen.name][sender] = seen.version
                self._start_fetch(follower, sender)

    async def _follow(self, follower: Follower[Any]) -> None:
        last: CallKind | None = None
        failures = 0
        while True:
            turn = self._propagation.next_call(
                follower.name, follower.stored is not None, last, failures
            )
            if not await self._wait_for(turn, follower.name):
                continue
            try:
                found = await self._call(follower, turn.kind)
            except StoreError as error:
                failures += 1
                await self._failed(follower, error)
                continue
            failures = 0
            self._readiness_by_name[follower.name].store_failed = False
            brought = found is not None and self._take(follower, found) is OfferResult.IN_FORCE
            last = None if brought else turn.kind
            if not brought:
                await self._sleep(IDLE_PAUSE)

    async def _wait_for(self, turn: StoreCall, name: str) -> bool:
        """Wait for the turn; return False if this process became a watcher meanwhile."""
        if not turn.delay:
            return True
        watched = self._propagation.is_watcher(name)
        pause = asyncio.ensure_future(self._sleep(turn.delay))
        changed = asyncio.ensure_future(self._members_changed.wait())
        try:
            while True:
                await asyncio.wait([changed, pause], return_when=asyncio.FIRST_COMPLETED)
                if pause.done():
                    return True
                if self._propagation.is_watcher(name) and not watched:
                    return False
                changed = asyncio.ensure_future(self._members_changed.wait())
        finally:
            changed.cancel()
            pause.cancel()

    async def _call(self, follower: Follower[Any], kind: CallKind) -> StoredObject | None:
        if kind is CallKind.WATCH:
            newer_than = follower.seen_version
            return await self._store.watch(follower.name, newer_than, self._times.watch_timeout)
        # A read, not a watch: it is what finds out that the watches are silently lost. The whole
        # policy each time would cost a watcher more bytes than all else together.
        found = await self._store.get_newer(follower.name, follower.seen_version)
        self._readiness_by_name[follower.name].store_answered = True
        return found

    async def _failed(self, follower: Follower[Any], error: StoreError) -> None:
        self._readiness_by_name[follower.name].store_failed = True
        logs.event("store-unavailable", logging.WARNING, object=follower.name, error=str(error))
        if isinstance(error, StoreThrottledError):
            await self._sleep(error.retry_after)

    def _take(self, follower: Follower[Any], stored: StoredObject) -> OfferResult:
        try:
            taken = follower.offer(stored)
        except InvariantError:
            raise
        except Exception as error:
            # A version that this program fails on must not end the following of later ones.
            fault = repr(error)
            logs.event("internal-error", logging.ERROR, object=stored.name, error=fault)
            return follower.reject(stored.version, fault)
        if taken is OfferResult.OLD:
            self._metrics.count("old_versions_ignored", stored.name)
        if taken is not OfferResult.IN_FORCE:
            return taken
        wanted = self._wanted_by_name[follower.name]
        for peer in [peer for peer, version in wanted.items() if not follower.wants(version)]:
            del wanted[peer]
        copy = self.copy(follower.name, 0)
        if copy is not None and len(copy.value) <= PUSH_BYTES:
            for peer in self._propagation.choose_push_peers():
                self._start(self._offer(peer, copy))
        return taken

    async def _offer(self, peer: str, copy: ObjectCopy) -> None:
        try:
            await self._peers.offer(peer, copy)
        except PeerError as error:
            # The peer hears of the version with the next heartbeat and fetches it.
            logs.event("peer-unavailable", logging.DEBUG, object=copy.name, error=str(error))

    def _start_fetch(self, follower: Follower[Any], sender: str) -> None:
        if follower.name not in self._fetching:
            self._fetching.add(follower.name)
            self._start(self._fetch(follower, sender))

    async def _fetch(self, follower: Follower[Any], sender: str) -> None:
        try:
            copy = await self._peers.fetch(sender, follower.name, follower.version)
            if copy is not None:
                self.offered(copy)
        except PeerError as error:
            logs.event("peer-unavailable", logging.DEBUG, object=follower.name, error=str(error))
        finally:
            self._fetching.discard(follower.name)
            # A peer that cannot be fetched from must not keep a fresh process from being ready.
            self._wanted_by_name[follower.name].pop(sender, None)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
