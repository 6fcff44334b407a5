"""Tests of the planner, the order of plans and the load meter."""

import json
import unittest
from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.coord.invariants import invariants
from briarspur.errors import DocumentError
from briarspur.loadreport import LoadDocument, LoadMeter, ServiceLoad, SlotCount, parse_load
from briarspur.plan import PlanDocument, PlanOrder, PlanSplit, parse_plan
from briarspur.planner import Planner, PlannerSettings
from briarspur.policy import Policy, compile_policy, parse_policy
from tests.examples import small_policy

SETTINGS = PlannerSettings(report_delay=1.0, settling_time=5.0, max_report_age=6.0, hold_time=30.0)


def policy() -> Policy:
    document = small_policy(targets=4)
    for region in document["regions"].values():
        region["in_flight_limit"] = 100
    return compile_policy(parse_policy(json.dumps(document)), version=3)


class World:
    """A planner that receives the load of two regions whose servers respond in 0.1 s."""

    def __init__(self) -> None:
        self.planner = Planner("steer-1", SETTINGS)
        self.policy = policy()
        self.demand = {"north": 10.0, "south": 10.0}
        self.slots = {"north": 6, "south": 6}
        self.warm = {"north": 6, "south": 6}
        self.silent: set[str] = set()
        self.services: tuple[str, ...] = ("times",)
        self.frozen = False
        self.plans: list[tuple[float, PlanDocument]] = []
        self.now = 100.0
        self.number = 0
        self.planner.begin_term(term=2, stored=None, now=self.now)

    def share(self, home: str, region: str) -> float:
        if not self.plans or home not in self.plans[-1][1].splits["times"]:
            return float(home == region)
        return self.plans[-1][1].splits["times"][home].shares.get(region, 0.0)

    def report(self) -> None:
        self.number += not self.frozen
        for region in self.slots:
            if region in self.silent:
                continue
            served = sum(self.share(home, region) * rate for home, rate in self.demand.items())
            served = min(served, self.slots[region] / 0.1)
            load = ServiceLoad(
                demand_by_home={region: self.demand[region]},
                served=served,
                in_flight=served * 0.1,
                warm_slots=self.warm[region],
                slots=self.slots[region],
            )
            document = LoadDocument(
                entry_id=f"entry-{region}",
                incarnation="a",
                region=region,
                number=self.number,
                services=dict.fromkeys(self.services, load),
            )
            self.planner.add_report(document, self.now)

    def run(self, seconds: int) -> None:
        for _ in range(seconds):
            self.now += 1.0
            self.report()
            plan = self.planner.next_plan(self.policy, self.now)
            if plan is not None:
                self.plans.append((self.now, plan))


