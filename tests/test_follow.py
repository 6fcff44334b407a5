"""Scenarios: a configuration is in force everywhere within seconds and never reverts."""

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
MAX_PROPAGATION_S = 18.0


def read(stored: StoredObject) -> Result[bytes, str]:
    return Ok(stored.value)


class Fleet:
    """Entries that reach each other in memory and probe one random peer each second."""

    def __init__(self, count: int, zones: Sequence[str] = ZONES) -> None:
        self.rng = random.Random(3)
        self.store = MemoryStore()
        self.pushes_fail = False
        self.zones = {f"e{n}": zones[n % len(zones)] for n in range(count)}
        self.follows: dict[str, Follow] = {}
        self.followers: dict[str, Follower[bytes]] = {}
        self.paused: set[str] = set()
        self.silent_watches: set[str] = set()

    async def fetch(self, entry: str, name: str, newer_than: int) -> ObjectCopy | None:
        await asyncio.sleep(0.01)
        if entry in self.paused or entry not in self.follows:
            raise PeerError(entry)
        return self.follows[entry].copy(name, newer_than)

    async def offer(self, entry: str, copy: ObjectCopy) -> int:
        await asyncio.sleep(0.01)
        if self.pushes_fail or entry in self.paused or entry not in self.follows:
            raise PeerError(entry)
        return self.follows[entry].receive_copy(copy)

    async def add(self, entry_id: str) -> Follow:
        self.followers[entry_id] = Follower("policy", read)
        store = EntryStore(self, entry_id)
        follow = Follow(
            entry_id,
            self.zones[entry_id],
            store,
            self,
            [self.followers[entry_id]],
            random.Random(seed_of(entry_id)),
        )
        follow.set_members(self.zones)
        self.follows[entry_id] = await follow.__aenter__()
        return follow

    async def remove(self, entry_id: str) -> None:
        del self.zones[entry_id]
        await self.follows.pop(entry_id).__aexit__()
        del self.followers[entry_id]
        for follow in self.follows.values():
            follow.set_members(self.zones)

    async def probe(self) -> None:
        while True:
            for entry_id, follow in list(self.follows.items()):
                peer = self.rng.choice(list(self.follows))
                if peer != entry_id and not {entry_id, peer} & self.paused:
                    follow.record_versions(peer, self.follows[peer].versions())
                    self.follows[peer].record_versions(entry_id, follow.versions())
            await asyncio.sleep(1.0)

    def pause_watchers(self) -> None:
        """Suspend every watcher; the others still count them as live."""
        for entry_id, follow in self.follows.items():
            if follow._propagation.is_watcher("policy"):
                self.paused.add(entry_id)

    def versions(self) -> set[int]:
        return {f.version for entry_id, f in self.followers.items() if entry_id not in self.paused}

    async def wait_until_in_force(self, version: int, within: float = MAX_PROPAGATION_S) -> float:
        start = asyncio.get_running_loop().time()
        while self.versions() != {version}:
            spent = asyncio.get_running_loop().time() - start
            assert spent <= within, (version, self.versions())
            await asyncio.sleep(0.1)
        return asyncio.get_running_loop().time() - start


class EntryStore(MemoryStore):
    """One entry's access to the store; watches may be silent, and calls hang while paused."""

    def __init__(self, fleet: Fleet, entry_id: str) -> None:
        super().__init__()
        self.fleet = fleet
        self.entry_id = entry_id

    async def pause(self) -> None:
        while self.entry_id in self.fleet.paused:
            await asyncio.sleep(1.0)

    async def get(self, name: str) -> StoredObject | None:
        await self.pause()
        return await self.fleet.store.get(name)

    async def get_newer(self, name: str, known: int) -> StoredObject | None:
        await self.pause()
        return await self.fleet.store.get_newer(name, known)

    async def watch(self, name: str, newer_than: int, wait: float) -> StoredObject | None:
        await self.pause()
        if self.entry_id in self.fleet.silent_watches:
            newer_than = 1_000_000
        found = await self.fleet.store.watch(name, newer_than, wait)
        await self.pause()
        return found


def seed_of(entry_id: str) -> int:
    return int(entry_id[1:])


class CopiesTest(unittest.TestCase):
    """Copies sent to peers and received from them, without store calls."""

    def setUp(self) -> None:
        self.accepted: list[int] = []
        self.follower = Follower("policy", self.parse)
        fleet = Fleet(1)
        self.follow = Follow("e0", ZONES[0], fleet.store, fleet, [self.follower], random.Random(1))

    def parse(self, stored: StoredObject) -> Result[None, str]:
        self.accepted.append(stored.version)
        return Error("bad") if stored.value == b"bad" else Ok(None)

    def offer(self, version: int, value: bytes) -> int:
        digest = hashlib.sha256(value).digest()
        return self.follow.receive_copy(ObjectCopy("policy", version, digest, value))

    def test_a_stale_read_does_not_revert_to_an_older_version(self) -> None:
        """A drained server must not get requests again after a stale read.

        A stale read of the store, or a copy from an entry that was partitioned, arrives after the
        newer version. Applying it would undo the drain.
        """
        for version in (1, 3, 2, 3, 1):
            self.offer(version, b"v%d" % version)
        self.assertEqual(self.accepted, [1, 3])
        self.assertEqual(self.follower.version, 3)
        self.assertEqual(self.follower.counts[OfferResult.OLD], 2)

    def test_invalid_version_is_not_given_to_peers(self) -> None:
        self.offer(1, b"good")
        self.assertEqual(self.offer(2, b"bad"), 1)
        copy = self.follow.copy("policy", 0)
        assert copy is not None
        self.assertEqual((copy.version, copy.value), (1, b"good"))

    def test_damaged_copy_is_not_applied(self) -> None:
        self.offer(1, b"good")
        copy = self.follow.copy("policy", 0)
        assert copy is not None
        self.assertEqual(self.follow.receive_copy(replace(copy, version=2, value=b"cut")), 1)
        self.assertEqual(self.follow.receive_copy(replace(copy, version=2)), 2)


