"""Tests of groups and of what their speakers tell, over a lossless network of the test."""

import unittest
from collections import Counter

from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.fleet import Fleet
from briarspur.gateway.gossip import Gossip
from briarspur.gateway.groups import LARGEST_GROUP, ONE_GROUP
from briarspur.gateway.loadview import News
from tests.gateway.samples import steering

ZONES = ("z-1", "z-2", "z-3")


class Net:
    """Delivers every message at once, except to entries that are cut off."""

    def __init__(self) -> None:
        self.now = 0.0
        self.gossips: dict[str, Gossip] = {}
        self.cut: set[str] = set()
        self.sent = 0

    def send(self, news: News, addresses: list[tuple[str, int]]) -> None:
        self.sent += len(addresses)
        for host, _ in addresses:
            if host not in self.cut and news.entry_id not in self.cut:
                self.gossips[host].received(news, self.now)


class Entry:
    """One entry with its load view."""

    def __init__(self, net: Net, entry_id: str, zone: str) -> None:
        self.record = EntryRecord(entry_id, 1, entry_id, zone, "a", 80, 81, 82)
        self.fleet = Fleet(self.record)
        self.steering = steering(1)
        self.own = 0
        (self.number,) = self.steering.targets.by_number
        self.gossip = Gossip(
            self.record,
            self.fleet,
            self.steering.loads,
            net,
            lambda: Counter({self.number: self.own} if self.own else {}),
            dict,
            lambda: 0.0,
        )
        net.gossips[entry_id] = self.gossip

    @property
    def elsewhere(self) -> int:
        return self.steering.targets.by_number[self.number].elsewhere


def fleet(size: int) -> tuple[Net, list[Entry]]:
    net = Net()
    entries = [Entry(net, f"e-{n}", ZONES[n % len(ZONES)]) for n in range(size)]
    for entry in entries:
        for other in entries:
            entry.fleet.recorded(other.record)
    return net, entries


def run(net: Net, entries: list[Entry], seconds: float) -> None:
    for _ in range(round(seconds / 0.1)):
        net.now += 0.1
        for entry in entries:
            if entry.record.entry_id not in net.cut:
                entry.gossip.tick(net.now)
        for entry in entries:
            entry.gossip.members_changed(net.now)
            entry.steering.loads.expire(net.now)


class GroupTest(unittest.TestCase):
    """Every entry knows the load of all others, counted once."""

    def check_sums(self, entries: list[Entry]) -> None:
        total = sum(entry.own for entry in entries)
        for entry in entries:
            self.assertEqual(total - entry.own, entry.elsewhere, entry.record.entry_id)

    def test_small_and_large_fleets(self) -> None:
        for size in (3, LARGEST_GROUP, LARGEST_GROUP + 1, 60):
            with self.subTest(size):
                net, entries = fleet(size)
                for number, entry in enumerate(entries):
                    entry.own = number % 5 + 1
                run(net, entries, 3.0)
                self.check_sums(entries)
                one = {entry.gossip.groups.name for entry in entries} == {ONE_GROUP}
                self.assertEqual(size <= LARGEST_GROUP, one)
                live = {len(entry.fleet.entry_ids(net.now)) for entry in entries}
                self.assertEqual({size}, live)

    def test_a_killed_speaker_is_replaced_and_nothing_counts_twice(self) -> None:
        """The speaker of a zone loses power; another member speaks from then on.

        For a while the old sum and the new one could both stand for the zone, and every server
        would look busier than it is.
        """
        net, entries = fleet(60)
        for entry in entries:
            entry.own = 2
        run(net, entries, 3.0)
        speaker = next(entry for entry in entries if entry.gossip.groups.is_speaker)
        net.cut.add(speaker.record.entry_id)
        for _ in range(40):
            run(net, entries, 0.1)
            for entry in entries:
                if entry is not speaker:
                    self.assertLessEqual(entry.elsewhere, 2 * 59)
        left = [entry for entry in entries if entry is not speaker]
        self.check_sums(left)
        zone = speaker.record.zone
        heirs = [e for e in left if e.record.zone == zone and e.gossip.groups.is_speaker]
        self.assertEqual(1, len(heirs))

    def test_a_large_fleet_sends_far_less_than_everybody_to_everybody(self) -> None:
        net, entries = fleet(90)
        for entry in entries:
            entry.own = 1
        run(net, entries, 3.0)
        net.sent = 0
        run(net, entries, 3.0)
        self.assertLess(net.sent, 30 * 90 * 89 / 2)
