"""``make faultsoak SEED=n``: inject faults into gateway processes and check what callers get.

Processes are killed, paused, stopped and restarted; proxies delay, reset, refuse and black-hole
connections to the store and to backend servers; servers fail requests; the store is unavailable,
loses responses or returns from an older copy. The same seed makes the same faults at the same
times. Each violated guarantee is printed with its request, the logs are kept, and the exit code
is 1.
"""

import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
if __name__ == "__main__":
    sys.path.insert(0, str(ROOT))

from standins.launcher import Launcher  # noqa: E402
from standins.loopproxy import Fault  # noqa: E402
from tools.soakattempts import AttemptChecks  # noqa: E402
from tools.soakcrashes import CrashFaults  # noqa: E402
from tools.soakcuts import CutFaults  # noqa: E402
from tools.soakleavers import LeavingCallers  # noqa: E402
from tools.soaknotices import NoticeFaults  # noqa: E402
from tools.soakparts import (  # noqa: E402
    HOST,
    NOT_RUN_STATUSES,
    ONCE,
    REPEAT,
    SERVICES,
    Caller,
    CallResult,
    SoakDeployment,
    call_store,
    item_id_of,
)
from tools.soakresponses import ResponseFaults  # noqa: E402
from tools.soakretries import RetryFaults  # noqa: E402

__all__ = ["FaultSoak", "main"]

CALLER_COUNT = 12
SETTLING_TIME_S = 4.0
MAX_START_S = 20.0
MAX_DRAIN_S = 3.0
"""Once this time has passed after a server reported draining, no request may start there."""
MAX_PROPAGATION_S = 4.0
"""Time within which every gateway must know a route that was added without a disturbance. The
guaranteed bound is 2.5 s; the remainder allows for a busy machine."""
MAX_COPY_AGE_S = 4.0
"""Maximum age of the copy from which the store returns, when the writes that it loses begin."""
LOST_REVISIONS = (3, 30, 300)
"""Writes of other objects that the store loses. Its revisions take that many renewals longer to
pass those that were known before its return."""
READ_TIME_S = 1.2
"""Time for the gateways to read the revisions that are lost then."""
MAX_STORE_CALLS = 30
"""Attempts to make one call to the store; another fault, or a busy machine, may keep it away."""
SETTINGS_VARIABLE = "BRIARSPUR_BOOT"