class RejectedVersionTest(unittest.IsolatedAsyncioTestCase):
    """An invalid version is transferred once, not with each heartbeat."""

    async def test_rejected_version_is_fetched_once(self) -> None:
        """An entry with older software must not fetch a megabyte per second for as long as it runs.

        It cannot parse the newest policy, and each heartbeat of the others names that version.
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
            follow.record_versions("e1", [ObjectVersion("policy", 2, digest)])
            await asyncio.sleep(0.01)
        self.assertEqual(fetched, [0])


class FailingReaderTest(unittest.TestCase):
    """A bug that one version triggers does not prevent later versions from being applied."""

    def test_later_version_is_applied(self) -> None:
        """An entry must not keep an old policy forever when later ones are valid.

        One version triggers a bug, and the exception ends the task that follows the policy.
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

    def run_fleet(self, scenario: Callable[[Fleet], Coroutine[Any, Any, None]]) -> None:
        invariants.strict = True
        logging.getLogger("briarspur").setLevel(logging.ERROR)

        async def run() -> None:
            fleet = Fleet(30)
            probes = asyncio.create_task(fleet.probe())
            await fleet.store.put("policy", b"first", 0)
            for entry_id in list(fleet.zones):
                await fleet.add(entry_id)
            await fleet.wait_until_in_force(1)
            await scenario(fleet)
            probes.cancel()
            for entry_id in list(fleet.follows):
                await fleet.remove(entry_id)

        run_virtual(run())

    def test_change_comes_into_force_everywhere(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(30.0)
            fleet.store.calls_by_kind.clear()
            await asyncio.sleep(60.0)
            calls = sum(fleet.store.calls_by_kind.values())
            self.assertLess(calls / 60.0 / len(ZONES), 0.8)
            await fleet.store.put("policy", b"second", 1)
            await fleet.wait_until_in_force(2, within=5.0)

        self.run_fleet(scenario)

    def test_watches_are_lost_silently(self) -> None:
        """A change must reach all entries although the watches hang without an error."""

        async def scenario(fleet: Fleet) -> None:
            fleet.silent_watches.update(fleet.follows)
            await asyncio.sleep(15.0)
            await fleet.store.put("policy", b"second", 1)
            await fleet.wait_until_in_force(2)

        self.run_fleet(scenario)

    def test_watchers_are_paused(self) -> None:
        """All watchers of a zone are suspended while membership still counts them as live."""

        async def scenario(fleet: Fleet) -> None:
            fleet.pause_watchers()
            await fleet.store.put("policy", b"second", 1)
            await fleet.wait_until_in_force(2)

        self.run_fleet(scenario)

    def test_pushes_are_lost(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.pushes_fail = True
            await fleet.store.put("policy", b"second", 1)
            await fleet.wait_until_in_force(2)

        self.run_fleet(scenario)

    def test_stale_reads_revert_nothing(self) -> None:
        """Stale reads of the store must not undo a drain."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.store.put("policy", b"second", 1)
            await fleet.wait_until_in_force(2)
            fleet.store.stale_by = 1
            await asyncio.sleep(120.0)
            self.assertEqual(fleet.versions(), {2})

        self.run_fleet(scenario)

    def test_half_the_members_are_replaced_during_a_change(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.store.put("policy", b"second", 1)
            for n in range(15):
                await fleet.remove(f"e{n}")
                fleet.zones[f"e{n + 30}"] = ZONES[n % 3]
                await fleet.add(f"e{n + 30}")
                for follow in fleet.follows.values():
                    follow.set_members(fleet.zones)
                await asyncio.sleep(0.1)
            await fleet.wait_until_in_force(2)

        self.run_fleet(scenario)

    def test_new_process_during_an_outage(self) -> None:
        """A replaced VM must not serve without a policy, or with that of one lagging peer."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.store.put("policy", b"second", 1)
            await fleet.wait_until_in_force(2)
            fleet.store.stop()
            fleet.zones["e30"] = ZONES[0]
            new = await fleet.add("e30")
            self.assertFalse(new.is_ready("policy"))
            await fleet.wait_until_in_force(2)
            await asyncio.sleep(5.0)
            self.assertTrue(new.is_ready("policy"))
            new.record_versions("e1", [ObjectVersion("policy", 9, b"")])
            self.assertTrue(new.is_ready("policy"))
            self.assertEqual(fleet.followers["e30"].value, b"second")

        self.run_fleet(scenario)

    def test_outage_of_ten_minutes(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.store.stop()
            await asyncio.sleep(600.0)
            fleet.store.start()
            await fleet.store.put("policy", b"second", 1)
            await fleet.wait_until_in_force(2)

        self.run_fleet(scenario)
