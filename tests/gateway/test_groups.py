"""Tests of groups and of the sums that their aggregators send, over a simulated network."""

import random
import unittest
from collections import Counter, defaultdict

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.fleet import Fleet
from briarspur.gateway.gossip import Gossip
from briarspur.gateway.groups import MAX_GROUP_SIZE, ONE_GROUP
from briarspur.gateway.loadview import ALL_OTHERS, News
from briarspur.gateway.news import news_to_wire
from tests.gateway.samples import steering

ZONES = ("z-1", "z-2", "z-3")

MAX_DATAGRAM_BYTES = 1_200
"""Fits into one packet on any network."""
MAX_MEMBER_DATAGRAMS_PER_S = 60.0


class Network:
    """Delivers messages to all entries that aren't cut off; without faults, immediately."""

    def __init__(self) -> None:
        self.now = 0.0
        self.gossips: dict[str, Gossip] = {}
        self.cut: set[str] = set()
        self.sent = 0
        self.faults: tuple[random.Random, float] | None = None
        self.is_measuring = False
        self.max_bytes = 0
        self.bytes_by_entry: Counter[str] = Counter()
        self.datagrams_by_entry: Counter[str] = Counter()
        self._delayed: list[tuple[str, News]] = []
        self._leader_by_zone: dict[str, str] = {}
        self.leaders: dict[str, set[str]] = defaultdict(set)

    def send(self, news: News, addresses: list[tuple[str, int]]) -> None:
        self.sent += len(addresses)
        if self.is_measuring and addresses:
            self._measure(news, [host for host, _ in addresses])
        if news.group == ALL_OTHERS:
            zone = self.gossips[news.entry_id].groups.name
            self._leader_by_zone[zone] = news.entry_id
            self.leaders[zone].add(news.entry_id)
        for host, _ in addresses:
            self._transmit(host, news)

    def _measure(self, news: News, hosts: list[str]) -> None:
        size = len(news_to_wire(news, self.now))
        self.max_bytes = max(self.max_bytes, size)
        self.bytes_by_entry[news.entry_id] += size * len(hosts)
        for host in hosts:
            self.bytes_by_entry[host] += size
            self.datagrams_by_entry[host] += 1

    def is_leader(self, entry: "Entry") -> bool:
        """Return whether an entry sent its group's latest sums."""
        return self._leader_by_zone.get(entry.record.zone) == entry.record.entry_id

    def deliver_delayed(self) -> None:
        """Deliver the delayed messages in reverse order."""
        delayed, self._delayed = self._delayed, []
        for host, news in reversed(delayed):
            self._arrive(host, news)

    def _transmit(self, host: str, news: News) -> None:
        if self.faults is None:
            self._arrive(host, news)
            return
        rng, share = self.faults
        chance = rng.random()
        if chance < share / 2.0:
            return
        if chance < share:
            self._delayed.append((host, news))
        if chance > share / 2.0 and rng.random() < share:
            self._arrive(host, news)
        if chance >= share:
            self._arrive(host, news)

    def _arrive(self, host: str, news: News) -> None:
        if host not in self.cut and news.entry_id not in self.cut:
            self.gossips[host].received(news, self.now)


class Entry:
    """One entry with its load view.

    Attributes
    ----------
    own : int
        Its requests to the first target.
    busy : int
        Number of other targets with one of its requests each.
    """

    def __init__(
        self,
        network: Network,
        entry_id: str,
        zone: str,
        started: int = 1,
        strong: bool = False,
        targets: int = 1,
    ) -> None:
        processor, link = (4.0, 100.0) if strong else (0.5, 10.0)
        self.record = EntryRecord(
            entry_id, started, entry_id, zone, "a", 80, 81, 82, processor, link
        )
        self.fleet = Fleet(self.record)
        self.steering = steering(targets)
        self.own = 0
        self.busy = 0
        self.number, *self._others = self.steering.targets.by_number
        self._rotation = int(entry_id.rpartition("-")[2]) * 7
        self.gossip = Gossip(
            self.record, self.fleet, self.steering.loads, network, self.counts, dict, lambda: 0.0
        )
        network.gossips[entry_id] = self.gossip

    def counts(self) -> Counter[int]:
        """Return the requests in flight; other targets are busy in each call."""
        self._rotation += 1
        counts = Counter({self.number: self.own} if self.own else {})
        for index in range(self.busy):
            counts[self._others[(self._rotation * 11 + index * 59) % len(self._others)]] += 1
        return counts

    @property
    def elsewhere(self) -> int:
        return self.steering.targets.by_number[self.number].elsewhere


