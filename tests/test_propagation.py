"""Tests of when a process calls the store and which peers it pushes to."""

import heapq
import random
import unittest
from collections import Counter

from briarspur.propagation import CallKind, Propagation, PropagationSettings, Readiness, watchers

SETTINGS = PropagationSettings()
OBJECTS = ("policy", "plan")


class Fleet:
    """Many processes that call one store in virtual time, with no messages between them."""

    def __init__(self, members: int, zones: int, has_version: bool) -> None:
        self.has_version = has_version
        self.rng = random.Random(7)
        zones_by_member = {f"e{n}": f"z{n % zones}" for n in range(members)}
        self.processes = [
            Propagation(entry_id, zone, len(OBJECTS), random.Random(n), SETTINGS)
            for n, (entry_id, zone) in enumerate(zones_by_member.items())
        ]
        for process in self.processes:
            process.set_members(zones_by_member)

    def calls_by_second(self, outage: float, until: float) -> Counter[int]:
        """Return the calls in each second; calls before ``outage`` seconds fail immediately."""
        calls: Counter[int] = Counter()
        due = [(0.0, n, name, 0) for n in range(len(self.processes)) for name in OBJECTS]
        last_by_follower: dict[tuple[int, str], CallKind] = {}
        while due[0][0] < until:
            now, n, name, failures = heapq.heappop(due)
            follower = (n, name)
            last = last_by_follower.get(follower)
            call = self.processes[n].next_call(name, self.has_version, last, failures)
            called_at = now + call.delay
            calls[int(called_at)] += 1
            if called_at < outage:
                heapq.heappush(due, (called_at, n, name, failures + 1))
                continue
            last_by_follower[follower] = call.kind
            duration = SETTINGS.watch_timeout if call.kind is CallKind.WATCH else 0.2
            heapq.heappush(due, (called_at + duration, n, name, 0))
        return calls


class PropagationTest(unittest.TestCase):
    """The rate of store calls is constant per zone, and bounded after an outage."""

    def test_the_next_member_in_order_replaces_a_watcher(self) -> None:
        zone = [f"e{n}" for n in range(10)]
        first, second = watchers("policy", zone, 2)
        left = [member for member in zone if member != first]
        self.assertEqual(watchers("policy", left, 2)[0], second)

    def test_reads_of_other_members_have_a_constant_rate_per_zone(self) -> None:
        for size in (4, 60):
            process = Propagation("e0", "z", 2, random.Random(1), SETTINGS)
            process.set_members({f"e{n}": "z" for n in range(size)})
            name = next(f"o{n}" for n in range(100) if not process.is_watcher(f"o{n}"))
            delays = [process.next_call(name, True, CallKind.READ, 0).delay for _ in range(2_000)]
            self.assertAlmostEqual(sum(delays) / 2_000 / size, SETTINGS.audit_interval, delta=0.5)

    def test_the_whole_fleet_recovers_after_an_outage(self) -> None:
        """Guards against a store that fails again as soon as it is back after ten minutes.

        All 1,700 processes lose it at the same moment. If they retry at the same moment, it gets
        more calls than it serves in a second. The first second, that of the failure, isn't counted.
        """
        for has_version in (False, True):
            fleet = Fleet(1_700, 29, has_version)
            calls = fleet.calls_by_second(outage=600.0, until=660.0)
            highest = max(count for second, count in calls.items() if second > 0)
            self.assertLess(highest, 2 * SETTINGS.max_store_rate)
            self.assertGreater(sum(calls[second] for second in range(600, 660)), 0)

    def test_push_peers_are_in_and_outside_the_zone(self) -> None:
        process = Propagation("e0", "z", 2, random.Random(1), SETTINGS)
        self.assertEqual(process.choose_push_peers(), [])
        process.set_members({"e0": "z", "e1": "z", "e2": "y", "e3": "y"})
        zone_peer, other_peer = process.choose_push_peers()
        self.assertEqual(zone_peer, "e1")
        self.assertIn(other_peer, ("e2", "e3"))


class ReadinessTest(unittest.TestCase):
    """A new process serves with no version older than those of its peers."""

    def test_ready_after_a_store_read_or_several_peers_in_an_outage(self) -> None:
        readiness = Readiness(SETTINGS)
        self.assertFalse(readiness.is_ready(5, newer_known=False, peers=10))
        readiness.store_failed = True
        readiness.versions_by_peer.update(a=5, b=4)
        self.assertFalse(readiness.is_ready(5, newer_known=False, peers=10))
        readiness.versions_by_peer["c"] = 5
        self.assertTrue(readiness.is_ready(5, newer_known=False, peers=10))
        readiness.store_answered = True
        self.assertFalse(readiness.is_ready(5, newer_known=True, peers=10))
        self.assertFalse(readiness.is_ready(0, newer_known=False, peers=10))
