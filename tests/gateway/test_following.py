"""Tests of which entries read the store and which ones copy from other entries."""

import asyncio
from dataclasses import replace

from briarspur.coord.errors import StoreUnavailableError
from briarspur.gateway.pull import PULL_TIMEOUT_S
from briarspur.gateway.readtimes import FRESH_S, OWN_READ_S
from briarspur.gateway.replica import FOLLOWED, REPLICATED, Batch, Kind, StoredChange
from tests.gateway.followers import HOST, FakeStore, Member
from tests.loop import LoopTestCase, eventually


class FollowingTest(LoopTestCase):
    """Few entries call the store, and the others don't depend on those few."""

    def pair(self, store: FakeStore, port: int) -> tuple[Member, Member]:
        """Return a reader and a follower (an entry that is not a reader) of a fleet of four."""
        members = [Member(n, 4, store) for n in range(1, 5)]
        reader = next(m for m in members if m.gossip.groups.is_reader)
        other = next(m for m in members if not m.gossip.groups.is_reader)
        other.port_of[reader.record.entry_id] = port
        self.other_members = [m for m in members if m not in (reader, other)]
        return reader, other

    async def pair_with_change(self, port: int) -> tuple[Member, Member]:
        """Return a reader that has received a server's draining, and a follower that has not yet.

        Neither reads the store any more: the follower can receive changes only from the reader.
        """
        reader, other = self.pair(FakeStore(), port)
        for member in self.other_members:
            await member.close()
        await reader.server.start(HOST, port)
        await eventually(lambda: all(s.replica.revision for s in other.syncs.values()))
        for member in (reader, other):
            for task in member.tasks:
                task.cancel()
        draining = StoredChange("t-2", 170, {"state": "draining"})
        reader.syncs[Kind.TARGETS].apply(Batch(190, (draining,)))
        return reader, other

    def test_a_change_that_cant_be_pulled_is_read_from_the_store(self) -> None:
        """Guard against an old configuration when pulls from the advertising reader fail.

        One answer about registrations was counted as a confirmation of all kinds, so the follower
        stopped reading before it read the configuration: the old one stayed in force for seconds.
        """

        async def work() -> None:
            store, closed_port = FakeStore(), 9
            reader, other = self.pair(store, closed_port)
            await eventually(lambda: all(s.replica.revision for s in other.syncs.values()))
            store.revision = 2
            await eventually(
                lambda: reader.following.significant_revisions()[Kind.CONFIGURATION] == 2
            )
            sequence = 0
            while other.syncs[Kind.CONFIGURATION].replica.revision < 2:
                sequence += 1
                other.following.received(reader.news(sequence))
                await asyncio.sleep(0.05)
            self.assertLess(sequence * 0.05, FRESH_S + 1.5)
            for member in (reader, other, *self.other_members):
                await member.close()

        self.run_on_loop(work())

    def test_a_restarted_entry_of_a_small_fleet_reads_the_store_at_once(self) -> None:
        """Guard against entries that wait for each other after a loss of power of all of them.

        Each waited for the news of others, which had no copies either: 1,244 callers were refused
        in the half second until the first entry read the store.
        """

        async def work() -> None:
            store = FakeStore()
            members = [Member(number, 4, store) for number in range(1, 5)]
            follower = next(m for m in members if not m.gossip.groups.is_reader)
            for member in members:
                await member.close()
            self.assertEqual(0.0, follower.following.read_delay(Kind.ENTRIES))
            self.assertGreater(follower.following.read_delay(Kind.CONFIGURATION), 0.0)
            follower.syncs[Kind.ENTRIES].apply(Batch(1, (StoredChange("e-1", 1, {}),), True))
            self.assertEqual(0.0, follower.following.read_delay(Kind.CONFIGURATION))
            self.assertEqual(0.0, follower.following.read_delay(Kind.TARGETS))
            follower.syncs[Kind.TARGETS].apply(Batch(1, (StoredChange("t-1", 1, {}),), True))
            self.assertGreater(follower.following.read_delay(Kind.TARGETS), 0.0)

        self.run_on_loop(work())

    def test_a_follower_pulls_and_does_not_call_the_store(self) -> None:
        async def work() -> None:
            store = FakeStore()
            port = 17_541
            reader, other = self.pair(store, port)
            for member in self.other_members:
                await member.close()
            await reader.server.start(HOST, port)
            await eventually(lambda: all(s.replica.revision for s in other.syncs.values()))
            for number in range(1, 40):
                other.following.received(reader.news(number))
                await asyncio.sleep(0.01)
            for task in reader.tasks:
                task.cancel()
            for sync in reader.syncs.values():
                sync.apply(Batch(3, (StoredChange("main", 3, {"n": 3}),)))
            store.calls.clear()
            other.following.received(reader.news(50))
            await eventually(lambda: all(s.replica.revision == 3 for s in other.syncs.values()))
            self.assertEqual([], store.calls)
            await other.close()
            await reader.close()

        self.run_on_loop(work())

    def test_only_readers_read_reservations(self) -> None:
        """Guards against calls of the whole fleet for a record that most entries only copy."""

        async def work() -> None:
            stores = [FakeStore() for _ in range(4)]
            members = [
                Member(number, 4, store, kinds=REPLICATED)
                for number, store in enumerate(stores, start=1)
            ]
            readers = [store for m, store in zip(members, stores, strict=True) if m.is_reader]
            await eventually(lambda: any(Kind.RESERVATIONS in store.calls for store in readers))
            for store in stores:
                store.unavailable = True
            await asyncio.sleep(FRESH_S + 0.5)
            for store in stores:
                if store not in readers:
                    self.assertIn(Kind.TARGETS, store.calls)
                    self.assertNotIn(Kind.RESERVATIONS, store.calls)
            for member in members:
                await member.close()

        self.run_on_loop(work())

    def test_a_change_behind_a_later_renewal_is_not_missed(self) -> None:
        """Guard against a missed draining after a pull of another server's renewal.

        The renewal, at revision 180, brought along a change of revision 150, so the follower
        considered its copy complete up to 180. It never pulled the draining at 170, and the server
        got requests 3.4 s after it had registered as draining.
        """

        async def work() -> None:
            store, port = FakeStore(), 17_543
            reader, other = self.pair(store, port)
            for member in self.other_members:
                await member.close()
            await reader.server.start(HOST, port)
            await eventually(lambda: all(s.replica.revision for s in other.syncs.values()))
            for number in range(1, 40):
                other.following.received(reader.news(number))
                await asyncio.sleep(0.01)
            for member in (reader, other):
                for task in member.tasks:
                    task.cancel()
            renewed = StoredChange("t-1", 180, {"state": "cold"})
            other.syncs[Kind.TARGETS].apply(Batch(160, (renewed,)))
            reader.syncs[Kind.TARGETS].apply(
                Batch(190, (StoredChange("t-2", 170, {"state": "draining"}),))
            )
            other.following.received(reader.news(60))
            await eventually(lambda: other.syncs[Kind.TARGETS].replica.revision == 190)
            await other.close()
            await reader.close()

        self.run_on_loop(work())

    def test_followers_dont_confirm_one_anothers_copies(self) -> None:
        """Guard against stale copies when the store refuses only the two readers, for 9 s.

        The others advertised the ages of their copies to each other, each without the transit
        delay, so the ages never grew. No entry read the store, and a configuration came into force
        9 s late.
        """

        async def work() -> None:
            store = FakeStore()
            members = [Member(n, 4, store) for n in range(1, 5)]
            followers = [m for m in members if not m.gossip.groups.is_reader]
            readers = [m for m in members if m.gossip.groups.is_reader]
            await eventually(
                lambda: all(s.replica.revision for m in members for s in m.syncs.values())
            )
            for reader in readers:
                for number in range(1, 5):
                    followers[0].following.received(reader.news(number))
                    followers[1].following.received(reader.news(number))
                await reader.close()
            store.revision = 2
            sequence = 10
            while any(m.syncs[Kind.CONFIGURATION].replica.revision < 2 for m in followers):
                sequence += 1
                first, second = followers
                # The reported age doesn't include the transit delay of the news.
                delayed = [first.news(sequence), second.news(sequence)]
                await asyncio.sleep(0.02)
                second.following.received(delayed[0])
                first.following.received(delayed[1])
                self.assertLess(sequence, 200)
            for member in followers:
                await member.close()

        self.run_on_loop(work())

    def test_an_entry_that_the_store_does_not_answer_pulls_from_others(self) -> None:
        """Guard against requests to servers that leave while an entry can't reach the store.

        The entry was cut off from the store for 12 s but received the news of all others. It had
        begun to read the store itself, since the readers were cut off too, and then pulled no
        copies. Its requests reached a server 12 s after that had registered as draining.
        """

        async def work() -> None:
            reader, other = await self.pair_with_change(17_547)
            following = other.following
            following._started_at = following._confirmed_at = following._clock() - 10.0
            following._read_at = following._clock()
            following.received(reader.news(60))
            await asyncio.sleep(0.1)
            self.assertLess(other.syncs[Kind.TARGETS].replica.revision, 190, "it reads the store")
            other.syncs[Kind.TARGETS]._record_failure(StoreUnavailableError("cut off"))
            following.received(reader.news(61))
            await eventually(lambda: other.syncs[Kind.TARGETS].replica.revision == 190)
            await other.close()
            await reader.close()

        self.run_on_loop(work())

    def test_an_entry_whose_call_hangs_pulls_from_others(self) -> None:
        """Guard against requests to a server that leaves while a call hangs on a dead connection.

        The entry had begun to read the store itself, so it pulled no copies until its call timed
        out; its requests reached the server over 3 s after that had registered as draining.
        """

        async def work() -> None:
            reader, other = await self.pair_with_change(17_549)
            following = other.following
            following._started_at = following._confirmed_at = following._clock() - 10.0
            following._read_at = following._clock() - OWN_READ_S - 0.1
            self.assertFalse(other.syncs[Kind.TARGETS].is_failing)
            following.received(reader.news(60))
            await eventually(lambda: other.syncs[Kind.TARGETS].replica.revision == 190)
            await other.close()
            await reader.close()

        self.run_on_loop(work())

    def test_a_hanging_pull_does_not_block_pulls_from_other_entries(self) -> None:
        """Guard against a delay when one reader sends news but does not answer pulls.

        The pull from it hung for 1 s, and the news of the other reader, which worked, led to no
        pull in that time.
        """

        async def work() -> None:
            unresponsive_port = 17_553
            reader, other = await self.pair_with_change(17_551)
            writers: list[asyncio.StreamWriter] = []
            server = await asyncio.start_server(
                lambda r, w: writers.append(w), HOST, unresponsive_port
            )
            other.port_of["unresponsive"] = unresponsive_port
            following = other.following
            following._confirmed_at = following._clock()
            following.received(replace(reader.news(60), entry_id="unresponsive"))
            following.received(reader.news(61))
            started_at = following._clock()
            await eventually(lambda: other.syncs[Kind.TARGETS].replica.revision == 190)
            self.assertLess(following._clock() - started_at, PULL_TIMEOUT_S / 2.0)
            for writer in writers:
                writer.close()
            server.close()
            await other.close()
            await reader.close()

        self.run_on_loop(work())

    def test_the_second_reader_follows_rarely_changing_kinds_through_the_first(self) -> None:
        """Guard against needless calls, and against a second reader that relies on a dead one."""

        async def work() -> None:
            store, port = FakeStore(), 17_555
            members = [Member(n, 4, store) for n in range(1, 5)]
            first = next(m for m in members if m.gossip.groups.is_first)
            second = next(m for m in members if m.gossip.groups.is_reader and m is not first)
            for member in members:
                if member not in (first, second):
                    await member.close()
            await first.server.start(HOST, port)
            second.port_of[first.record.entry_id] = port
            await eventually(
                lambda: all(s.replica.revision for m in (first, second) for s in m.syncs.values())
            )
            await eventually(lambda: first.following.store_age() < 0.2)
            second.following.received(first.news(1))
            await asyncio.sleep(0.3)
            for task in first.tasks:
                task.cancel()
            store.calls.clear()
            for number in range(2, 10):
                second.following.received(replace(first.news(number), store_age=0.01))
                await asyncio.sleep(0.03)
            self.assertEqual({Kind.TARGETS}, set(store.calls))
            self.assertLess(second.following.store_age(), 0.5)
            started_at = second.following._clock()
            await eventually(lambda: set(store.calls) == set(FOLLOWED))
            self.assertLess(second.following._clock() - started_at, FRESH_S + 0.5)
            await first.close()
            await second.close()

        self.run_on_loop(work())

    def test_in_an_outage_only_one_kind_is_read(self) -> None:
        async def work() -> None:
            store = FakeStore()
            reader, other = self.pair(store, 9)
            for member in (other, *self.other_members):
                await member.close()
            await eventually(lambda: all(s.replica.revision for s in reader.syncs.values()))
            store.unavailable = True
            await eventually(lambda: reader.syncs[Kind.TARGETS].is_failing)
            await asyncio.sleep(0.2)
            store.calls.clear()
            await asyncio.sleep(0.5)
            self.assertEqual({Kind.TARGETS}, set(store.calls))
            store.unavailable = False
            await eventually(lambda: set(store.calls) == set(FOLLOWED))
            await reader.close()

        self.run_on_loop(work())
