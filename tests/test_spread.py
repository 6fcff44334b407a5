"""Tests of when a process calls the store and whom it tells."""

import heapq
import random
import unittest
from collections import Counter

from briarspur.spread import CallKind, Readiness, Spread, SpreadTimes, watchers

TIMES = SpreadTimes()
OBJECTS = ("policy", "plan")


class Fleet:
    """Many processes that call one store in virtual time; they hear nothing from each other."""

    def __init__(self, members: int, zones: int, has_version: bool) -> None:
        self.has_version = has_version
        self.rng = random.Random(7)
        zones_by_member = {f"e{n}": f"z{n % zones}" for n in range(members)}
        self.spreads = [
            Spread(me, zone, len(OBJECTS), random.Random(n), TIMES)
            for n, (me, zone) in enumerate(zones_by_member.items())
        ]
        for spread in self.spreads:
            spread.members_changed(zones_by_member)

    def calls_by_second(self, outage: float, until: float) -> Counter[int]:
        """Return the calls in each second; every call before ``outage`` seconds fails at once."""
        calls: Counter[int] = Counter()
        due = [(0.0, n, name, 0) for n in range(len(self.spreads)) for name in OBJECTS]
        last_by_follower: dict[tuple[int, str], CallKind] = {}
        while due[0][0] < until:
            now, n, name, failures = heapq.heappop(due)
            follower = (n, name)
            last = last_by_follower.get(follower)
            turn = self.spreads[n].turn(name, self.has_version, last, failures)
            called = now + turn.pause
            calls[int(called)] += 1
            if called < outage:
                heapq.heappush(due, (called, n, name, failures + 1))
                continue
            last_by_follower[follower] = turn.kind
            waits = TIMES.watch_wait if turn.kind is CallKind.WATCH else 0.2
            heapq.heappush(due, (called + waits, n, name, 0))
        return calls


class SpreadTest(unittest.TestCase):
    """Calls of the store are constant by zone, and bounded after an outage."""

    def test_watchers_follow_without_an_election(self) -> None:
        zone = [f"e{n}" for n in range(10)]
        first, second = watchers("policy", zone, 2)
        left = [member for member in zone if member != first]
        self.assertEqual(watchers("policy", left, 2)[0], second)

    def test_other_members_audit_at_a_rate_that_is_constant_by_zone(self) -> None:
        for size in (4, 60):
            spread = Spread("e0", "z", 2, random.Random(1), TIMES)
            spread.members_changed({f"e{n}": "z" for n in range(size)})
            name = next(f"o{n}" for n in range(100) if not spread.watches(f"o{n}"))
            pauses = [spread.turn(name, True, CallKind.READ, 0).pause for _ in range(2_000)]
            self.assertAlmostEqual(sum(pauses) / 2_000 / size, TIMES.audit, delta=0.5)

    def test_whole_fleet_comes_back_after_an_outage(self) -> None:
        """The store is down for ten minutes and goes down again as soon as it is back.

        All 1,700 processes lost it at one moment and try again at one moment, more at once than
        it answers in a second. The first second, in which they lose it, is not counted.
        """
        for has_version in (False, True):
            fleet = Fleet(1_700, 29, has_version)
            calls = fleet.calls_by_second(outage=600.0, until=660.0)
            highest = max(count for second, count in calls.items() if second > 0)
            self.assertLess(highest, 2 * TIMES.store_rate)
            self.assertGreater(sum(calls[second] for second in range(600, 660)), 0)

    def test_peers_told_are_near_and_far(self) -> None:
        spread = Spread("e0", "z", 2, random.Random(1), TIMES)
        self.assertEqual(spread.tell(), [])
        spread.members_changed({"e0": "z", "e1": "z", "e2": "y", "e3": "y"})
        near, far = spread.tell()
        self.assertEqual(near, "e1")
        self.assertIn(far, ("e2", "e3"))


class ReadinessTest(unittest.TestCase):
    """A fresh process serves by nothing older than what its peers have."""

    def test_store_or_in_an_outage_several_peers(self) -> None:
        readiness = Readiness(TIMES)
        self.assertFalse(readiness.is_ready(5, wanted=False, peers=10))
        readiness.store_failed = True
        readiness.versions_by_peer.update(a=5, b=4)
        self.assertFalse(readiness.is_ready(5, wanted=False, peers=10))
        readiness.versions_by_peer["c"] = 5
        self.assertTrue(readiness.is_ready(5, wanted=False, peers=10))
        readiness.store_answered = True
        self.assertFalse(readiness.is_ready(5, wanted=True, peers=10))
        self.assertFalse(readiness.is_ready(0, wanted=False, peers=10))