class PlannerTest(unittest.TestCase):
    """Steps stay within the caps and follow measurements of the previous step's effect."""

    def setUp(self) -> None:
        invariants.strict = True
        self.world = World()

    def test_no_plan_while_regions_serve_their_demand(self) -> None:
        self.world.run(60)
        self.assertEqual(self.world.plans, [])

    def test_surplus_of_a_region_moves_in_steps(self) -> None:
        """Guards against a region that stays overloaded, and against overloading its neighbour.

        The demand of one region rises to twice its capacity while the other is idle.
        """
        self.world.demand["north"] = 90.0
        self.world.run(200)
        self.assertAlmostEqual(self.world.share("north", "south"), 39.0 / 90.0, delta=0.02)
        shares = [p.splits["times"]["north"].shares["south"] for _, p in self.world.plans]
        steps = [b - a for a, b in pairwise([0.0, *shares])]
        # The cap allows 20 requests in 5 s: 4 of 90 a second.
        self.assertLessEqual(max(steps), 4.0 / 90.0 + 1e-3)
        times = [time for time, _ in self.world.plans]
        self.assertGreaterEqual(min(b - a for a, b in pairwise(times)), 6.0)

    def test_surplus_moves_only_to_warm_capacity(self) -> None:
        self.world.demand["north"] = 90.0
        self.world.warm["south"] = 2
        self.world.run(200)
        self.assertLessEqual(10.0 + 90.0 * self.world.share("north", "south"), 0.85 * 20.0 + 0.1)

    def test_repeated_reports_cause_only_one_step(self) -> None:
        """Guards against draining a region step after step when the first step was enough.

        Its reports no longer change, so each step seems to have had no effect.
        """
        self.world.demand["north"] = 90.0
        self.world.run(7)
        self.assertEqual(len(self.world.plans), 1)
        self.world.frozen = True
        self.world.run(25)
        self.assertEqual(len(self.world.plans), 1)

    def test_missing_reports_hold_the_plan_then_limit_the_region_to_the_policy(self) -> None:
        self.world.demand["north"] = 90.0
        self.world.run(200)
        moved = self.world.share("north", "south")
        self.world.silent = {"south"}
        self.world.run(28)
        self.assertEqual(self.world.share("north", "south"), moved)
        self.world.run(300)
        self.assertEqual(self.world.share("north", "south"), 0.0)

    def test_traffic_returns_in_steps(self) -> None:
        self.world.demand["north"] = 90.0
        self.world.run(200)
        self.world.demand["north"] = 40.0
        before = len(self.world.plans)
        self.world.run(300)
        self.assertEqual(self.world.share("north", "south"), 0.0)
        # The cap on returns allows 10 requests in 5 s: 2 of 40 a second.
        self.assertGreaterEqual(len(self.world.plans) - before, 8)

    def test_a_new_term_waits_for_the_effect_of_the_previous_step(self) -> None:
        """Guards against two steps within a second when the lease changes hands.

        The new holder has reports that were taken before the last step of the old holder.
        """
        self.world.demand["north"] = 90.0
        self.world.run(20)
        last = self.world.plans[-1][1]
        self.world.planner = Planner("steer-2", SETTINGS)
        self.world.planner.begin_term(term=3, stored=last, now=self.world.now)
        before = len(self.world.plans)
        self.world.run(5)
        self.assertEqual(len(self.world.plans), before)
        self.world.run(5)
        newer = self.world.plans[-1][1]
        self.assertEqual((newer.term, newer.number, newer.holder), (3, 1, "steer-2"))
        self.assertGreater(
            newer.splits["times"]["north"].shares["south"],
            last.splits["times"]["north"].shares["south"],
        )

    def test_two_services_do_not_plan_to_use_the_same_capacity(self) -> None:
        """Guards against overloading a region with a step that relieves another region.

        Two services see the same free part of its limit in the same reports and both move there.
        """
        self.world.services = ("times", "booking")
        self.world.demand["north"] = 90.0
        self.world.run(60)
        self.assertGreater(len(self.world.plans), 4)
        moved_services: list[str] = []
        for (_, one), (_, two) in pairwise(self.world.plans):
            moved = [
                service
                for service in self.world.services
                if "north" in two.splits[service]
                and two.splits[service]["north"] != one.splits[service].get("north")
            ]
            self.assertEqual(len(moved), 1)
            moved_services += moved
        self.assertLessEqual(
            abs(moved_services.count("times") - moved_services.count("booking")), 1
        )

    @settings(derandomize=True, deadline=None, database=None, max_examples=40)
    @given(st.data())
    def test_any_reports_keep_the_invariants(self, data) -> None:
        """Reports lie, stop and jump; steps stay within the caps, as the invariants check."""
        world = World()
        for _ in range(8):
            for region in world.slots:
                world.demand[region] = data.draw(st.sampled_from([0.0, 5.0, 80.0, 1_000.0]))
                world.warm[region] = data.draw(st.integers(0, 6))
            world.silent = data.draw(st.sets(st.sampled_from(["north", "south"])))
            world.frozen = data.draw(st.booleans())
            world.run(data.draw(st.integers(1, 25)))
        numbers = [plan.number for _, plan in world.plans]
        self.assertEqual(numbers, sorted(set(numbers)))
        for _, plan in world.plans:
            for by_home in plan.splits.values():
                for split in by_home.values():
                    self.assertAlmostEqual(sum(split.shares.values()), 1.0)


class PlanOrderTest(unittest.TestCase):
    """An older plan never replaces a newer one."""

    def plan(self, term: int, number: int) -> PlanDocument:
        return PlanDocument(term=term, number=number, holder="x", policy_version=1)

    def test_a_late_plan_of_a_paused_holder_is_rejected(self) -> None:
        """Guards against traffic that reverts to an old plan.

        A holder is paused until its lease has expired and then sends the plan it had computed.
        """
        order = PlanOrder()
        self.assertTrue(order.accept(self.plan(2, 7)))
        self.assertTrue(order.accept(self.plan(3, 1)))
        self.assertFalse(order.accept(self.plan(2, 8)))
        self.assertFalse(order.accept(self.plan(3, 1)))
        self.assertEqual(order.rejected, 1)

    def test_plan_documents_are_validated(self) -> None:
        split = PlanSplit(shares={"north": 0.5, "south": 0.5})
        plan = PlanDocument(
            term=1, number=1, holder="x", policy_version=1, splits={"times": {"north": split}}
        )
        self.assertEqual(parse_plan(plan.model_dump_json()), plan)
        with self.assertRaises(DocumentError):
            parse_plan(b'{"term": -1}')


class LoadMeterTest(unittest.TestCase):
    """An entry counts requests and responses over the last window."""

    def test_rates_rise_with_arrivals_and_fall_when_they_end(self) -> None:
        meter = LoadMeter("entry-1", "a", "north")
        for n in range(100):
            meter.record_arrival("times", "south", n / 10)
            meter.record_response("times", 0.2, n / 10)
        slots = {"times": SlotCount(slots=6, warm_slots=3, queued=1)}
        first = meter.next_report(slots, 10.0)
        load = first.services["times"]
        self.assertAlmostEqual(load.demand_by_home["south"], 10.0)
        self.assertAlmostEqual(load.served, 10.0)
        self.assertAlmostEqual(load.in_flight, 2.0)
        later = meter.next_report(slots, 30.0)
        self.assertEqual(later.services["times"].demand_by_home, {})
        self.assertGreater(later.number, first.number)
        self.assertEqual(parse_load(later.model_dump_json()), later)