class FaultSoak:
    """One run of the fault soak with a given seed.

    Attributes
    ----------
    findings : list of str
        Guarantees that were violated.
    once_share : float
        Share of the requests that must not be repeated.
    route_attempts : int
        Servers that may run one request.
    target_module : str
        Program that serves the targets.

    Parameters
    ----------
    code : Path, optional
        Root of the checkout whose gateways run, if it is not this one.
    """

    route_attempts = 4
    target_module = "standins.livetarget"

    def __init__(
        self,
        seed: int,
        seconds: float,
        gateways: int,
        folder: Path,
        callers: int = CALLER_COUNT,
        target_processes: int = 2,
        code: Path | None = None,
    ) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._caller_count = callers
        self._code = code
        self.deployment = self.make_deployment(folder)
        self.deployment.allocate_ports(gateways, target_processes)
        self._launcher = Launcher(folder)
        self.results: list[CallResult] = []
        self.findings: list[str] = []
        self.once_share = 0.4
        self.faults: list[str] = []
        self._last_disturbance = 0.0
        self._version = 1
        self._added_routes: list[tuple[float, str, bool]] = []
        self._drained_targets: list[tuple[float, str]] = []
        self._callers: list[Caller] = []
        self._notices = NoticeFaults(self._rng, self.deployment, self._launcher)
        self.retries = RetryFaults(self._rng, self.deployment, self._launcher)
        # Its own random numbers leave the other faults of each seed as they are.
        self.responses = ResponseFaults(
            random.Random(f"{seed}/responses"),
            self.deployment,
            self._launcher,
            self.retries.record_failing,
        )
        self.crashes = CrashFaults(self._rng, self.deployment, self._launcher)
        self.cuts = CutFaults(self._rng, self.deployment)
        self.leaving = LeavingCallers(self._rng, self.deployment, self._launcher)
        self.attempts = AttemptChecks(
            self.deployment, self.route_attempts, self._had_no_server_fault
        )

    async def run(self) -> None:
        """Start the deployment, inject faults under load, stop it and check the results."""
        with self._launcher:
            port = str(self.deployment.store_port)
            self._start("store", "standins.objectapi", "--host", HOST, "--port", port)
            await self._wait_until(self._is_store_up)
            await self._write_policy()
            self.crashes.enable()
            for process in self.deployment.targets_by_process:
                self._start_targets(process)
            for proxy in self.deployment.proxies.values():
                await proxy.__aenter__()
            for name in self.deployment.gateways:
                self._start_gateway(name)
            await self._wait_until(self._all_ready)
            until = time.time() + self._seconds
            self._callers = [self.make_caller(n) for n in range(self._caller_count)]
            caller_tasks = [asyncio.ensure_future(caller.run(until)) for caller in self._callers]
            await self._inject_faults(until - SETTLING_TIME_S)
            await asyncio.gather(*caller_tasks)
            await asyncio.sleep(1.0)
            self.findings.extend([finding async for finding in self.leaving.check()])
            for proxy in self.deployment.proxies.values():
                await proxy.__aexit__(None, None, None)
        self.check_results()

    def make_deployment(self, folder: Path) -> SoakDeployment:
        """Return the deployment, without addresses."""
        return SoakDeployment(folder)

    def make_caller(self, number: int) -> Caller:
        """Return a caller that looks up a gateway for each connection."""
        rng = random.Random(self._rng.random())
        return Caller(number, self.deployment, rng, self.results, self.once_share)

    # Faults

    async def _inject_faults(self, until: float) -> None:
        """Start overlapping faults until the given time, then wait until all have ended."""
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._kill_gateway,
            self.kill_all_gateways,
            self._stop_gateway,
            self._pause_gateway,
            self._reload_gateway,
            self._inject_store_path_fault,
            self._inject_target_path_fault,
            self._inject_store_outage,
            self._restore_store,
            self._kill_targets,
            self._drain_target,
            self._add_route,
            self._notices.advertise_limit,
            self._notices.advertise_leaving,
            self._notices.request_backoff,
            self.retries.fail_requests,
            self.crashes.repeat_crashing_request,
            self._cut_gateways,
            self.leaving.leave,
        ]
        fault_tasks = [asyncio.ensure_future(self.responses.repeat(until))]
        while time.time() < until:
            kind = self._rng.choice(kinds)
            self.faults.append(f"{time.time():.3f} {kind.__name__}")
            fault_tasks.append(asyncio.ensure_future(kind()))
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
        await asyncio.gather(*fault_tasks)

    async def _kill_gateway(self) -> None:
        await self._end_and_restart(self._random_gateway(), signal.SIGKILL)

    async def kill_all_gateways(self) -> None:
        """Kill all gateways at the same time and start them again."""
        names = list(self.deployment.gateways)
        await asyncio.gather(*(self._end_and_restart(name, signal.SIGKILL) for name in names))

    async def _stop_gateway(self) -> None:
        name = self._random_gateway()
        if self._rng.random() < 0.5:
            self._launcher.signal(name, signal.SIGTERM)
        await self._end_and_restart(name, signal.SIGTERM)

    async def _pause_gateway(self) -> None:
        name = self._random_gateway()
        self._record_disturbance()
        self._launcher.signal(name, signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 2.5))
        self._launcher.signal(name, signal.SIGCONT)
        self._record_disturbance()
        self._notices.record_fault(name)

    async def _reload_gateway(self) -> None:
        self._launcher.signal(self._random_gateway(), signal.SIGHUP)

    async def _inject_store_path_fault(self) -> None:
        await self._inject_path_fault(f"store-{self._random_gateway()}")

    async def _inject_target_path_fault(self) -> None:
        names = [name for name in self.deployment.proxies if not name.startswith("store-")]
        await self._inject_path_fault(self._rng.choice(names))

    async def _inject_path_fault(self, name: str) -> None:
        proxy = self.deployment.proxies[name]
        self._record_disturbance()
        fault = self._rng.choice(
            (
                Fault(delay=0.15),
                Fault(drop_requests=True),
                Fault(drop_responses=True),
                Fault(drop_requests=True, drop_responses=True),
                Fault(refuse=True),
            )
        )
        if self._rng.random() < 0.3:
            proxy.reset()
        proxy.fault = fault
        await asyncio.sleep(self._rng.uniform(0.3, 3.0))
        proxy.fault = Fault()
        if fault.drop_requests or fault.drop_responses:
            proxy.reset()
        self._record_disturbance()
        self._notices.record_fault(name)

    async def _cut_gateways(self) -> None:
        self._record_disturbance()
        await self.cuts.cut_some()
        self._record_disturbance()
        for name in self.deployment.proxies:
            self._notices.record_fault(name)

    async def _inject_store_outage(self) -> None:
        self._record_disturbance()
        outage = self._rng.choice(("busy", "reset", "silent"))
        await self._control_store({"outage": outage, "lose_answers": self._rng.choice((0, 2))})
        await asyncio.sleep(self._rng.uniform(0.3, 3.0))
        await self._control_store({"outage": "none", "forget": self._rng.random() < 0.3})
        self._record_disturbance()

    async def _restore_store(self) -> None:
        await self.restore_store(self._rng.choice(LOST_REVISIONS))

    async def restore_store(self, lost: int) -> None:
        """Let the store return from an older copy; the operator writes again what it lacks.

        Parameters
        ----------
        lost : int
            Number of revisions that the store gives out again.
        """
        self._record_disturbance()
        started = time.monotonic()
        for number in range(lost):
            if not await self._write_unrelated(number):
                break
        await asyncio.sleep(READ_TIME_S)
        await self._control_store({"outage": "reset"})
        await asyncio.sleep(self._rng.uniform(0.0, 2.0))
        age = time.monotonic() - started + self._rng.uniform(0.0, MAX_COPY_AGE_S)
        await self._control_store({"outage": "none", "restore_s": age})
        self._record_disturbance()
        await self._rewrite_policy()
        await self._add_route()

    async def _write_unrelated(self, number: int) -> bool:
        """Write an object that no gateway reads; return False if the store does not answer."""
        body = {"metadata": {"name": "unrelated"}, "spec": {"number": number}}
        try:
            port = self.deployment.store_port
            status, _ = await call_store(port, "PUT", "/objects/other/unrelated", body)
            if status == 404:
                await call_store(port, "POST", "/objects/other", body)
        except (OSError, ValueError, IndexError):
            return False
        return True

    async def _rewrite_policy(self) -> None:
        await self._repeat_until_answered(self._write_policy)

    async def _kill_targets(self) -> None:
        process = self._rng.choice(list(self.deployment.targets_by_process))
        self._launcher.signal(process, signal.SIGKILL)
        await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        if not self._launcher.is_alive(process):
            self._start_targets(process)

    async def _drain_target(self) -> None:
        process = self._rng.choice(list(self.deployment.targets_by_process))
        item = self._rng.choice(self.deployment.targets_by_process[process])
        if (
            sum(
                i["draining"]
                for items in self.deployment.targets_by_process.values()
                for i in items
            )
            > 1
        ):
            return
        item["draining"] = True
        self.deployment.write_targets(process)
        self._launcher.signal(process, signal.SIGHUP)
        for _ in range(40):
            await asyncio.sleep(0.1)
            try:
                status, found = await call_store(
                    self.deployment.store_port, "GET", f"/objects/servers/{item['id']}"
                )
            except (OSError, ValueError, IndexError):
                continue
            if status == 200 and found["spec"]["state"] == "draining":
                self._drained_targets.append((time.time(), item["id"]))
                return

    async def _add_route(self) -> None:
        disturbed_before = self._last_disturbance
        self._version += 1
        try:
            await self._write_policy()
        except (OSError, ValueError, IndexError):
            # The store did not accept the change; the next change contains the same routes.
            return
        path = f"/v{self._version}/"
        self._added_routes.append((time.time(), path, disturbed_before == self._last_disturbance))
        for caller in self._callers:
            caller.paths = [*caller.paths[-5:], path]

    # Helpers

    def _record_disturbance(self) -> None:
        self._last_disturbance = time.time()

    def _random_gateway(self) -> str:
        return self._rng.choice(list(self.deployment.gateways))

    async def _end_and_restart(self, name: str, signal_number: int) -> None:
        self._record_disturbance()
        process_id = self._launcher.pid(name)
        self._launcher.signal(name, signal_number)
        # An overlapping fault may restart the gateway first.
        while self._launcher.is_alive(name) and self._launcher.pid(name) == process_id:
            await asyncio.sleep(0.05)
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        if not self._launcher.is_alive(name):
            self._start_gateway(name)
        self._record_disturbance()
        self._notices.record_fault(name)

    def _start(self, name: str, module: str, *arguments: str) -> None:
        self._launcher.start(name, module, *arguments)

    def _start_targets(self, process: str) -> None:
        self._notices.record_fault(process)
        self._start(
            process, self.target_module, "--settings", self.deployment.write_targets(process)
        )

    def _start_gateway(self, name: str) -> None:
        os.environ[SETTINGS_VARIABLE] = self.deployment.write_gateway(name)
        self._launcher.start(name, "briarspur.platform", root=self._code)

    async def _control_store(self, changes: dict[str, Any]) -> None:
        port = self.deployment.store_port
        await self._repeat_until_answered(lambda: call_store(port, "POST", "/control", changes))

    async def _repeat_until_answered(self, call: Callable[[], Awaitable[object]]) -> None:
        for _ in range(MAX_STORE_CALLS):
            try:
                await call()
                return
            except (OSError, ValueError, IndexError):
                await asyncio.sleep(0.2)

    async def _write_policy(self) -> None:
        prefixes = ["/base/", *(f"/v{n}/" for n in range(2, self._version + 1))]
        resources: list[dict[str, Any]] = [
            {"entryKind": "services", "metadata": {"name": name}, "spec": {"maxConns": 200}}
            for name in SERVICES
        ]
        for number, prefix in enumerate(prefixes):
            for kind, path_part in (("idempotent", REPEAT), ("non_idempotent", ONCE)):
                spec = {
                    "host": "quay.example",
                    "pathPrefix": f"{prefix}{path_part}/",
                    "kind": kind,
                    "timeoutMs": 1500,
                    "latencyGoalMs": 400,
                    "priority": 1,
                    "service": SERVICES[number % len(SERVICES)],
                    "attempts": self.route_attempts,
                    "sticky": True,
                }
                resources.append(
                    {
                        "entryKind": "routes",
                        "metadata": {"name": f"{path_part}{number}"},
                        "spec": spec,
                    }
                )
        spec = {"version": self._version, "resourceList": resources}
        body = {"metadata": {"name": "main"}, "spec": spec}
        port = self.deployment.store_port
        status, _ = await call_store(port, "PUT", "/objects/config/main", body)
        if status == 404:
            status, _ = await call_store(port, "POST", "/objects/config", body)
        if status >= 300:
            raise ValueError(f"status {status}")

    async def _wait_until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        end = time.time() + MAX_START_S
        while time.time() < end:
            try:
                if await condition():
                    return
            except (OSError, ValueError, IndexError):
                pass
            await asyncio.sleep(0.1)
        raise SystemExit("the deployment did not come up")

    async def _is_store_up(self) -> bool:
        return (await call_store(self.deployment.store_port, "GET", "/objects/config"))[0] == 200

    async def _all_ready(self) -> bool:
        for plan in self.deployment.gateways.values():
            reader, writer = await asyncio.open_connection(plan["host"], plan["ready"])
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
            if b" 200 " not in line:
                return False
        return True

    # Checks

    def check_results(self) -> None:
        """Compare the results of the callers with the requests that the servers ran."""
        runs = self.deployment.runs()
        for result in self.results:
            count = len(runs.get(result.request_id, ()))
            if result.once and count > 1:
                self._add_finding("run more than once", result, count)
            if result.once and count and result.status in NOT_RUN_STATUSES:
                self._add_finding("reported as not run, but run", result, result.status)
            if result.status == 200 and not result.complete:
                self._add_finding(
                    "a success with a response that is not the server's", result, result.status
                )
            if result.status == 404 and self._must_be_known(result):
                self._add_finding("a route that must be in force is not known", result, result.path)
        others = [*self.crashes.results, *self.leaving.results]
        known = {result.request_id for result in [*self.results, *others]}
        for request_id, rows in runs.items():
            if request_id not in known:
                self.findings.append(f"a run without a request of a caller: {request_id}")
            self._check_drain(request_id, rows)
        self.findings.extend(self._notices.check(self.results))
        self.findings.extend(self.retries.check([*self.results, *others]))
        self.findings.extend(self._unhandled_errors())
        self.findings.extend(self.attempts.check([*self.results, *others]))
        self.findings.extend(self.crashes.check())
        self.findings.extend(self.cuts.check(self.results))
        # Where the servers of one process fail requests or crash while those of the other are down,
        # or no gateway reaches a server, gateways rightly refuse most requests.
        usual = [
            result
            for result in self.results
            if not self.retries.were_failing(result.sent)
            and not self.crashes.were_crashing(result.sent)
            and not self.cuts.were_all_cut_off(result.sent)
        ]
        answered = sum(result.status == 200 for result in usual)
        if answered * 2 < len(usual):
            self.findings.append(f"only {answered} of {len(usual)} requests were answered")

    def _unhandled_errors(self) -> Iterator[str]:
        """Yield the exceptions that no callback of a gateway handled."""
        for name in self.deployment.gateways:
            log = self._launcher.log(name)
            for line in log.read_text(errors="replace").splitlines() if log.exists() else ():
                if "event=unhandled-error" in line:
                    yield f"{name}: {line}"

    def _had_no_server_fault(self, target: str, begin: float, end: float) -> bool:
        """Return whether a server, its process and the path to it had no fault."""
        item_id = item_id_of(target)
        process = self.deployment.process_of(item_id)
        return all(self._notices.is_undisturbed(name, begin, end) for name in (item_id, process))

    def _must_be_known(self, result: CallResult) -> bool:
        for acknowledged, path, undisturbed in self._added_routes:
            if result.path.startswith(path):
                return undisturbed and result.sent > acknowledged + MAX_PROPAGATION_S
        return result.path.startswith("/base/")

    def _check_drain(self, request_id: str, rows: list[dict[str, Any]]) -> None:
        for drained_at, target in self._drained_targets:
            for row in rows:
                is_late = row["target"] == target and row["at"] > drained_at + MAX_DRAIN_S
                if is_late and self._last_disturbance < drained_at:
                    self.findings.append(
                        f"started at a server that had left: {request_id} {target}"
                    )

    def _add_finding(self, summary: str, result: CallResult, detail: object) -> None:
        self.findings.append(
            f"{summary}: {result.request_id} at {result.gateway} {result.sent:.3f}: {detail}"
        )


def main(argv: list[str] | None = None) -> int:
    """Run the given seeds; return 1 if any run has findings."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--gateways", type=int, default=4)
    arguments = parser.parse_args(argv)
    failed_runs = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        folder = Path(tempfile.mkdtemp(prefix=f"faultsoak-{seed}-"))
        soak = FaultSoak(seed, arguments.seconds, arguments.gateways, folder)
        asyncio.run(soak.run())
        answered = sum(result.status == 200 for result in soak.results)
        print(
            f"seed {seed}: {len(soak.results)} requests, {answered} answered, "
            f"{len(soak.faults)} faults, {len(soak.findings)} findings",
            flush=True,
        )
        if soak.findings:
            failed_runs += 1
            print("\n".join([*soak.findings[:20], f"logs in {folder}"]), flush=True)
        else:
            shutil.rmtree(folder)
    return 1 if failed_runs else 0


if __name__ == "__main__":
    sys.exit(main())
