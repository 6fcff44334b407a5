"""Scenarios: no key of a caller runs twice although the store lost the latest claims."""

import asyncio
import random
import unittest
from collections.abc import Coroutine
from typing import Any

from briarspur.claimrecovery import ClaimRecovery
from briarspur.coord.address import Address
from briarspur.coord.claimhold import ClaimHold
from briarspur.coord.claimholders import ClaimHolders
from briarspur.coord.claims import ClaimAcquired, ClaimOutcome, Claims, ClaimTaken, ClaimWithheld
from briarspur.coord.heldclaims import HeldClaims
from briarspur.coord.keys import Key
from briarspur.coord.memorystore import MemoryStore, StoreFault
from briarspur.coord.store import StoredObject
from briarspur.errors import PeerError
from briarspur.gossip import ObjectCopy
from briarspur.members import MemberView, ViewedMember
from briarspur.messages import EntryAddress
from tests.virtualtime import run_virtual

UNIX_TIME = 1e9
LIFETIME_S = 600.0
SKEW_S = 30.0
COPY_AGE_S = 30.0
MAX_PLAYED_AGE_S = 15.0
WATCH_S = 0.7
SETTLED_S = COPY_AGE_S + 1.0
RECOVERED_S = 10.0
DIGEST = b"digest"
KEY = Key("a-key-of-the-caller")


def now() -> float:
    return asyncio.get_running_loop().time()


class EntryStore(MemoryStore):
    """One entry's access to the store: it learns of an era from responses only."""

    def __init__(self, store: MemoryStore) -> None:
        super().__init__()
        self.store = store

    async def get(self, name: str) -> StoredObject | None:
        found = await self.store.get(name)
        self.era = self.store.era
        return found

    async def put(self, name: str, value: bytes, expected_version: int) -> int:
        try:
            return await self.store.put(name, value, expected_version)
        finally:
            self.era = self.store.era

    async def watch_policy(self) -> None:
        """Learn of each era within ``WATCH_S``, as by a watch; until cancelled."""
        while True:
            await asyncio.sleep(WATCH_S)
            self.era = self.store.era


class Entry:
    """The claims of one entry process and their recovery."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.incarnation = f"{number:016x}"
        self.fleet = fleet
        self.is_reachable = True
        self.member = ViewedMember(
            EntryAddress(f"e{number}", "127.0.0.1", 1, 2, number), self.incarnation, "north", "a"
        )
        store = EntryStore(fleet.store)
        self.store = store
        hold = ClaimHold(
            store,
            lambda: LIFETIME_S,
            skew=SKEW_S,
            read_interval=lambda: self.recovery.read_interval,
            wall=fleet.wall,
            clock=now,
        )
        held = HeldClaims(
            store, lambda: LIFETIME_S, lambda: self.recovery.write_interval, wall=fleet.wall
        )
        self.hold = hold
        self.held = held
        self.recovery = ClaimRecovery(
            self.incarnation,
            hold,
            held,
            ClaimHolders(COPY_AGE_S),
            fleet,
            now,
            random.Random(number),
        )
        tokens = iter(range(1_000))
        self.claims = Claims(
            store,
            self.incarnation,
            lambda: f"{self.incarnation}-{next(tokens)}",
            retry_delay=0.01,
            wall=fleet.wall,
            hold=hold,
            held=held,
        )
        self.watch = asyncio.ensure_future(store.watch_policy())
        self.task = asyncio.ensure_future(self.recovery.run())

    def stop(self) -> None:
        self.watch.cancel()
        self.task.cancel()

    async def claim(self, key: Key = KEY) -> ClaimOutcome:
        return await self.claims.claim(key, DIGEST)


class TimedStore(MemoryStore):
    """A store that returns from a copy of some age."""

    def __init__(self) -> None:
        super().__init__()
        self.written_at: list[float] = []

    async def put(self, name: str, value: bytes, expected_version: int) -> int:
        version = await super().put(name, value, expected_version)
        self.written_at.append(now())
        return version

    def restore_age(self, age: float) -> None:
        """Return from a copy of this age in seconds."""
        lost = sum(written_at > now() - age for written_at in self.written_at)
        del self.written_at[len(self.written_at) - lost :]
        self.restore(lost)


class Fleet:
    """Entries that share a store and ask each other in memory."""

    def __init__(self) -> None:
        self.store = TimedStore()
        self.entries_by_port: dict[int, Entry] = {}
        self.has_former_release = False

    @staticmethod
    def wall() -> float:
        return UNIX_TIME + now()

    async def fetch(self, address: Address, name: str, newer_than: int) -> ObjectCopy | None:
        await asyncio.sleep(0.01)
        entry = self.entries_by_port.get(address.port)
        if entry is None or not entry.is_reachable:
            raise PeerError("no response")
        copy = entry.recovery.describe(newer_than)
        return copy if copy.version > newer_than and not self.has_former_release else None

    def start(self, number: int) -> Entry:
        entry = Entry(self, number)
        self.entries_by_port[number] = entry
        self.publish_view()
        return entry

    def kill(self, entry: Entry) -> None:
        entry.stop()
        del self.entries_by_port[entry.member.address.peer_port]
        self.publish_view()

    def publish_view(self) -> None:
        members = [entry.member for entry in self.entries_by_port.values()]
        view = MemberView({member.address.entry_id: member for member in members})
        for entry in self.entries_by_port.values():
            entry.recovery.view_changed(view)

    async def start_settled(self, count: int = 3) -> list[Entry]:
        """Start entries and wait until they are older than the store's copy."""
        entries = [self.start(number) for number in range(1, count + 1)]
        await asyncio.sleep(SETTLED_S)
        return entries


