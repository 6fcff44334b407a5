"""``make faultsoak SEED=n``: gateways as processes, harmed from outside, and what callers saw.

Processes are killed, paused, stopped and restarted; connections to the store and to backend servers
are delayed, reset, cut and silenced by proxies; the store is away or loses answers. The same seed
makes the same faults at the same times. A broken promise is printed with its request, the logs are
kept, and the exit code is 1.
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
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
if __name__ == "__main__":
    sys.path.insert(0, str(ROOT))

from standins.launcher import Launcher  # noqa: E402
from standins.loopproxy import Fault  # noqa: E402
from tools.soaknotices import NoticeFaults  # noqa: E402
from tools.soakparts import (  # noqa: E402
    HOST,
    ONCE,
    PROMISES,
    REPEAT,
    SERVICES,
    Caller,
    Seen,
    Site,
    call_store,
)

__all__ = ["FaultSoak", "main"]

CALLERS = 12
SETTLE_S = 4.0
START_S = 20.0
DRAIN_S = 3.0
"""Seconds after a server said that it leaves from which nothing new may begin there."""
IN_FORCE_S = 4.0
"""Seconds after a quiet change from which no gateway may lack its route. The bound is 2.5 s; the
rest is for a busy machine."""
SETTINGS_VARIABLE = "BRIARSPUR_BOOT"


class FaultSoak:
    """One seeded run.

    Attributes
    ----------
    findings : list of str
        Promises that were broken.
    """

    def __init__(self, seed: int, seconds: float, gateways: int, folder: Path) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self.site = Site(folder)
        self.site.plan(gateways, 2)
        self._launcher = Launcher(folder)
        self.seen: list[Seen] = []
        self.findings: list[str] = []
        self.faults: list[str] = []
        self._disturbed = 0.0
        self._version = 1
        self._added: list[tuple[float, str, bool]] = []
        self._drained: list[tuple[float, str]] = []
        self._callers: list[Caller] = []
        self._notices = NoticeFaults(self._rng, self.site, self._launcher)

    async def run(self) -> None:
        """Start everything, harm it, end it, and judge."""
        with self._launcher:
            port = str(self.site.store_port)
            self._start("store", "standins.objectapi", "--host", HOST, "--port", port)
            await self._until(self._store_answers)
            await self._configure()
            for process in self.site.targets_by_process:
                self._start_targets(process)
            for proxy in self.site.proxies.values():
                await proxy.__aenter__()
            for name in self.site.gateways:
                self._start_gateway(name)
            await self._until(self._all_ready)
            until = time.time() + self._seconds
            self._callers = [
                Caller(n, self.site, random.Random(self._rng.random()), self.seen)
                for n in range(CALLERS)
            ]
            calling = [asyncio.ensure_future(caller.run(until)) for caller in self._callers]
            await self._harm(until - SETTLE_S)
            await asyncio.gather(*calling)
            await asyncio.sleep(1.0)
            for proxy in self.site.proxies.values():
                await proxy.__aexit__(None, None, None)
        self.judge()

    # Faults

    async def _harm(self, until: float) -> None:
        """Make faults in series that overlap, until a time; then end them all."""
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._kill_gateway,
            self._stop_gateway,
            self._pause_gateway,
            self._hang_up,
            self._harm_store_path,
            self._harm_target,
            self._store_away,
            self._kill_targets,
            self._drain,
            self._change,
            self._notices.limit,
            self._notices.leave,
            self._notices.rest,
        ]
        running: list[asyncio.Future[None]] = []
        while time.time() < until:
            kind = self._rng.choice(kinds)
            self.faults.append(f"{time.time():.3f} {kind.__name__}")
            running.append(asyncio.ensure_future(kind()))
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
        await asyncio.gather(*running)

    async def _kill_gateway(self) -> None:
        name = self._gateway()
        self._launcher.signal(name, signal.SIGKILL)
        await self._restart(name)

    async def _stop_gateway(self) -> None:
        name = self._gateway()
        self._launcher.signal(name, signal.SIGTERM)
        if self._rng.random() < 0.5:
            self._launcher.signal(name, signal.SIGTERM)
        await self._restart(name)

    async def _pause_gateway(self) -> None:
        name = self._gateway()
        self._disturb()
        self._launcher.signal(name, signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 2.5))
        self._launcher.signal(name, signal.SIGCONT)
        self._disturb()
        self._notices.harmed(name)

    async def _hang_up(self) -> None:
        self._launcher.signal(self._gateway(), signal.SIGHUP)

    async def _harm_store_path(self) -> None:
        await self._harm_path(f"store-{self._gateway()}")

    async def _harm_target(self) -> None:
        names = [name for name in self.site.proxies if not name.startswith("store-")]
        await self._harm_path(self._rng.choice(names))

    async def _harm_path(self, name: str) -> None:
        proxy = self.site.proxies[name]
        self._disturb()
        harm = self._rng.choice(
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
        proxy.fault = harm
        await asyncio.sleep(self._rng.uniform(0.3, 3.0))
        proxy.fault = Fault()
        if harm.drop_requests or harm.drop_responses:
            proxy.reset()
        self._disturb()
        self._notices.harmed(name)

    async def _store_away(self) -> None:
        self._disturb()
        outage = self._rng.choice(("busy", "reset", "silent"))
        await self._control({"outage": outage, "lose_answers": self._rng.choice((0, 2))})
        await asyncio.sleep(self._rng.uniform(0.3, 3.0))
        await self._control({"outage": "none", "forget": self._rng.random() < 0.3})
        self._disturb()

    async def _kill_targets(self) -> None:
        process = self._rng.choice(list(self.site.targets_by_process))
        self._launcher.signal(process, signal.SIGKILL)
        await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        if not self._launcher.is_alive(process):
            self._start_targets(process)

    async def _drain(self) -> None:
        process = self._rng.choice(list(self.site.targets_by_process))
        item = self._rng.choice(self.site.targets_by_process[process])
        if sum(i["draining"] for items in self.site.targets_by_process.values() for i in items) > 1:
            return
        item["draining"] = True
        self.site.write_targets(process)
        self._launcher.signal(process, signal.SIGHUP)
        for _ in range(40):
            await asyncio.sleep(0.1)
            try:
                status, found = await call_store(
                    self.site.store_port, "GET", f"/objects/servers/{item['id']}"
                )
            except (OSError, ValueError, IndexError):
                continue
            if status == 200 and found["spec"]["state"] == "draining":
                self._drained.append((time.time(), item["id"]))
                return

    async def _change(self) -> None:
        quiet_since = self._disturbed
        self._version += 1
        try:
            await self._configure()
        except (OSError, ValueError, IndexError):
            # The store did not take it; the next change carries the same routes.
            return
        path = f"/v{self._version}/"
        self._added.append((time.time(), path, quiet_since == self._disturbed))
        for caller in self._callers:
            caller.paths = [*caller.paths[-5:], path]

    # Parts

    def _disturb(self) -> None:
        self._disturbed = time.time()

    def _gateway(self) -> str:
        return self._rng.choice(list(self.site.gateways))

    async def _restart(self, name: str) -> None:
        self._disturb()
        while self._launcher.is_alive(name):
            await asyncio.sleep(0.05)
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        if not self._launcher.is_alive(name):
            self._start_gateway(name)
        self._disturb()
        self._notices.harmed(name)

    def _start(self, name: str, module: str, *arguments: str) -> None:
        self._launcher.start(name, module, *arguments)

    def _start_targets(self, process: str) -> None:
        self._notices.harmed(process)
        self._start(process, "standins.livetarget", "--settings", self.site.write_targets(process))

    def _start_gateway(self, name: str) -> None:
        os.environ[SETTINGS_VARIABLE] = self.site.write_gateway(name)
        self._start(name, "briarspur.platform")

    async def _control(self, changes: dict[str, Any]) -> None:
        await call_store(self.site.store_port, "POST", "/control", changes)

    async def _configure(self) -> None:
        prefixes = ["/base/", *(f"/v{n}/" for n in range(2, self._version + 1))]
        resources: list[dict[str, Any]] = [
            {"entryKind": "services", "metadata": {"name": name}, "spec": {"maxConns": 200}}
            for name in SERVICES
        ]
        for number, prefix in enumerate(prefixes):
            for kind, word in (("idempotent", REPEAT), ("non_idempotent", ONCE)):
                spec = {
                    "host": "quay.example",
                    "pathPrefix": f"{prefix}{word}/",
                    "kind": kind,
                    "timeoutMs": 1500,
                    "latencyGoalMs": 400,
                    "priority": 1,
                    "service": SERVICES[number % len(SERVICES)],
                    "attempts": 2,
                    "sticky": True,
                }
                resources.append(
                    {"entryKind": "routes", "metadata": {"name": f"{word}{number}"}, "spec": spec}
                )
        spec = {"version": self._version, "resourceList": resources}
        body = {"metadata": {"name": "main"}, "spec": spec}
        port = self.site.store_port
        status, _ = await call_store(port, "PUT", "/objects/config/main", body)
        if status == 404:
            status, _ = await call_store(port, "POST", "/objects/config", body)
        if status >= 300:
            raise ValueError(f"status {status}")

    async def _until(self, holds: Callable[[], Awaitable[bool]]) -> None:
        end = time.time() + START_S
        while time.time() < end:
            try:
                if await holds():
                    return
            except (OSError, ValueError, IndexError):
                pass
            await asyncio.sleep(0.1)
        raise SystemExit("the deployment did not come up")

    async def _store_answers(self) -> bool:
        return (await call_store(self.site.store_port, "GET", "/objects/config"))[0] == 200

    async def _all_ready(self) -> bool:
        for plan in self.site.gateways.values():
            reader, writer = await asyncio.open_connection(HOST, plan["ready"])
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
            if b" 200 " not in line:
                return False
        return True

    # Promises

    def judge(self) -> None:
        """Compare what callers saw with what the servers ran."""
        runs = self.site.runs()
        for seen in self.seen:
            count = len(runs.get(seen.request_id, ()))
            if seen.once and count > 1:
                self._found("run twice", seen, count)
            if seen.once and count and seen.status in PROMISES:
                self._found("called not run, but run", seen, seen.status)
            if seen.status == 200 and not seen.whole:
                self._found("a success that is not the server's", seen, seen.status)
            if seen.status == 404 and self._should_be_known(seen):
                self._found("a route that is in force is not known", seen, seen.path)
        known = {seen.request_id for seen in self.seen}
        for request_id, rows in runs.items():
            if request_id not in known:
                self.findings.append(f"a run that nobody asked for: {request_id}")
            self._judge_drain(request_id, rows)
        self.findings.extend(self._notices.judge(self.seen))
        answered = sum(seen.status == 200 for seen in self.seen)
        if answered * 2 < len(self.seen):
            self.findings.append(f"only {answered} of {len(self.seen)} requests were answered")

    def _should_be_known(self, seen: Seen) -> bool:
        for acknowledged, path, quiet in self._added:
            if seen.path.startswith(path):
                return quiet and seen.sent > acknowledged + IN_FORCE_S
        return seen.path.startswith("/base/")

    def _judge_drain(self, request_id: str, rows: list[dict[str, Any]]) -> None:
        for left, target in self._drained:
            for row in rows:
                late = row["target"] == target and row["at"] > left + DRAIN_S
                if late and self._disturbed < left:
                    self.findings.append(f"begun at a server that left: {request_id} {target}")

    def _found(self, what: str, seen: Seen, detail: object) -> None:
        self.findings.append(
            f"{what}: {seen.request_id} at {seen.gateway} {seen.sent:.3f}: {detail}"
        )


def main(argv: list[str] | None = None) -> int:
    """Run some seeds; return 1 if any found something."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--gateways", type=int, default=4)
    arguments = parser.parse_args(argv)
    bad = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        folder = Path(tempfile.mkdtemp(prefix=f"faultsoak-{seed}-"))
        soak = FaultSoak(seed, arguments.seconds, arguments.gateways, folder)
        asyncio.run(soak.run())
        answered = sum(seen.status == 200 for seen in soak.seen)
        print(
            f"seed {seed}: {len(soak.seen)} requests, {answered} answered, "
            f"{len(soak.faults)} faults, {len(soak.findings)} findings",
            flush=True,
        )
        if soak.findings:
            bad += 1
            print("\n".join([*soak.findings[:20], f"logs in {folder}"]), flush=True)
        else:
            shutil.rmtree(folder)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
