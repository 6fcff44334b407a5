"""Scenarios of overload and shifts with several cores, in which limits and caps must hold."""

import random
import unittest
from collections import Counter

from briarspur.codes import CODES, Code, Ran, Repeat
from briarspur.coord.invariants import invariants
from briarspur.members import MemberView
from briarspur.messages import ShiftKind
from tests.world import ENTRIES, Run, World

WINDOW_S = 5.0
STEP_S = 0.1
RUN_S = 0.1
SOUTH_BLOCK = 0x0A020001
NORTH_ENTRIES = ("entry-1", "entry-2")
SOUTH_ENTRIES = ("entry-3", "entry-4")


class Traffic:
    """Callers of both regions at fixed rates, and backend servers that respond after a delay.

    Attributes
    ----------
    shifted_by_window : dict of int to Counter
        Requests dispatched outside their home region, by home and region in each window.
    """

    def __init__(self, calls_per_step: dict[str, float]) -> None:
        self.world = World(random.Random(7))
        self.world.start()
        self.calls_per_step = calls_per_step
        self.shifted_by_window: dict[int, Counter[tuple[str, str]]] = {}
        self.max_in_flight: Counter[str] = Counter()
        self._calls_due = dict.fromkeys(calls_per_step, 0.0)
        self._pending_ends: list[tuple[float, Run]] = []
        self._seen_attempts: set[tuple[str, int]] = set()
        self._home_by_call: dict[str, str] = {}

    def run(self, seconds: float, path: str = "times") -> None:
        """Advance the time while callers send requests."""
        for _ in range(round(seconds / STEP_S)):
            self.step(path)

    def step(self, path: str = "times") -> None:
        """Advance by one time step, delivering all messages that are sent in it."""
        world = self.world
        for home, rate in self.calls_per_step.items():
            self._calls_due[home] += rate
            while self._calls_due[home] >= 1.0:
                self._calls_due[home] -= 1.0
                self._call(home)
        while world.hops:
            world.deliver(0)
        self._record_runs()
        for end, run in list(self._pending_ends):
            if end <= world.now:
                self._pending_ends.remove((end, run))
                if run in world.runs:
                    world.finish_run(world.runs.index(run), "answer")
        while world.hops:
            world.deliver(0)
        self._record_runs()
        world.advance(STEP_S)
        self._record_runs()

    def _call(self, home: str) -> None:
        entries = NORTH_ENTRIES if home == "north" else SOUTH_ENTRIES
        live = [e for e in entries if e in self.world.cores] or sorted(self.world.cores)
        entry = live[self.world.call_count % len(live)]
        block = SOUTH_BLOCK if home == "south" else 1
        call = self.world.call(entry, None, self.world.call_count, block)
        self._home_by_call[call] = home

    def _record_runs(self) -> None:
        world = self.world
        for run in world.runs:
            attempt = (run.incarnation, run.attempt_id)
            if attempt in self._seen_attempts:
                continue
            self._seen_attempts.add(attempt)
            self._pending_ends.append((world.now + RUN_S, run))
            call = run.request_id
            home = self._home_by_call.get(call) or self._home_of_forwarded(run)
            if home != run.region:
                window = int(world.now / WINDOW_S)
                self.shifted_by_window.setdefault(window, Counter())[home, run.region] += 1
        for region in ("north", "south"):
            self.max_in_flight[region] = max(self.max_in_flight[region], world.in_flight(region))

    def _home_of_forwarded(self, run: Run) -> str:
        hop = self.world.hop_by_request[run.entry, run.request_id]
        return "south" if hop.request.block == SOUTH_BLOCK else "north"


