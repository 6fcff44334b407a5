"""Tests of the planning rounds of briarspur-steer, with a fake lease and a failing writer."""

import json
import unittest
from dataclasses import dataclass, field

from briarspur.coord.address import Address
from briarspur.coord.envelope import Envelope
from briarspur.coord.errors import StoreUnavailableError
from briarspur.coord.invariants import invariants
from briarspur.coord.store import StoredObject
from briarspur.coord.writer import Written
from briarspur.errors import PeerError
from briarspur.gossip import ObjectCopy
from briarspur.loadcollector import LoadCollector
from briarspur.loadreport import LoadDocument, ServiceLoad
from briarspur.metrics import NullMetrics
from briarspur.objects import Vm, VmState
from briarspur.plan import PlanDocument, parse_plan
from briarspur.planner import Planner, PlannerSettings
from briarspur.policy import Policy, compile_policy, parse_policy
from briarspur.steerround import SteerRounds
from tests.examples import small_policy

SETTINGS = PlannerSettings(report_delay=0.5, settling_time=5.0, max_report_age=10.0, hold_time=60.0)


@dataclass
class FakeLease:
    """A lease that is held while ``held`` is set."""

    term: int = 1
    held: bool = True

    def is_held(self, now: float) -> bool:
        return self.held


@dataclass
class FakeWriter:
    """Records the plans written; raises an error while ``down``."""

    base: StoredObject | None = None
    down: bool = False
    plans: list[PlanDocument] = field(default_factory=list)

    async def write(self, body: str, now: float) -> object:
        if self.down:
            raise StoreUnavailableError("down")
        plan = parse_plan(body)
        self.plans.append(plan)
        self.base = StoredObject("plan", plan.number, Envelope("t", plan.term, body).encode())
        return Written(self.base)


class FixedPolicy:
    """Always returns the same policy."""

    def __init__(self) -> None:
        document = small_policy(targets=4)
        for region in document["regions"].values():
            region["in_flight_limit"] = 100
        self.policy: Policy = compile_policy(parse_policy(json.dumps(document)), version=3)

    async def read(self) -> Policy | None:
        return self.policy


class SteerRoundsTest(unittest.IsolatedAsyncioTestCase):
    """Only the lease holder plans, and only from the plan that is known to be in force."""

    def setUp(self) -> None:
        invariants.strict = True
        self.now = 100.0
        self.number = 0
        self.lease = FakeLease()
        self.writer = FakeWriter()
        self.rounds = self.make_rounds()

    def make_rounds(self) -> SteerRounds:
        planner = Planner("steer-1", SETTINGS)
        clock = lambda: self.now  # noqa: E731
        policy_reader = FixedPolicy()
        return SteerRounds(
            self.lease, self.writer, policy_reader, planner, self.collect, clock, NullMetrics()
        )

    async def collect(self) -> list[LoadDocument]:
        self.number += 1
        loads = {"north": (90.0, 60.0), "south": (5.0, 5.0)}
        return [
            LoadDocument(
                entry_id=region,
                incarnation="a",
                region=region,
                number=self.number,
                services={
                    "times": ServiceLoad(
                        demand_by_home={region: demand},
                        served=served,
                        in_flight=served * 0.1,
                        warm_slots=6,
                        slots=6,
                    )
                },
            )
            for region, (demand, served) in loads.items()
        ]

    async def run_for(self, seconds: int) -> None:
        for _ in range(seconds):
            self.now += 1.0
            await self.rounds.run()

    async def test_the_holder_writes_plans_with_increasing_numbers(self) -> None:
        await self.run_for(20)
        numbers = [plan.number for plan in self.writer.plans]
        self.assertEqual(numbers, list(range(1, len(numbers) + 1)))
        self.assertGreaterEqual(len(numbers), 2)

    async def test_a_standby_writes_nothing(self) -> None:
        self.lease.held = False
        await self.run_for(20)
        self.assertEqual(self.writer.plans, [])

    async def test_a_step_that_was_not_written_is_planned_again(self) -> None:
        """Guards against a plan that jumps by several steps in one round after a store outage.

        The planner counted steps as done although their writes had failed.
        """
        await self.run_for(7)
        self.writer.down = True
        await self.run_for(60)
        self.writer.down = False
        before = self.writer.plans[-1].splits["times"]["north"].shares["south"]
        await self.run_for(15)
        after = [p.splits["times"]["north"].shares["south"] for p in self.writer.plans]
        self.assertLessEqual(after[after.index(before) + 1] - before, 4.0 / 90.0 + 1e-3)

    async def test_a_new_term_continues_from_the_stored_plan(self) -> None:
        await self.run_for(20)
        last = self.writer.plans[-1]
        self.lease.term = 2
        self.rounds = self.make_rounds()
        await self.run_for(10)
        first = self.writer.plans[-1]
        self.assertEqual((first.term, first.number), (2, 1))
        new_share = first.splits["times"]["north"].shares["south"]
        self.assertGreater(new_share, last.splits["times"]["north"].shares["south"])

    async def test_an_invalid_stored_plan_is_ignored(self) -> None:
        self.writer.base = StoredObject("plan", 4, b"not an envelope")
        await self.run_for(8)
        self.assertEqual(self.writer.plans[0].number, 1)


class LoadCollectorTest(unittest.IsolatedAsyncioTestCase):
    """Only entries with a valid response contribute a report."""

    async def test_silent_and_faulty_entries_contribute_no_report(self) -> None:
        good = LoadDocument(entry_id="entry-1", incarnation="a", region="north", number=1)

        class Vms:
            async def read(self) -> list[Vm]:
                return [
                    Vm(f"entry-{n}", "127.0.0.1", "north-a", VmState.LIVE, 1, 2, n)
                    for n in (1, 2, 3)
                ]

        class Source:
            async def fetch(
                self, address: Address, name: str, newer_than: int
            ) -> ObjectCopy | None:
                if address.port == 2:
                    raise PeerError("no answer")
                value = good.model_dump_json().encode() if address.port == 1 else b"{"
                return ObjectCopy(name, 1, b"", value)

        self.assertEqual(await LoadCollector(Vms(), Source()).collect(), [good])
