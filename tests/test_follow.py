"""Stories of a configuration that is in force everywhere within seconds, and never reverts."""

import asyncio
import hashlib
import logging
import random
import unittest
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import replace
from typing import Any

from expression import Error, Ok, Result

from briarspur.coord.follower import Follower, OfferResult
from briarspur.coord.invariants import invariants
from briarspur.coord.memorystore import MemoryStore
from briarspur.coord.store import StoredObject
from briarspur.errors import PeerError
from briarspur.follow import Follow
from briarspur.gossip import ObjectCopy, ObjectVersion
from tests.virtualtime import run_virtual

ZONES = ("north-a", "north-b", "south-a")
IN_FORCE_WITHIN = 18.0


def read(stored: StoredObject) -> Result[bytes, str]:
    return Ok(stored.value)


class Fleet:
    """Entries that reach one another in memory and probe one random peer each second."""

    def __init__(self, count: int, zones: Sequence[str] = ZONES) -> None:
        self.rng = random.Random(3)
        self.store = MemoryStore()
        self.pushes_fail = False
        self.zones = {f"e{n}": zones[n % len(zones)] for n in range(count)}
        self.follows: dict[str, Follow] = {}
        self.followers: dict[str, Follower[bytes]] = {}
        self.paused: set[str] = set()
        self.deaf: set[str] = set()

    async def fetch(self, entry: str, name: str, newer_than: int) -> ObjectCopy | None:
        await asyncio.sleep(0.01)
        if entry in self.paused or entry not in self.follows:
            raise PeerError(entry)
        return self.follows[entry].copy(name, newer_than)

    async def offer(self, entry: str, copy: ObjectCopy) -> int:
        await asyncio.sleep(0.01)
        if self.pushes_fail or entry in self.paused or entry not in self.follows:
            raise PeerError(entry)
        return self.follows[entry].offered(copy)

    async def add(self, me: str) -> Follow:
        self.followers[me] = Follower("policy", read)
        store = StoreOfOne(self, me)
        follow = Follow(
            me, self.zones[me], store, self, [self.followers[me]], random.Random(hash_of(me))
        )
        follow.members_changed(self.zones)
        self.follows[me] = await follow.__aenter__()
        return follow

    async def remove(self, me: str) -> None:
        del self.zones[me]
        await self.follows.pop(me).__aexit__()
        del self.followers[me]
        for follow in self.follows.values():
            follow.members_changed(self.zones)

    async def probe(self) -> None:
        while True:
            for me, follow in list(self.follows.items()):
                peer = self.rng.choice(list(self.follows))
                if peer != me and not {me, peer} & self.paused:
                    follow.heard(peer, self.follows[peer].versions())
                    self.follows[peer].heard(me, follow.versions())
            await asyncio.sleep(1.0)

    def pause_watchers(self) -> None:
        """Suspend every watcher; the others go on counting them as live."""
        for me, follow in self.follows.items():
            if follow._propagation.is_watcher("policy"):
                self.paused.add(me)

    def versions(self) -> set[int]:
        return {f.version for me, f in self.followers.items() if me not in self.paused}

    async def reaches(self, version: int, within: float = IN_FORCE_WITHIN) -> float:
        start = asyncio.get_running_loop().time()
        while self.versions() != {version}:
            spent = asyncio.get_running_loop().time() - start
            assert spent <= within, (version, self.versions())
            await asyncio.sleep(0.1)
        return asyncio.get_running_loop().time() - start


class StoreOfOne(MemoryStore):
    """One entry's way to the store: deaf, its watches see nothing; paused, no call returns."""

    def __init__(self, fleet: Fleet, me: str) -> None:
        super().__init__()
        self.fleet = fleet
        self.me = me

    async def pause(self) -> None:
        while self.me in self.fleet.paused:
            await asyncio.sleep(1.0)

    async def get(self, name: str) -> StoredObject | None:
        await self.pause()
        return await self.fleet.store.get(name)

    async def get_newer(self, name: str, known: int) -> StoredObject | None:
        await self.pause()
        return await self.fleet.store.get_newer(name, known)

    async def watch(self, name: str, newer_than: int, wait: float) -> StoredObject | None:
        await self.pause()
        if self.me in self.fleet.deaf:
            newer_than = 1_000_000
        found = await self.fleet.store.watch(name, newer_than, wait)
        await self.pause()
        return found