def fleet(
    size: int, zones: int = len(ZONES), strong: int = 0, targets: int = 1
) -> tuple[Network, list[Entry]]:
    """Return a fleet; the first ``strong`` entries of each zone run on stronger VMs."""
    network = Network()
    entries = [
        Entry(network, f"e-{n}", f"z-{n % zones + 1}", strong=n < strong * zones, targets=targets)
        for n in range(size)
    ]
    for entry in entries:
        for other in entries:
            entry.fleet.recorded(other.record)
        entry.gossip.members_changed(0.0)
    return network, entries


def run(network: Network, entries: list[Entry], seconds: float) -> None:
    for _ in range(max(1, round(seconds / 0.1))):
        network.now += 0.1
        for entry in entries:
            if entry.record.entry_id not in network.cut:
                entry.gossip.tick(network.now)
        network.deliver_delayed()
        for entry in entries:
            entry.gossip.members_changed(network.now)
            entry.steering.loads.expire(network.now)


class GroupTest(unittest.TestCase):
    """Every entry has the load of all others, counted once."""

    def aggregators(self, entries: list[Entry], zone: str) -> list[Entry]:
        """Return a zone's aggregators, its first aggregator at the front."""
        found = [e for e in entries if e.record.zone == zone and e.gossip.groups.is_aggregator]
        return sorted(found, key=lambda entry: not entry.gossip.groups.is_first)

    def check_sums(self, entries: list[Entry]) -> None:
        total = sum(entry.own for entry in entries)
        for entry in entries:
            self.assertEqual(total - entry.own, entry.elsewhere, entry.record.entry_id)

    def test_every_entry_has_the_load_of_all_others_in_small_and_large_fleets(self) -> None:
        for size in (3, MAX_GROUP_SIZE, MAX_GROUP_SIZE + 1, 60):
            with self.subTest(size):
                network, entries = fleet(size)
                for number, entry in enumerate(entries):
                    entry.own = number % 5 + 1
                run(network, entries, 3.0)
                self.check_sums(entries)
                is_one_group = {entry.gossip.groups.name for entry in entries} == {ONE_GROUP}
                self.assertEqual(size <= MAX_GROUP_SIZE, is_one_group)
                live = {len(entry.fleet.entry_ids(network.now)) for entry in entries}
                self.assertEqual({size}, live)

    def test_killed_aggregators_are_replaced_and_nothing_counts_twice(self) -> None:
        """Guards against servers that look too busy or idle, or live entries considered dead."""
        for killed in ((0,), (1,), (0, 1)):
            with self.subTest(killed):
                network, entries = fleet(60)
                for entry in entries:
                    entry.own = 2
                run(network, entries, 3.0)
                aggregators = self.aggregators(entries, ZONES[0])
                network.cut.update(aggregators[index].record.entry_id for index in killed)
                remaining = [entry for entry in entries if entry.record.entry_id not in network.cut]
                for _ in range(40):
                    run(network, entries, 0.1)
                    for entry in remaining:
                        self.assertLessEqual(entry.elsewhere, 2 * 59)
                        if len(killed) == 1:
                            # One of two aggregators is enough: no load is lost from view.
                            self.assertGreaterEqual(entry.elsewhere, 2 * 58)
                self.check_sums(remaining)
                successors = self.aggregators(remaining, ZONES[0])
                self.assertEqual(2, len(successors))
                self.assertEqual(
                    [True, False], [network.is_leader(successor) for successor in successors]
                )

    def test_a_restarted_entry_sends_no_sums_before_it_has_received_news_of_its_group(self) -> None:
        """Guards against sums with only the requests of one entry that replace complete ones."""
        network, entries = fleet(60)
        for entry in entries:
            entry.own = 1
        run(network, entries, 3.0)
        first = self.aggregators(entries, ZONES[0])[0]
        restarted = Entry(network, first.record.entry_id, first.record.zone, started=2)
        restarted.own = 1
        entries[entries.index(first)] = restarted
        for entry in entries:
            entry.fleet.recorded(restarted.record)
            restarted.fleet.recorded(entry.record)
        restarted.gossip.members_changed(network.now)
        for _ in range(30):
            run(network, entries, 0.1)
            for entry in entries:
                if entry is not restarted:
                    self.assertGreaterEqual(entry.elsewhere, 58, entry.record.entry_id)
        self.check_sums(entries)

    def test_a_leaving_aggregator_hands_over_immediately(self) -> None:
        """Guards against a second leader that no longer receives the news of its members."""
        network, entries = fleet(60)
        for entry in entries:
            entry.own = 1
        run(network, entries, 3.0)
        first, second = self.aggregators(entries, ZONES[0])
        first.fleet.leaving = True
        first.gossip.advertise(network.now)
        for _ in range(40):
            run(network, entries, 0.1)
            for entry in entries:
                self.assertGreaterEqual(entry.elsewhere, 58, entry.record.entry_id)
        network.leaders.clear()
        run(network, entries, 1.0)
        self.assertEqual({second.record.entry_id}, network.leaders[ZONES[0]])

    def test_one_entry_leads_the_fleet_and_receives_the_counts_of_all(self) -> None:
        """Guards against a writer of all customers' use that knows a part of it only."""
        for size in (10, 60):
            with self.subTest(size=size):
                network, entries = fleet(size)
                run(network, entries, 3.0)
                first = [e for e in entries if e.gossip.leads_fleet(network.now)]
                self.assertEqual(1, len(first))
                first[0].fleet.leaving = True
                first[0].gossip.advertise(network.now)
                run(network, entries, 3.0)
                others = [e for e in entries if e.gossip.leads_fleet(network.now)]
                self.assertEqual(1, len(others))
                self.assertIsNot(first[0], others[0])

    def test_the_entries_on_the_strongest_vms_are_aggregators(self) -> None:
        """Guards against a small VM whose link is filled by the news that it passes on."""
        network, entries = fleet(60, strong=2)
        run(network, entries, 3.0)
        for zone in ZONES:
            self.assertEqual(
                [4.0, 4.0], [e.record.processor for e in self.aggregators(entries, zone)]
            )

    def test_sums_are_exact_again_after_faults_of_the_network(self) -> None:
        """Guards against counts that drift through lost, late, duplicate and reordered news."""

        @settings(max_examples=10, deadline=None, derandomize=True)
        @given(st.integers(0, 2**32), st.floats(0.0, 0.6))
        def simulate(seed: int, fault_share: float) -> None:
            rng = random.Random(seed)
            network, entries = fleet(30)
            for _ in range(15):
                network.faults = (rng, fault_share)
                for entry in entries:
                    entry.own = rng.randrange(4)
                victim = rng.choice(entries).record.entry_id
                network.cut = {victim} if rng.random() < 0.5 else set()
                run(network, entries, rng.uniform(0.1, 0.8))
            network.faults, network.cut = None, set()
            run(network, entries, 3.0)
            self.check_sums(entries)

        simulate()

    def test_news_use_a_bounded_share_of_each_roles_link(self) -> None:
        """Guards against news that fill the link of a small VM, or are sent in fragments."""
        network, entries = fleet(195, zones=9, strong=3, targets=539)
        for entry in entries:
            entry.busy = 9
        run(network, entries, 3.0)
        network.is_measuring = True
        run(network, entries, 3.0)
        self.assertLessEqual(network.max_bytes, MAX_DATAGRAM_BYTES)
        for entry in entries:
            link = 100e6 if entry.record.processor > 1.0 else 10e6
            bytes_per_s = network.bytes_by_entry[entry.record.entry_id] / 3.0
            self.assertLessEqual(bytes_per_s * 8.0, link / 10.0, entry.record)
            if not entry.gossip.groups.is_aggregator:
                per_s = network.datagrams_by_entry[entry.record.entry_id] / 3.0
                self.assertLessEqual(per_s, MAX_MEMBER_DATAGRAMS_PER_S)

    def test_a_large_fleet_sends_far_less_than_each_entry_to_every_other(self) -> None:
        network, entries = fleet(90)
        for entry in entries:
            entry.own = 1
        run(network, entries, 3.0)
        network.sent = 0
        run(network, entries, 3.0)
        self.assertLess(network.sent, 30 * 90 * 89 / 2)
