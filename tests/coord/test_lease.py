"""Tests of the lease: one holder at a time, and writes of a paused holder fail."""

import asyncio
import itertools
import unittest
from collections.abc import Callable

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from briarspur.coord.envelope import Envelope, open_envelope
from briarspur.coord.errors import StoreError
from briarspur.coord.invariants import invariants
from briarspur.coord.lease import FencedOff, FencedWriter, Lease, NotHeld
from briarspur.coord.memorystore import MemoryStore, StoreFault
from briarspur.coord.writer import ConditionalWriter, Written

DURATION = 6.0
MARGIN = 1.5


class Holder:
    """One contender for the lease; its clock lost ``clock_lag`` seconds while suspended."""

    def __init__(self, name: str, store: MemoryStore, clock: Callable[[], float]) -> None:
        self.name = name
        self.clock_lag = 0.0
        tokens = itertools.count()
        self.clock = lambda: clock() - self.clock_lag
        writer = ConditionalWriter(
            store, lambda: f"{name}{next(tokens)}", max_attempts=2, retry_delay=0.0
        )
        self.lease = Lease(
            store, "steer", name, DURATION, ("plan",), self.clock, writer, margin=MARGIN
        )
        self.plan = FencedWriter(self.lease, "plan", writer)
        self.tasks: list[asyncio.Task[object]] = []

    def is_held(self) -> bool:
        return self.lease.is_held(self.clock())


def read_envelope(store: MemoryStore, name: str) -> Envelope | None:
    found = store.peek(name)
    return open_envelope(found.value).ok if found else None


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    """Scenarios of a lease and two contenders."""

    def setUp(self) -> None:
        invariants.strict = True
        self.now = 0.0
        self.store = MemoryStore()
        self.a = Holder("a", self.store, lambda: self.now)
        self.b = Holder("b", self.store, lambda: self.now)

    async def acquire(self, holder: Holder) -> None:
        await holder.lease.renew_or_acquire()
        self.now += DURATION + MARGIN
        self.assertTrue(await holder.lease.renew_or_acquire())

    async def test_holder_renews_and_the_other_waits(self) -> None:
        await self.acquire(self.a)
        for _ in range(10):
            self.now += 2.0
            self.assertTrue(await self.a.lease.renew_or_acquire())
            self.assertFalse(await self.b.lease.renew_or_acquire())
        self.assertEqual(self.a.lease.term, 1)

    async def test_dead_holder_is_replaced_under_a_higher_term(self) -> None:
        await self.acquire(self.a)
        await self.acquire(self.b)
        self.assertFalse(self.a.is_held())
        self.assertEqual(self.b.lease.term, 2)

    async def test_write_of_a_paused_holder_is_fenced_off(self) -> None:
        """A plan of a paused planner must not replace its successor's, or traffic moves twice.

        The holder checks its lease and is suspended with its write in transit, and its clock
        stops. The successor takes over. The holder resumes and believes that it holds the lease.
        """
        await self.acquire(self.a)
        self.store.hold_calls = True
        write = asyncio.create_task(self.a.plan.write("late", self.a.clock()))
        await asyncio.sleep(0)
        [late] = self.store.held_calls
        self.store.hold_calls = False
        await self.acquire(self.b)
        self.a.clock_lag = DURATION + MARGIN + 1.0
        self.assertTrue(self.a.is_held())
        late.release()
        self.assertEqual(await write, FencedOff(2))
        self.assertIsInstance(await self.a.plan.write("again", self.a.clock()), NotHeld)
        self.assertIsInstance(await self.b.plan.write("next", self.now), Written)

    async def test_write_in_transit_while_the_lease_changes_hands_is_fenced_off(self) -> None:
        """As above, but the late write arrives just when the lease object changes hands."""
        await self.acquire(self.a)
        self.store.hold_calls = True
        write = asyncio.create_task(self.a.plan.write("late", self.now))
        await asyncio.sleep(0)
        late = self.store.held_calls[0]
        self.now += DURATION + MARGIN
        self.store.hold_calls = False
        await self.b.lease.renew_or_acquire()
        self.now += DURATION + MARGIN
        self.store.hold_calls = True
        step = asyncio.create_task(self.b.lease.renew_or_acquire())
        while not step.done():
            await asyncio.sleep(0)
            for call in [call for call in self.store.held_calls if call is not late]:
                call.release()
                lease = read_envelope(self.store, "leases/steer")
                if lease is not None and lease.term == 2:
                    late.release()
        self.store.hold_calls = False
        late.release()
        self.assertIsInstance(await write, FencedOff)

    async def test_released_lease_is_acquired_at_once(self) -> None:
        await self.acquire(self.a)
        await self.a.lease.release()
        self.assertTrue(await self.b.lease.renew_or_acquire())

    async def test_lease_expires_during_an_outage(self) -> None:
        await self.acquire(self.a)
        self.store.stop()
        self.now += DURATION
        self.assertFalse(await self.a.lease.renew_or_acquire())
        self.store.start()
        self.assertTrue(await self.a.lease.renew_or_acquire())

    async def test_lease_counts_from_before_the_renewal_was_sent(self) -> None:
        """If a holder counted from the answer to a 3 s renewal, two planners would be active."""
        await self.acquire(self.a)
        self.now += 2.0
        self.store.hold_calls = True
        step = asyncio.create_task(self.a.lease.renew_or_acquire())
        await asyncio.sleep(0)
        self.now += 3.0
        self.store.held_calls[0].release()
        self.assertTrue(await step)
        self.now += DURATION - 3.0
        self.assertFalse(self.a.is_held())

    async def test_late_renewal_does_not_revive_an_abandoned_lease(self) -> None:
        """A fenced-off holder that kept renewing would write nothing and block other planners."""
        await self.acquire(self.a)
        self.store.hold_calls = True
        step = asyncio.create_task(self.a.lease.renew_or_acquire())
        await asyncio.sleep(0)
        self.a.lease.give_up()
        self.store.held_calls[0].release()
        self.assertFalse(await step)

    async def test_lost_answers_do_not_lose_the_lease(self) -> None:
        await self.acquire(self.a)
        for fault in (StoreFault.LOST_ANSWER, StoreFault.LOST_REQUEST):
            self.store.fail_next(fault)
            self.now += 4.0
            self.assertTrue(await self.a.lease.renew_or_acquire())
            self.store.fail_next(fault)
            self.assertIsInstance(await self.a.plan.write(fault.name, self.now), Written)