class ClaimRecoveryTest(unittest.TestCase):
    """Callers' own keys, sent again at another entry after a return of the store."""

    def play(self, scenario: Coroutine[Any, Any, None]) -> None:
        async def play() -> None:
            self.fleet = Fleet()
            try:
                await scenario
            finally:
                for entry in self.fleet.entries_by_port.values():
                    entry.stop()

        run_virtual(play())

    def assert_withheld(self, outcome: ClaimOutcome) -> ClaimWithheld:
        assert isinstance(outcome, ClaimWithheld), outcome
        return outcome

    def test_a_living_holder_keeps_its_claim(self) -> None:
        """Guards against a claim that is given out again while its holder lives."""

        async def scenario() -> None:
            holder, other, third = await self.fleet.start_settled()
            self.assertEqual(ClaimAcquired(), await holder.claim())
            self.fleet.store.restore(1)
            self.assert_withheld(await other.claim())
            await asyncio.sleep(RECOVERED_S)
            self.assertEqual(ClaimTaken(holder.incarnation, DIGEST), await other.claim())
            self.assertEqual(ClaimTaken(holder.incarnation, DIGEST), await third.claim())
            self.assertEqual(ClaimAcquired(), await other.claim(Key("a-new-key")))

        self.play(scenario())

    def test_new_keys_are_withheld_until_a_holder_has_written_its_claims(self) -> None:
        """Guards against entries that rely on time alone while a holder can't write."""

        async def scenario() -> None:
            holder, other, _ = await self.fleet.start_settled()
            await holder.claim()
            self.fleet.store.restore(1)
            holder.task.cancel()
            await asyncio.sleep(2 * RECOVERED_S)
            self.assert_withheld(await other.claim())
            holder.task = asyncio.ensure_future(holder.recovery.run())
            await asyncio.sleep(RECOVERED_S)
            self.assertEqual(ClaimTaken(holder.incarnation, DIGEST), await other.claim())

        self.play(scenario())

    def test_a_claim_is_not_given_out_while_callers_repeat_the_key_of_a_killed_holder(self) -> None:
        """Guards against a claim that nobody can write again."""

        async def scenario() -> None:
            holder, other, third = await self.fleet.start_settled()
            await holder.claim()
            self.fleet.kill(holder)
            self.fleet.store.restore(1)
            returned_at = now()
            while now() - returned_at < LIFETIME_S:
                self.assert_withheld(await other.claim())
                self.assertNotIsInstance(await third.claim(), ClaimAcquired)
                await asyncio.sleep(20.0)
            withheld = self.assert_withheld(await other.claim())
            await asyncio.sleep(withheld.retry_after + RECOVERED_S)
            self.assertEqual(ClaimAcquired(), await other.claim())

        self.play(scenario())

    def test_retry_after_tells_when_a_key_can_be_claimed(self) -> None:
        """Guards against callers that repeat in vain for minutes, or stay away for minutes."""

        async def scenario() -> None:
            holder, other, _ = await self.fleet.start_settled()
            self.fleet.store.restore(0)
            soon = self.assert_withheld(await other.claim())
            await asyncio.sleep(max(soon.retry_after, RECOVERED_S))
            self.assertEqual(ClaimAcquired(), await other.claim())
            self.fleet.kill(holder)
            self.fleet.store.restore(0)
            await asyncio.sleep(20.0)
            late = self.assert_withheld(await other.claim(Key("another-key")))
            self.assertGreater(late.retry_after, LIFETIME_S - 20.0)
            await asyncio.sleep(late.retry_after + RECOVERED_S)
            self.assertEqual(ClaimAcquired(), await other.claim(Key("another-key")))

        self.play(scenario())

    def test_an_entry_that_started_after_the_return_withholds_claims(self) -> None:
        """Guards against a new process that doesn't know of the return."""

        async def scenario() -> None:
            holder, *others = await self.fleet.start_settled()
            await holder.claim()
            for entry in (holder, *others):
                self.fleet.kill(entry)
            self.fleet.store.restore(1)
            started = [self.fleet.start(number) for number in (11, 12)]
            await asyncio.sleep(2 * SETTLED_S)
            for entry in started:
                self.assert_withheld(await entry.claim())

        self.play(scenario())

    def test_an_entry_that_started_after_the_recovery_gives_claims_out(self) -> None:
        """Guards against a process that withholds claims for an earlier return of the store."""

        async def scenario() -> None:
            holder, *_ = await self.fleet.start_settled()
            await holder.claim()
            self.fleet.store.restore(1)
            await asyncio.sleep(RECOVERED_S)
            started = self.fleet.start(11)
            self.assertEqual(ClaimTaken(holder.incarnation, DIGEST), await started.claim())
            self.assertEqual(ClaimAcquired(), await started.claim(Key("a-new-key")))

        self.play(scenario())

    def test_entries_younger_than_the_copy_do_not_end_the_hold(self) -> None:
        """Guards against a holder that was killed before the entries that ask for it started."""

        async def scenario() -> None:
            holder, *others = await self.fleet.start_settled()
            await holder.claim()
            for entry in (holder, *others):
                self.fleet.kill(entry)
            started = [self.fleet.start(number) for number in (11, 12)]
            await asyncio.sleep(1.0)
            self.fleet.store.restore(1)
            await asyncio.sleep(2 * SETTLED_S)
            for entry in started:
                self.assert_withheld(await entry.claim())

        self.play(scenario())

    def test_a_second_return_before_the_first_is_repaired(self) -> None:
        """Guards against claims that are lost again, and a hold that is lost with them."""

        async def scenario() -> None:
            holder, other, third = await self.fleet.start_settled()
            await holder.claim()
            for delay in (0.2, 0.7, 1.3):
                self.fleet.store.restore(5)
                await asyncio.sleep(delay)
                self.assertNotIsInstance(await other.claim(), ClaimAcquired)
            await asyncio.sleep(RECOVERED_S)
            for entry in (other, third):
                self.assertEqual(ClaimTaken(holder.incarnation, DIGEST), await entry.claim())

        self.play(scenario())

    def test_a_holder_killed_between_two_returns(self) -> None:
        """Guards against a hold that ends since the holder had written before the second return."""

        async def scenario() -> None:
            holder, other, _ = await self.fleet.start_settled()
            await holder.claim()
            self.fleet.store.restore(1)
            await asyncio.sleep(RECOVERED_S)
            self.fleet.kill(holder)
            self.fleet.store.restore(3)
            await asyncio.sleep(2 * SETTLED_S)
            self.assert_withheld(await other.claim())

        self.play(scenario())

    def test_a_create_under_way_at_the_return_runs_once(self) -> None:
        """Guards against an unclear create that is sent again while another entry claims."""

        async def scenario() -> None:
            first, second, _ = await self.fleet.start_settled()
            self.fleet.store.hold_calls = True
            creating = asyncio.ensure_future(first.claim())
            await asyncio.sleep(0.01)
            self.fleet.store.held_calls[0].release(StoreFault.LOST_ANSWER)
            self.fleet.store.hold_calls = False
            await asyncio.sleep(0)
            self.fleet.store.restore(1)
            outcomes = [await second.claim(), await creating]
            await asyncio.sleep(RECOVERED_S)
            outcomes += [await second.claim(), await first.claim()]
            self.assertEqual(1, outcomes.count(ClaimAcquired()), outcomes)

        self.play(scenario())

    def test_a_claim_of_an_entry_that_does_not_know_of_the_return_yet_is_replaced(self) -> None:
        """Guards against a holder that finds the key claimed when it writes its claim again."""

        async def scenario() -> None:
            holder, other, third = await self.fleet.start_settled()
            await holder.claim()
            self.fleet.store.restore(1)
            self.assert_withheld(await other.claim())
            self.assertEqual(1, len(await self.fleet.store.list("claims/")))
            await asyncio.sleep(RECOVERED_S)
            for entry in (other, third):
                self.assertEqual(ClaimTaken(holder.incarnation, DIGEST), await entry.claim())

        self.play(scenario())

    def test_an_entry_of_the_former_release_does_not_end_the_hold(self) -> None:
        """Guards against a rolling upgrade in which a holder can't write its claims again."""

        async def scenario() -> None:
            holder, other, _ = await self.fleet.start_settled()
            await holder.claim()
            holder.task.cancel()
            self.fleet.has_former_release = True
            self.fleet.store.restore(1)
            await asyncio.sleep(2 * SETTLED_S)
            self.assert_withheld(await other.claim())

        self.play(scenario())

    def test_nobody_pays_without_a_return(self) -> None:
        """Guards against calls to the store for a return that didn't happen."""

        async def scenario() -> None:
            entry, *_ = await self.fleet.start_settled()
            calls_by_kind = self.fleet.store.calls_by_kind
            calls_by_kind.clear()
            for number in range(10):
                self.assertEqual(ClaimAcquired(), await entry.claim(Key(f"callers-key-{number}")))
            await asyncio.sleep(SETTLED_S)
            self.assertEqual({"put": 10}, dict(calls_by_kind))

        self.play(scenario())