def hash_of(me: str) -> int:
    return int(me[1:])


class CopiesTest(unittest.TestCase):
    """What is handed on to peers, and taken from them; no store is called."""

    def setUp(self) -> None:
        self.taken: list[int] = []
        self.follower = Follower("policy", self.take)
        fleet = Fleet(1)
        self.follow = Follow("e0", ZONES[0], fleet.store, fleet, [self.follower], random.Random(1))

    def take(self, stored: StoredObject) -> Result[None, str]:
        self.taken.append(stored.version)
        return Error("bad") if stored.value == b"bad" else Ok(None)

    def offer(self, version: int, value: bytes) -> int:
        digest = hashlib.sha256(value).digest()
        return self.follow.offered(ObjectCopy("policy", version, digest, value))

    def test_late_read_does_not_revert(self) -> None:
        """An operator drains a server, and seconds later it gets work again.

        A read of the store that shows the past, or a copy from an entry that was cut off, comes
        after the newer version. Taken, it would undo the drain.
        """
        for version in (1, 3, 2, 3, 1):
            self.offer(version, b"v%d" % version)
        self.assertEqual(self.taken, [1, 3])
        self.assertEqual(self.follower.version, 3)
        self.assertEqual(self.follower.counts[OfferResult.OLD], 2)

    def test_invalid_version_is_not_handed_on(self) -> None:
        self.offer(1, b"good")
        self.assertEqual(self.offer(2, b"bad"), 1)
        copy = self.follow.copy("policy", 0)
        assert copy is not None
        self.assertEqual((copy.version, copy.value), (1, b"good"))

    def test_damaged_copy_is_not_taken(self) -> None:
        self.offer(1, b"good")
        copy = self.follow.copy("policy", 0)
        assert copy is not None
        self.assertEqual(self.follow.offered(replace(copy, version=2, value=b"cut")), 1)
        self.assertEqual(self.follow.offered(replace(copy, version=2)), 2)


class RejectedVersionTest(unittest.IsolatedAsyncioTestCase):
    """A version that is not valid here costs one transfer, not one with each heartbeat."""

    async def test_rejected_version_is_fetched_once(self) -> None:
        """An entry of an older program fetches a megabyte a second, for as long as it runs.

        It cannot read the newest policy; each heartbeat of the others names that version.
        """
        fetched: list[int] = []
        digest = hashlib.sha256(b"bad").digest()

        class Peers(Fleet):
            async def fetch(self, entry: str, name: str, newer_than: int) -> ObjectCopy | None:
                fetched.append(newer_than)
                return ObjectCopy(name, 2, digest, b"bad")

        fleet = Peers(1)
        follower: Follower[None] = Follower("policy", lambda stored: Error("bad"))
        follow = Follow("e0", ZONES[0], fleet.store, fleet, [follower], random.Random(1))
        for _ in range(5):
            follow.heard("e1", [ObjectVersion("policy", 2, digest)])
            await asyncio.sleep(0.01)
        self.assertEqual(fetched, [0])


class FailingReaderTest(unittest.TestCase):
    """A fault of the program costs one version, not the following."""

    def test_later_version_is_taken(self) -> None:
        """An entry stays on an old policy for ever, though each later one would be good.

        One version meets a fault in the program; the task that follows the policy ends with it.
        """

        def read_or_fail(stored: StoredObject) -> Result[bytes, str]:
            if stored.version == 2:
                raise ZeroDivisionError
            return Ok(stored.value)

        async def run() -> None:
            fleet = Fleet(1)
            follower = Follower("policy", read_or_fail)
            follow = Follow("e0", ZONES[0], fleet.store, fleet, [follower], random.Random(1))
            async with follow:
                for version in range(3):
                    await fleet.store.put("policy", b"x", version)
                    await asyncio.sleep(5.0)
                self.assertEqual(follower.version, 3)

        with self.assertLogs("briarspur", logging.ERROR):
            run_virtual(run())