class LeaseMachine(RuleBasedStateMachine):
    """Three contenders whose store calls take effect in any order, late, lost or duplicated.

    A process is paused by holding its store calls; ``suspend`` stops its clock as well.
    """

    def __init__(self) -> None:
        super().__init__()
        invariants.strict = True
        self.loop = asyncio.new_event_loop()
        self.now = 0.0
        self.suspended = False
        self.store = MemoryStore()
        self.store.hold_calls = True
        self.holders = [Holder(name, self.store, lambda: self.now) for name in "abc"]
        self.last_plan: Envelope | None = None
        self.writers_by_term: dict[int, set[str]] = {}

    def teardown(self) -> None:
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.settle()
        self.loop.close()

    def settle(self) -> None:
        for _ in range(8):
            self.loop.run_until_complete(asyncio.sleep(0))
        for task in [task for holder in self.holders for task in holder.tasks if task.done()]:
            if not task.cancelled() and not isinstance(task.exception(), StoreError):
                task.result()

    def start(self, holder: Holder, run: Callable[[], object]) -> None:
        holder.tasks = [task for task in holder.tasks if not task.done()]
        holder.tasks.append(self.loop.create_task(run()))  # type: ignore[arg-type]
        self.settle()

    @rule(n=st.integers(0, 2))
    def step(self, n: int) -> None:
        holder = self.holders[n]
        names = {task.get_name() for task in holder.tasks if not task.done()}
        if "step" not in names:
            holder.tasks = [task for task in holder.tasks if not task.done()]
            self.start(holder, holder.lease.renew_or_acquire)
            holder.tasks[-1].set_name("step")

    @rule(n=st.integers(0, 2))
    def write(self, n: int) -> None:
        holder = self.holders[n]
        names = {task.get_name() for task in holder.tasks if not task.done()}
        if holder.is_held() and "write" not in names:
            self.start(holder, lambda: holder.plan.write(f"by {holder.name}", holder.clock()))
            holder.tasks[-1].set_name("write")

    @rule(seconds=st.sampled_from([0.5, 2.0, DURATION, DURATION + MARGIN]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(n=st.integers(0, 2), seconds=st.sampled_from([2.0, 20.0]))
    def suspend(self, n: int, seconds: float) -> None:
        self.suspended = True
        self.now += seconds
        self.holders[n].clock_lag += seconds

    @precondition(lambda self: self.store.held_calls)
    @rule(data=st.data(), fault=st.sampled_from([None, None, None, *StoreFault]))
    def release(self, data: st.DataObject, fault: StoreFault | None) -> None:
        calls = self.store.held_calls
        lease = read_envelope(self.store, "leases/steer")
        calls[data.draw(st.integers(0, len(calls) - 1))].release(fault)
        self.settle()
        self.check_plan(lease)

    @rule(n=st.integers(0, 2))
    def take_over(self, n: int) -> None:
        """Let one process contend without interruption, so that the holder changes often."""
        self.run_step(n)
        self.now += DURATION + MARGIN
        self.run_step(n)

    def run_step(self, n: int) -> None:
        self.step(n)
        [step] = [task for task in self.holders[n].tasks if task.get_name() == "step"]
        while calls := [call for call in self.store.held_calls if call.task is step]:
            lease = read_envelope(self.store, "leases/steer")
            calls[0].release()
            self.settle()
            self.check_plan(lease)
            self.one_holder()

    def check_plan(self, lease: Envelope | None) -> None:
        plan = read_envelope(self.store, "plan")
        if plan is None or plan == self.last_plan:
            return
        assert (
            lease is None or plan.term >= lease.term
        ), "a write took effect after its successor took the lease"
        assert self.last_plan is None or plan.term >= self.last_plan.term
        self.last_plan = plan
        writers = self.writers_by_term.setdefault(plan.term, set())
        writers.add(plan.token[0])
        assert len(writers) == 1, "two processes wrote under the same term"

    @invariant()
    def one_holder(self) -> None:
        if not self.suspended:
            assert sum(holder.is_held() for holder in self.holders) <= 1


LeaseMachineTest = LeaseMachine.TestCase
LeaseMachineTest.settings = settings(
    derandomize=True, deadline=None, database=None, max_examples=200, stateful_step_count=50
)