class DispersedClaimsTest(unittest.TestCase):
    """Random series of returns, kills and starts."""

    def test_no_key_is_acquired_twice(self) -> None:
        """Guards against any order of returns, kills, starts and claims that runs a key twice."""
        for seed in range(40):
            with self.subTest(seed=seed):
                run_virtual(self.play(random.Random(seed)))

    async def play(self, rng: random.Random) -> None:
        fleet = Fleet()
        entries = await fleet.start_settled()
        numbers = iter(range(11, 1_000))
        acquired: dict[Key, int] = {}
        claimed_at: dict[Key, float] = {}
        for _ in range(60):
            event = rng.choice(["claim"] * 6 + ["return", "return", "kill", "start", "wait"])
            if event == "claim":
                key = Key(f"callers-key-{rng.randrange(4)}")
                if now() - claimed_at.get(key, now()) >= LIFETIME_S:
                    continue
                outcome = await rng.choice(entries).claim(key)
                if outcome == ClaimAcquired():
                    claimed_at[key] = now()
                    acquired[key] = acquired.get(key, 0) + 1
            elif event == "return":
                fleet.store.restore_age(rng.uniform(0.0, MAX_PLAYED_AGE_S))
            elif event == "kill" and len(entries) > 1:
                fleet.kill(entries.pop(rng.randrange(len(entries))))
            elif event == "start" and len(entries) < 5:
                entries.append(fleet.start(next(numbers)))
            await asyncio.sleep(rng.choice([0.0, 0.3, 3.0]) if event != "wait" else 8.0)
        for entry in entries:
            entry.stop()
        assert all(count == 1 for count in acquired.values()), acquired


if __name__ == "__main__":
    unittest.main()