class FollowTest(unittest.TestCase):
    """Thirty entries in three zones."""

    def run_fleet(self, story: Callable[[Fleet], Coroutine[Any, Any, None]]) -> None:
        invariants.strict = True
        logging.getLogger("briarspur").setLevel(logging.ERROR)

        async def run() -> None:
            fleet = Fleet(30)
            probes = asyncio.create_task(fleet.probe())
            await fleet.store.put("policy", b"first", 0)
            for me in list(fleet.zones):
                await fleet.add(me)
            await fleet.reaches(1)
            await story(fleet)
            probes.cancel()
            for me in list(fleet.follows):
                await fleet.remove(me)

        run_virtual(run())

    def test_change_is_in_force_everywhere(self) -> None:
        async def story(fleet: Fleet) -> None:
            await asyncio.sleep(30.0)
            fleet.store.calls_by_kind.clear()
            await asyncio.sleep(60.0)
            calls = sum(fleet.store.calls_by_kind.values())
            self.assertLess(calls / 60.0 / len(ZONES), 0.8)
            await fleet.store.put("policy", b"second", 1)
            await fleet.reaches(2, within=5.0)

        self.run_fleet(story)

    def test_watches_are_lost_silently(self) -> None:
        """Operators drain a target and half the fleet never hears: the watches hang, no error."""

        async def story(fleet: Fleet) -> None:
            fleet.deaf.update(fleet.follows)
            await asyncio.sleep(15.0)
            await fleet.store.put("policy", b"second", 1)
            await fleet.reaches(2)

        self.run_fleet(story)

    def test_watchers_are_paused(self) -> None:
        """All watchers of a zone are suspended; membership still counts them as live."""

        async def story(fleet: Fleet) -> None:
            fleet.pause_watchers()
            await fleet.store.put("policy", b"second", 1)
            await fleet.reaches(2)

        self.run_fleet(story)

    def test_pushes_are_lost(self) -> None:
        async def story(fleet: Fleet) -> None:
            fleet.pushes_fail = True
            await fleet.store.put("policy", b"second", 1)
            await fleet.reaches(2)

        self.run_fleet(story)

    def test_stale_reads_revert_nothing(self) -> None:
        """A drain is undone without an operator: reads of the store show the past."""

        async def story(fleet: Fleet) -> None:
            await fleet.store.put("policy", b"second", 1)
            await fleet.reaches(2)
            fleet.store.stale_by = 1
            await asyncio.sleep(120.0)
            self.assertEqual(fleet.versions(), {2})

        self.run_fleet(story)

    def test_half_the_members_are_replaced_during_a_change(self) -> None:
        async def story(fleet: Fleet) -> None:
            await fleet.store.put("policy", b"second", 1)
            for n in range(15):
                await fleet.remove(f"e{n}")
                fleet.zones[f"e{n + 30}"] = ZONES[n % 3]
                await fleet.add(f"e{n + 30}")
                for follow in fleet.follows.values():
                    follow.members_changed(fleet.zones)
                await asyncio.sleep(0.1)
            await fleet.reaches(2)

        self.run_fleet(story)

    def test_fresh_process_in_an_outage(self) -> None:
        """A replaced VM would serve by nothing, or by what one lagging peer has."""

        async def story(fleet: Fleet) -> None:
            await fleet.store.put("policy", b"second", 1)
            await fleet.reaches(2)
            fleet.store.stop()
            fleet.zones["e30"] = ZONES[0]
            fresh = await fleet.add("e30")
            self.assertFalse(fresh.is_ready("policy"))
            await fleet.reaches(2)
            await asyncio.sleep(5.0)
            self.assertTrue(fresh.is_ready("policy"))
            fresh.heard("e1", [ObjectVersion("policy", 9, b"")])
            self.assertTrue(fresh.is_ready("policy"))
            self.assertEqual(fleet.followers["e30"].value, b"second")

        self.run_fleet(story)

    def test_outage_of_ten_minutes(self) -> None:
        async def story(fleet: Fleet) -> None:
            fleet.store.stop()
            await asyncio.sleep(600.0)
            fleet.store.start()
            await fleet.store.put("policy", b"second", 1)
            await fleet.reaches(2)

        self.run_fleet(story)
