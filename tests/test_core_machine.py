"""Randomised tests of several cores that check the guarantees after each step."""

import random
import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from briarspur.coord.invariants import invariants
from tests.world import World

ENTRY = st.sampled_from(["entry-1", "entry-2", "entry-3", "entry-4"])
INDEX = st.integers(0, 1000)
OUTCOME = st.sampled_from(["answer", "answer", "answer", "shed", "lost", "lost-after", "crash"])


class CoreMachine(RuleBasedStateMachine):
    """State machine of callers, entries and backend servers, with each fault as a rule."""

    @initialize(seed=st.integers(0, 2**32 - 1))
    def begin(self, seed: int) -> None:
        invariants.strict = True
        self.world = World(random.Random(seed))
        self.world.start()
        self.keys: list[str] = []

    @rule(entry=ENTRY, number=st.integers(0, 5), south=st.booleans())
    def call(self, entry: str, number: int, south: bool) -> None:
        block = 0x0A020001 if south else 1
        self.world.call(entry, None, number, block)
        self.world.deliver(-1)

    @rule(entry=ENTRY)
    def book(self, entry: str) -> None:
        key = self.world.new_key(entry)
        if key is not None:
            self.keys.append(key)
            self.world.call(entry, key, 0)
            self.world.deliver(-1)

    @rule(entry=ENTRY)
    def book_with_foreign_key(self, entry: str) -> None:
        key = f"foreign-{len(self.keys):08d}"
        self.keys.append(key)
        self.world.call(entry, key, 0)

    @precondition(lambda self: self.keys)
    @rule(entry=ENTRY, age=st.sampled_from([1, 1, 1, 2, 3]))
    def repeat(self, entry: str, age: int) -> None:
        self.world.call(entry, self.keys[-min(age, len(self.keys))], 0)
        self.world.deliver(-1)

    @precondition(lambda self: self.world.hops)
    @rule()
    def deliver_all(self) -> None:
        for _ in range(len(self.world.hops)):
            self.world.deliver(0)

    @precondition(lambda self: self.world.hops)
    @rule(index=INDEX)
    def deliver(self, index: int) -> None:
        self.world.deliver(index)

    @precondition(lambda self: self.world.hops)
    @rule(index=INDEX)
    def drop(self, index: int) -> None:
        self.world.drop(index)

    @precondition(lambda self: self.world.runs)
    @rule(index=INDEX, outcome=OUTCOME)
    def finish(self, index: int, outcome: str) -> None:
        self.world.finish_run(index, outcome)

    @precondition(lambda self: self.world.pending_claims)
    @rule(index=INDEX, reaches_store=st.sampled_from([True, True, True, False]))
    def settle_claim(self, index: int, reaches_store: bool) -> None:
        self.world.settle_claim(index, reaches_store)

    @precondition(lambda self: self.world.open_calls)
    @rule(index=INDEX)
    def hang_up(self, index: int) -> None:
        self.world.hang_up(index)

    @precondition(lambda self: self.world.runs)
    @rule(outcome=OUTCOME)
    def finish_all(self, outcome: str) -> None:
        for _ in range(len(self.world.runs)):
            self.world.finish_run(0, outcome)

    @precondition(lambda self: len(self.world.cores) > 1)
    @rule(index=INDEX)
    def kill(self, index: int) -> None:
        live = sorted(self.world.cores)
        self.world.kill(live[index % len(live)])

    @rule(entry=ENTRY)
    def replace(self, entry: str) -> None:
        if entry not in self.world.cores:
            self.world.start_entry(entry)
            self.world.update_views(only=entry)

    @rule(entry=ENTRY)
    def update_view(self, entry: str) -> None:
        self.world.update_views(only=entry)

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 5.0, 40.0, 300.0]))
    def wait(self, seconds: float) -> None:
        self.world.advance(seconds)

    @invariant()
    def no_booking_is_recorded_twice(self) -> None:
        doubled = {key: n for key, n in self.world.ledger.items() if n > 1}
        assert not doubled, doubled

    @invariant()
    def no_region_is_over_its_limit(self) -> None:
        assert self.world.policy is not None
        for name, region in self.world.policy.regions_by_name.items():
            assert self.world.in_flight(name) <= region.in_flight_limit

    def teardown(self) -> None:
        """Finish all requests; check that every connected caller has got a final answer."""
        if not hasattr(self, "world"):
            return
        world = self.world
        for entry in ("entry-1", "entry-2", "entry-3", "entry-4"):
            if entry not in world.cores:
                world.start_entry(entry)
        world.update_views()
        for _ in range(2000):
            if not (world.hops or world.runs or world.pending_claims):
                break
            if world.pending_claims:
                world.settle_claim(0, reaches_store=True)
            if world.hops:
                world.deliver(0)
            if world.runs:
                world.finish_run(0, "answer")
        world.advance(30.0)
        assert not world.open_calls, world.open_calls
        for core in world.cores.values():
            assert core.account.in_use == 0
            assert core.open_requests() == 0, core.entry_id


CoreMachine.TestCase.settings = settings(
    max_examples=120,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class CoreMachineTest(CoreMachine.TestCase, unittest.TestCase):  # type: ignore[name-defined,misc]
    """The state machine with fixed seeds."""
