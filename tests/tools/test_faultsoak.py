"""A short run of the fault soak, regression seeds, and tests of its checks."""

import asyncio
import json
import random
import signal
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any, ClassVar
from unittest.mock import patch

from standins.rawtarget import Switches
from tools.faultsoak import LOST_REVISIONS, FaultSoak
from tools.soakcuts import REFUSED, SILENT, PinnedCaller
from tools.soaknotices import AdvertisedLeaving, AdvertisedLimit
from tools.soakparts import CallResult
from tools.soakresponses import HEALTHY
from tools.soakretries import ERROR, LOST, RetryBound, RetryFaults
from tools.soakshapes import ShapedSoak

REGRESSION_SEEDS: tuple[tuple[int, str], ...] = (
    (1, "the short run for CI; it has had no findings so far"),
)
"""Seeds, each with a line on its findings."""
DURATION_S = 9.0
RESTART_DURATION_S = 20.0
STORE_RETURN_SEED = 3
STORE_RETURN_DURATION_S = 14.0
CRASH_DURATION_S = 16.0
CUT_S = 9.0
CUT_DURATION_S = 18.0
CUT_CALLERS = 40
SHAPE_SEED = 31
SLOW_WORK_S = 0.35


class StoreReturnSoak(FaultSoak):
    """A run whose only fault is a store that returns from an older copy."""

    async def _inject_faults(self, until: float) -> None:
        await asyncio.sleep(1.5)
        await self.restore_store(max(LOST_REVISIONS))
        await asyncio.sleep(max(0.0, until - time.time()))


class RestartSoak(FaultSoak):
    """A run in which all servers fail nearly all requests and all gateways restart together."""

    async def _inject_faults(self, until: float) -> None:
        for process in self.deployment.targets_by_process:
            self.retries.set_failures(process, ERROR, 0.95)
        await asyncio.sleep(3.0)
        for _ in range(3):
            restart = asyncio.ensure_future(self.kill_all_gateways())
            await asyncio.sleep(2.5)
        await restart
        await asyncio.sleep(max(0.0, until - time.time()))


class CrashSoak(FaultSoak):
    """A run in which a request crashes each server that runs it, and is repeated at all gateways.

    Attributes
    ----------
    copies : int
        Number of copies that are sent at a time.
    """

    copies = 1

    async def _inject_faults(self, until: float) -> None:
        await asyncio.sleep(2.0)
        await self.crashes.repeat(until, self.copies)


class CutSoak(FaultSoak):
    """A run in which some gateways are cut off from all servers.

    Attributes
    ----------
    kind : str
        How they are cut off, one of :data:`tools.soakcuts.CUT_KINDS`.
    count : int
        Number of gateways that are cut off.
    """

    kind = SILENT
    count = 2

    def make_caller(self, number: int) -> PinnedCaller:
        """Return a caller that keeps to one of the gateways."""
        caller = PinnedCaller(
            number, self.deployment, random.Random(number), self.results, self.once_share
        )
        names = list(self.deployment.gateways)
        caller.gateway = names[number % len(names)]
        return caller

    async def _inject_faults(self, until: float) -> None:
        await asyncio.sleep(3.0)
        names = list(self.deployment.gateways)[: self.count]
        await self.cuts.cut(names, self.kind, CUT_S)
        await asyncio.sleep(max(0.0, until - time.time()))


class LeaveSoak(FaultSoak):
    """A run in which callers disconnect in the middle of long responses."""

    async def _inject_faults(self, until: float) -> None:
        while time.time() < until:
            await self.leaving.leave()


class PassedOnSoak(CutSoak):
    """A run in which all callers use a cut-off gateway, and servers are slow and lose responses."""

    route_attempts = 2
    count = 1

    def make_caller(self, number: int) -> PinnedCaller:
        """Return a caller that keeps to the gateway that is cut off."""
        caller = super().make_caller(number)
        caller.gateway = "g0"
        return caller

    async def _inject_faults(self, until: float) -> None:
        for process, items in self.deployment.targets_by_process.items():
            for item in items:
                item["work_s"] = SLOW_WORK_S
            self.retries.set_failures(process, LOST, 0.2)
        await super()._inject_faults(until)