class LimitScenariosTest(unittest.TestCase):
    """In-flight requests stay within limits, shifts within caps; refusals are immediate."""

    def setUp(self) -> None:
        invariants.strict = True

    def check_limits(self, traffic: Traffic) -> None:
        world = traffic.world
        assert world.policy is not None
        for name, region in world.policy.regions_by_name.items():
            self.assertLessEqual(traffic.max_in_flight[name], region.in_flight_limit)
        caps = world.policy.caps_by_kind
        cap = caps[ShiftKind.PLANNED].requests + caps[ShiftKind.EMERGENCY].requests
        for window, shifted in traffic.shifted_by_window.items():
            before = traffic.shifted_by_window.get(window - 1, Counter())
            for flow, count in shifted.items():
                self.assertLessEqual(count, before[flow] + cap, (window, flow))
        for code in world.final_codes.values():
            info = CODES[code]
            if info.ran is Ran.NO and code is not Code.NO_TARGET:
                self.assertIs(info.repeat, Repeat.AFTER_RETRY_AFTER)

    def drain(self, traffic: Traffic) -> None:
        traffic.calls_per_step = {}
        traffic.run(5.0)
        self.assertEqual(traffic.world.open_calls, {})

    def test_a_region_is_lost_under_load(self) -> None:
        """Guards against callers of a lost region slowing the other region for its own callers.

        Both run at four fifths of their limits when all entries and servers of one region crash.
        """
        traffic = Traffic({"north": 2.4, "south": 2.4})
        traffic.run(10.0)
        for entry in NORTH_ENTRIES:
            traffic.world.kill(entry)
        traffic.world.update_views()
        traffic.run(30.0)
        self.check_limits(traffic)
        moved = traffic.shifted_by_window[max(traffic.shifted_by_window)]["north", "south"]
        self.assertGreater(moved, 0, "callers of the lost region are served elsewhere")
        self.drain(traffic)

    def test_a_burst_is_refused_at_once_and_bookings_continue(self) -> None:
        """Guards against bookings that time out during a burst of other requests.

        Callers of each region send 30 requests per step instead of one, which fills the queues and
        slots that bookings need.
        """
        traffic = Traffic({"north": 1.0, "south": 1.0})
        traffic.run(5.0)
        traffic.calls_per_step = {"north": 30.0, "south": 30.0}
        traffic.run(3.0)
        keys = []
        for n in range(10):
            entry = NORTH_ENTRIES[n % ENTRIES]
            key = traffic.world.new_key(entry)
            assert key is not None
            keys.append(key)
            traffic.world.call(entry, key, n)
            traffic.step()
        self.drain(traffic)
        self.check_limits(traffic)
        self.assertEqual([traffic.world.ledger[key] for key in keys], [1] * 10)
        refused = [c for c in traffic.world.final_codes.values() if CODES[c].ran is Ran.NO]
        self.assertGreater(len(refused), 100)

    def test_plans_are_replayed_and_duplicated(self) -> None:
        """Guards against traffic that swings between regions in each window.

        An old plan and a new one repeatedly reach the entries in alternation.
        """
        traffic = Traffic({"north": 4.0, "south": 1.0})
        traffic.run(10.0)
        for n in range(8):
            share = float(n % 2)
            splits = {"times": {"north": {"north": 1.0 - share, "south": share}}}
            for core in traffic.world.cores.values():
                core.plan_accepted(splits)
            traffic.run(3.0)
        self.check_limits(traffic)
        self.drain(traffic)

    def test_an_entry_is_partitioned_from_its_peers(self) -> None:
        """Guards against overloading a region while two of its entries are partitioned.

        Each regards the other as gone and takes over its servers, while the store is available.
        """
        traffic = Traffic({"north": 4.0, "south": 1.0})
        traffic.run(5.0)
        world = traffic.world
        view = world.actual_view().by_id
        for entry, other in (NORTH_ENTRIES, NORTH_ENTRIES[::-1]):
            isolated_view = MemberView({name: m for name, m in view.items() if name != other})
            world.carry_out(entry, world.cores[entry].view_changed(isolated_view, world.now))
        traffic.run(15.0)
        world.update_views()
        traffic.run(10.0)
        self.check_limits(traffic)
        self.drain(traffic)

    def test_all_entries_of_a_region_crash_and_restart(self) -> None:
        """Guards against exceeding limits or caps when all entries of a region crash and restart.

        The callers of that region move to the other one; 20 s later the entries start again.
        """
        traffic = Traffic({"north": 2.4, "south": 2.4})
        traffic.run(10.0)
        world = traffic.world
        for entry in NORTH_ENTRIES:
            world.kill(entry)
        world.update_views()
        traffic.run(20.0)
        for entry in NORTH_ENTRIES:
            world.start_entry(entry)
        world.update_views()
        traffic.run(20.0)
        self.check_limits(traffic)
        self.drain(traffic)