class MisstatedSoak(FaultSoak):
    """A run in which the responses of all servers can be mistaken for rejections.

    Attributes
    ----------
    responses_by_process : dict
        Settings of the servers of each process.
    """

    responses_by_process: ClassVar[dict[str, dict[str, Any]]] = {
        "targets0": {"error_share": 0.2, "error_status": 503},
        "targets1": {"error_share": 0.2, "error_status": 429, "signs_errors": False},
        "targets2": {"error_share": 0.2, "error_status": 408},
        "targets3": {"stray_share": 0.2},
    }

    async def _inject_faults(self, until: float) -> None:
        await asyncio.sleep(1.0)
        for process, settings in self.responses_by_process.items():
            self.responses.set_responses(process, HEALTHY | settings)
        await asyncio.sleep(max(0.0, until - time.time()))


class FakeLauncher:
    """A launcher whose only process ends some time after each signal."""

    def __init__(self) -> None:
        self.starts = 1
        self._ends_at = float("inf")

    def pid(self, name: str) -> int:
        return self.starts

    def is_alive(self, name: str) -> bool:
        return time.monotonic() < self._ends_at

    def signal(self, name: str, number: int) -> None:
        self._ends_at = min(self._ends_at, time.monotonic() + 0.2)

    def start(self, name: str, module: str, root: Path | None = None) -> None:
        self.starts += 1
        self._ends_at = float("inf")


class ShortestPauses(random.Random):
    """Random numbers, of which those from a range are its lower end."""

    def uniform(self, a: float, b: float) -> float:
        return a


class FaultSoakTest(unittest.TestCase):
    """Gateways keep their guarantees under faults, and the checks detect violations."""

    def test_regression_seeds(self) -> None:
        for seed, findings in REGRESSION_SEEDS:
            with self.subTest(findings), tempfile.TemporaryDirectory() as folder:
                soak = FaultSoak(seed, DURATION_S, 3, Path(folder))
                asyncio.run(soak.run())
                self.assertEqual([], soak.findings)
                self.assertGreater(len(soak.results), 50)

    def test_a_route_added_after_the_store_went_back_is_served(self) -> None:
        """Guards against 404 for seconds on a route that the store has acknowledged."""
        with tempfile.TemporaryDirectory() as folder:
            soak = StoreReturnSoak(STORE_RETURN_SEED, STORE_RETURN_DURATION_S, 3, Path(folder))
            asyncio.run(soak.run())
            self.assertEqual([], soak.findings)

    def test_restarts_of_all_gateways_keep_the_retry_budget(self) -> None:
        """Guards against processes that have all their retries anew at each start."""
        with tempfile.TemporaryDirectory() as folder:
            soak = RestartSoak(1, RESTART_DURATION_S, 6, Path(folder), callers=3)
            soak.once_share = 0.0
            asyncio.run(soak.run())
            self.assertEqual([], list(soak.retries.check(soak.results)))
            self.assertTrue(soak.retries.worst_windows(soak.results))

    def test_a_request_that_crashes_servers_is_stopped_at_all_gateways(self) -> None:
        """Guards against copies of one request that end the servers of a service one by one."""
        with tempfile.TemporaryDirectory() as folder:
            soak = CrashSoak(1, CRASH_DURATION_S, 4, Path(folder), target_processes=4)
            asyncio.run(soak.run())
            self.assertEqual([], soak.findings)
            self.assertTrue(list(soak.deployment.rows("crash")))

    def test_gateways_that_reach_no_server_serve_their_callers(self) -> None:
        """Guards against callers that fail for as long as their gateway is cut off from servers."""
        for kind in (SILENT, REFUSED):
            with self.subTest(kind), tempfile.TemporaryDirectory() as folder:
                soak = CutSoak(1, CUT_DURATION_S, 5, Path(folder), CUT_CALLERS)
                soak.kind = kind
                asyncio.run(soak.run())
                self.assertEqual([], soak.findings)
                healed = soak.cuts.cuts[0].ended + 3.0
                late = [r for r in soak.results if r.sent > healed]
                self.assertGreater(sum(r.status == 200 for r in late), 0.95 * len(late))

    def test_requests_that_ran_are_not_reported_as_not_run(self) -> None:
        """Guards against statuses and rejections that nobody meant for the request that ran."""
        with tempfile.TemporaryDirectory() as folder:
            soak = MisstatedSoak(1, CUT_DURATION_S, 3, Path(folder), target_processes=4)
            soak.once_share = 0.8
            asyncio.run(soak.run())
            self.assertEqual([], soak.findings)
            unknown = [result for result in soak.results if result.once and result.status == 502]
            self.assertGreater(len(unknown), 50)

    def test_copies_of_rejections_do_not_end_the_requests_of_a_shaped_fleet(self) -> None:
        """Guards against requests that run and are reported as not run, in a fleet with uploads."""
        habits = Switches(names_ids=False, extra_share=0.2, reject_share=0.45)
        with tempfile.TemporaryDirectory() as folder:
            soak = ShapedSoak("uploads", SHAPE_SEED, DURATION_S, Path(folder), CUT_CALLERS, habits)
            asyncio.run(soak.run())
            self.assertEqual([], soak.findings)
            once = [result for result in soak.results if result.once]
            self.assertGreater(sum(result.status == 200 for result in once), 50)

    def test_callers_that_leave_leave_nothing_open(self) -> None:
        """Guards against requests and memory that are held for callers which have gone."""
        with tempfile.TemporaryDirectory() as folder:
            soak = LeaveSoak(1, DURATION_S, 3, Path(folder))
            asyncio.run(soak.run())
            self.assertEqual([], soak.findings)
            self.assertGreater(len(soak.leaving.results), 50)

    def test_requests_that_are_passed_on_keep_their_attempts_and_time(self) -> None:
        """Guards against attempts, or time, that each of two entries counts for itself."""
        with tempfile.TemporaryDirectory() as folder:
            soak = PassedOnSoak(1, CUT_DURATION_S, 4, Path(folder), callers=8, target_processes=3)
            asyncio.run(soak.run())
            self.assertEqual([], list(soak.attempts.check(soak.results)))
            self.assertEqual([], list(soak._unhandled_errors()))

    def test_overlapping_faults_of_one_gateway_all_end(self) -> None:
        """Guards against a run that hangs as a fault waits for the restarted gateway to end."""

        async def inject(soak: FaultSoak) -> None:
            first = asyncio.ensure_future(soak._end_and_restart("g0", signal.SIGTERM))
            await asyncio.sleep(0.02)
            second = asyncio.ensure_future(soak._end_and_restart("g0", signal.SIGKILL))
            await asyncio.wait_for(asyncio.gather(first, second), 5.0)

        with tempfile.TemporaryDirectory() as folder:
            soak = FaultSoak(1, 1.0, 1, Path(folder))
            launcher = FakeLauncher()
            soak._launcher = launcher  # type: ignore[assignment]
            soak._rng = ShortestPauses()
            asyncio.run(inject(soak))
            self.assertEqual(2, launcher.starts)

    def test_violations_of_results_are_found(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            soak = FaultSoak(1, 1.0, 1, Path(folder))
            ledger = Path(folder) / "targets0.runs"
            rows = ["twice", "twice", "refused", "unasked", "mixed"]
            ledger.write_text(
                "".join(f'{{"id": "{row}", "target": "t", "at": 5.0}}\n' for row in rows)
            )
            soak.results = [
                CallResult("twice", "/base/once/", True, "g0", 5.0, 5.1, 200, True),
                CallResult("refused", "/base/once/", True, "g0", 5.0, 5.1, 503),
                CallResult("mixed", "/base/again/", False, "g0", 5.0, 5.1, 200, False),
                CallResult("unknown", "/base/again/", False, "g0", 5.0, 5.1, 404),
            ]
            soak._drained_targets = [(1.0, "t")]
            soak.check_results()
            text = "\n".join(soak.findings)
            for summary in (
                "run more than once",
                "but run",
                "not the server's",
                "not known",
                "without a request",
            ):
                self.assertIn(summary, text)
            self.assertIn("started at a server that had left", text)

    def test_exceeding_an_advertised_limit_is_found(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            soak = FaultSoak(1, 1.0, 1, Path(folder))
            soak.results = [
                CallResult(f"r{n}", "/base/again/", False, "g0", 0.0) for n in range(60)
            ]
            rows = [
                {"what": "arrival", "id": f"r{n}", "target": target, "at": 100.0 + n * step}
                for target, step in (("fast", 0.1), ("slow", 0.8))
                for n in range(60)
            ]
            ledger = Path(folder) / "targets0.runs"
            ledger.write_text("".join(json.dumps(row) + "\n" for row in rows))
            notices = soak._notices
            notices._limits = [
                AdvertisedLimit(target, "targets0", 1.0, 100.0, 150.0)
                for target in ("fast", "slow")
            ]
            found = list(notices.check(soak.results))
            self.assertEqual(1, len(found))
            self.assertIn("fast advertised a limit of 1.0/s and got 40", found[0])
            notices._fault_ends["g0"].append(103.0)
            self.assertEqual([], list(notices.check(soak.results)))

    def test_few_answers_are_found_unless_servers_fail_requests(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            soak = FaultSoak(1, 1.0, 1, Path(folder))
            soak.results = [
                CallResult(f"r{n}", "/base/again/", False, "g0", 100.0 + n, status=503)
                for n in range(9)
            ]
            soak.retries._failure_spans = [(99.0, 104.5)]
            soak.check_results()
            self.assertEqual(["only 0 of 4 requests were answered"], soak.findings)

    def test_a_store_that_answers_late_does_not_end_the_soak(self) -> None:
        """Guards against runs that end with an exception of the soak's own call."""
        with (
            tempfile.TemporaryDirectory() as folder,
            patch("tools.faultsoak.call_store", side_effect=[TimeoutError, (200, None)]) as calls,
        ):
            soak = FaultSoak(1, 1.0, 1, Path(folder))
            asyncio.run(soak._control_store({"outage": "none"}))
            self.assertEqual(2, calls.call_count)

    def test_repeated_arrivals_above_the_budget_are_found(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            bound = RetryBound(ratio=0.5, slack=2.0, window=4.0)
            soak = FaultSoak(1, 1.0, 1, Path(folder))
            soak.retries = RetryFaults(random.Random(1), soak.deployment, FakeLauncher(), bound)
            soak.deployment.targets_by_process["targets0"] = [{"id": "t", "service": "s0"}]
            soak.results = [
                CallResult(f"r{n}", "/base/again/", False, "g0", 100.0 + n) for n in range(4)
            ]
            ledger = Path(folder) / "targets0.runs"
            for repeats, findings in ((4, 0), (5, 1)):
                rows = [
                    {"what": "arrival", "id": f"r{n % 4}", "target": "t", "at": 103.0 + n / 10.0}
                    for n in range(4 + repeats)
                ]
                ledger.write_text("".join(json.dumps(row) + "\n" for row in rows))
                with self.subTest(repeats=repeats):
                    found = list(soak.retries.check(soak.results))
                    self.assertEqual(findings, len(found), found)

    def test_requests_to_leaving_or_backing_off_servers_are_found(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            soak = FaultSoak(1, 1.0, 1, Path(folder))
            soak.results = [CallResult(f"r{n}", "/base/again/", False, "g0", 0.0) for n in range(8)]
            rows = [
                {"what": what, "id": f"r{n}", "target": "t", "at": 100.0 + n * 0.6}
                for n in range(8)
                for what in ("arrival", "rest")
            ]
            ledger = Path(folder) / "targets0.runs"
            ledger.write_text("".join(json.dumps(row) + "\n" for row in rows))
            notices = soak._notices
            notices._leaving = [AdvertisedLeaving("t", "targets0", 99.0)]
            self.assertIn("t leaves and got r6 from g0", list(notices.check(soak.results)))
            notices._leaving, notices._backoffs = [], [("t", "targets0")]
            found = list(notices.check(soak.results))
            self.assertEqual("t asked g0 to back off and got 4 requests", found[0])
            notices._fault_ends["targets0"] += [101.0, 104.0]
            self.assertEqual([], list(notices.check(soak.results)))

    def test_too_many_servers_and_too_much_time_are_found(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            soak = FaultSoak(1, 1.0, 1, Path(folder))
            soak.deployment.targets_by_process = {
                "targets0": [{"id": f"t{n}", "service": "s0"} for n in range(5)]
            }
            soak.results = [
                CallResult(f"r{n}", "/base/again/", False, "g0", 100.0) for n in range(30)
            ]
            rows = [
                {"what": what, "id": f"r{n}", "target": f"t{server}", "at": 100.0 + server}
                | {"left_ms": 2_000 if n < 25 else 500, "is_rejected": False}
                for n in range(30)
                for server in range(5 if n < 4 else 4)
                for what in ("arrival", "run")
            ]
            ledger = Path(folder) / "targets0.runs"
            ledger.write_text("".join(json.dumps(row) + "\n" for row in rows))
            found = list(soak.attempts.check(soak.results))
            self.assertEqual("4 requests ran at more than 4 servers, r0 at 5", found[0])
            # Their callers wait until 102.0; servers may be given 0.5 s more.
            # 25 requests are late from 101.0 on, the others at 103.0.
            self.assertEqual("84 of 124 arrivals were given too much time, r0 first", found[1])
            soak._notices.record_fault("t0")
            soak._notices._fault_ends["t0"] = [99.0]
            self.assertEqual(1, len(list(soak.attempts.check(soak.results))))
