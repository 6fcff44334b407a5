"""Fault soak of fleets in the shape of deployments: their services, kinds of requests and zones.

``python tools/soakshapes.py --shape uploads --seed n --habits '{"extra_share": 0.2}'`` plays one.
"""

import argparse
import asyncio
import json
import random
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
if __name__ == "__main__":
    sys.path.insert(0, str(ROOT))

from standins.loopproxy import Fault  # noqa: E402
from standins.ports import free_port  # noqa: E402
from standins.rawtarget import Switches  # noqa: E402
from tools.faultsoak import FaultSoak  # noqa: E402
from tools.soakparts import (  # noqa: E402
    FIRST_HOST,
    HOST,
    MAX_ATTEMPT_S,
    NOT_RUN_STATUSES,
    Caller,
    CallResult,
    SoakDeployment,
    call_store,
)

__all__ = ["SHAPES", "Shape", "ShapedSoak", "main"]

BETWEEN_REGIONS_S = 0.035
TARGET_PROCESSES = 4
ROUTE_ATTEMPTS = 2
HALVED_BODY_SHARE = 0.2
"""Share of the bodies that are sent in two parts."""
BODY_PAUSE_S = 0.15
DEFAULT_HABITS = Switches()


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request; times in seconds.

    Attributes
    ----------
    services : tuple of str
        Services to which its route points in turn.
    share : float
        Its share of the requests.
    is_fresh : bool
        Whether its callers open a connection for each request.
    route_s : float
        Time limit of its route.
    caller_s : float
        Time that its callers wait.
    """

    name: str
    method: str
    kind: str
    services: tuple[str, ...]
    share: float
    body_bytes: tuple[int, int] = (0, 0)
    is_fresh: bool = False
    route_s: float = 1.5
    caller_s: float = 2.0

    @property
    def once(self) -> bool:
        """Whether such a request may run once at most."""
        return self.kind in ("non_idempotent", "upload")


@dataclass(frozen=True, slots=True)
class Shape:
    """The shape of a fleet.

    Attributes
    ----------
    servers_by_service : mapping
        Number of servers.
    zones : mapping
        Region of each zone.
    """

    gateways: int
    servers_by_service: Mapping[str, int]
    kinds: tuple[RequestKind, ...]
    zones: Mapping[str, str]
    slots: int = 3


SIX_ZONES = {"a-1": "a", "b-1": "b", "c-1": "c", "a-2": "a", "b-2": "b", "c-2": "c"}
SHAPES = {
    "uploads": Shape(
        gateways=11,
        servers_by_service={"board": 5, "ledger": 4, "intake": 4},
        kinds=(
            RequestKind("lookup", "GET", "idempotent", ("board",), 0.4),
            RequestKind(
                "booking", "POST", "non_idempotent", ("ledger",), 0.3, (500, 24_000), is_fresh=True
            ),
            RequestKind("upload", "POST", "upload", ("intake", "board"), 0.15, (60_000, 360_000)),
            RequestKind(
                "pass", "DELETE", "non_idempotent", ("intake", "board", "ledger"), 0.15, route_s=1.0
            ),
        ),
        zones=SIX_ZONES,
    ),
    "downloads": Shape(
        gateways=10,
        servers_by_service={"info": 4, "booking": 4, "files": 3, "fares": 3},
        kinds=(
            RequestKind("timetable", "GET", "idempotent", ("info",), 0.4),
            RequestKind("booking", "POST", "non_idempotent", ("booking",), 0.3, (100, 1_800)),
            RequestKind("chart", "GET", "download", ("files", "info", "booking"), 0.1),
            RequestKind("fare", "GET", "idempotent", ("fares", "info"), 0.2, caller_s=0.8),
        ),
        zones=SIX_ZONES,
    ),
    "orders": Shape(
        gateways=10,
        servers_by_service={"catalogue": 4, "orders": 4, "plans": 3, "stock": 3},
        kinds=(
            RequestKind("catalogue", "GET", "idempotent", ("catalogue",), 0.5),
            RequestKind(
                "order", "POST", "non_idempotent", ("orders",), 0.25, (100, 1_800), caller_s=2.5
            ),
            RequestKind("plan", "GET", "download", ("plans", "catalogue", "orders"), 0.1),
            RequestKind("stock", "GET", "idempotent", ("stock", "catalogue"), 0.15),
        ),
        zones=SIX_ZONES,
    ),
}


@dataclass
class ShapedDeployment(SoakDeployment):
    """A fleet of one shape, with delays between its regions."""

    shape: Shape = field(default_factory=lambda: SHAPES["uploads"])

    def allocate_ports(self, gateways: int, processes: int) -> None:
        """Choose the ports of all processes and proxies."""
        self.store_port = free_port(HOST)
        zones = list(self.shape.zones)
        for number in range(gateways):
            name = f"g{number}"
            self.gateways[name] = {
                "zone": zones[number % len(zones)],
                "host": f"127.0.0.{FIRST_HOST + number}",
                "store": self._proxy(f"store-{name}", self.store_port),
                **{part: free_port(HOST) for part in ("caller", "ready", "lookup", "peer", "news")},
            }
        self.targets_by_process.update({f"targets{number}": [] for number in range(processes)})
        count = 0
        for service, servers in self.shape.servers_by_service.items():
            for _ in range(servers):
                process = f"targets{count % processes}"
                zone = zones[count % len(zones)]
                self.targets_by_process[process].append(self._make_target(count, service, zone))
                count += 1

    def write_gateway(self, name: str) -> str:
        """Write the settings file of a gateway; return its path."""
        ports = self.gateways[name]
        host = ports["host"]
        settings = {
            "entry_id": name,
            "host": host,
            "zone": ports["zone"],
            "zone_regions": dict(self.shape.zones),
            "caller_address": f"{host}:{ports['caller']}",
            "ready_address": f"{host}:{ports['ready']}",
            "lookup_address": f"{host}:{ports['lookup']}",
            "peer_address": f"{host}:{ports['peer']}",
            "news_ports": f"{ports['news']},{ports['news']}",
            "seeds": ",".join(f"{g['host']}:{g['peer']}" for g in list(self.gateways.values())[:3]),
            "store": {"address": f"{HOST}:{ports['store']}"},
            "bounds": {"grace_s": 6.0},
        }
        return self._write(f"{name}.json", settings)

    def restore_delays(self) -> None:
        """Delay what gateways exchange with the servers of other regions."""
        for items in self.targets_by_process.values():
            for item in items:
                for gateway in self.gateways.values():
                    if self._are_apart(gateway["zone"], item["zone"]):
                        faults = self.proxies[item["id"]].fault_by_source
                        faults.setdefault(gateway["host"], Fault(delay=BETWEEN_REGIONS_S))

    def _are_apart(self, zone: str, other: str) -> bool:
        return self.shape.zones[zone] != self.shape.zones[other]

    def _make_target(self, number: int, service: str, zone: str) -> dict[str, Any]:
        target_id, port = f"t{number}", free_port(HOST)
        return {
            "id": target_id,
            "service": service,
            "zone": zone,
            "host": HOST,
            "port": port,
            "advertised": f"{HOST}:{self._proxy(target_id, port)}",
            "draining": False,
            "slots": self.shape.slots,
            "life": 0,
            "switches": asdict(Switches()),
        }


class ShapedCaller(Caller):
    """A caller that sends the kinds of requests of a shape."""

    shape = SHAPES["uploads"]

    async def _send_request(self) -> None:
        kinds = self.shape.kinds
        kind = self._rng.choices(kinds, [kind.share for kind in kinds])[0]
        if kind.is_fresh and self._idle_connection is not None:
            self._idle_connection[2].close()
            self._idle_connection = None
        try:
            async with asyncio.timeout(MAX_ATTEMPT_S):
                name, reader, writer = self._idle_connection or await self.connect()
        except (OSError, TimeoutError, EOFError, ValueError, IndexError):
            # No gateway was reachable because of an injected fault; this is not a finding.
            await asyncio.sleep(0.1)
            return
        self._idle_connection = None
        self._count += 1
        request_id = f"{kind.name}-{self._number}-{self._count}"
        path = f"/base/{kind.name}/"
        result = CallResult(request_id, path, kind.once, name, time.time(), timeout_s=kind.caller_s)
        self._results.append(result)
        try:
            async with asyncio.timeout(kind.caller_s + 1.0):
                await self._write(kind, result, writer)
                keep_alive = await self._read(result, reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            result.truncated, keep_alive = True, False
        result.ended = time.time()
        if keep_alive and not kind.is_fresh:
            self._idle_connection = (name, reader, writer)
        else:
            writer.close()

    async def _write(
        self, kind: RequestKind, result: CallResult, writer: asyncio.StreamWriter
    ) -> None:
        body = b"." * self._rng.randint(*kind.body_bytes)
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        writer.write(
            f"{kind.method} {result.path} HTTP/1.1\r\nHost: quay.example\r\n"
            f"X-Request-Id: {result.request_id}\r\nX-Affinity-Key: {self._count % 17}\r\n"
            f"X-Deadline-Ms: {kind.caller_s * 1000:.0f}\r\n{length}\r\n".encode()
        )
        half = len(body) // 2 if self._rng.random() < HALVED_BODY_SHARE else len(body)
        writer.write(body[:half])
        if half < len(body):
            await asyncio.sleep(self._rng.uniform(0.0, BODY_PAUSE_S))
            writer.write(body[half:])
        await writer.drain()


class ShapedSoak(FaultSoak):
    """A run of a fleet in the shape of a deployment, whose servers use all that HTTP allows.

    Attributes
    ----------
    habits : Switches
        What all servers do all the time.
    """

    route_attempts = ROUTE_ATTEMPTS
    target_module = "standins.rawtarget"

    def __init__(
        self,
        shape: str,
        seed: int,
        seconds: float,
        folder: Path,
        callers: int,
        habits: Switches = DEFAULT_HABITS,
        code: Path | None = None,
    ) -> None:
        self.shape = SHAPES[shape]
        super().__init__(
            seed, seconds, self.shape.gateways, folder, callers, TARGET_PROCESSES, code
        )
        self.habits = habits
        self._turn = 0
        self._set_switches({})

    def make_deployment(self, folder: Path) -> SoakDeployment:
        """Return a fleet of the shape."""
        return ShapedDeployment(folder, shape=self.shape)

    def make_caller(self, number: int) -> Caller:
        """Return a caller that sends the kinds of requests of the shape."""
        rng = random.Random(self._rng.random())
        caller = ShapedCaller(number, self.deployment, rng, self.results, 0.0)
        caller.shape = self.shape
        return caller

    async def _inject_faults(self, until: float) -> None:
        """Start overlapping faults until the given time, then wait until all have ended."""
        kinds = [
            self._misbehave,
            self._misbehave,
            self._misbehave,
            self._reuse_address,
            self._move_routes,
            self._kill_gateway,
            self._stop_gateway,
            self._pause_gateway,
            self._reload_gateway,
            self._pause_targets,
            self._inject_target_path_fault,
            self._inject_store_outage,
            self._reset_connections,
            self._drain_target,
            self._cut_gateways,
        ]
        tasks = [asyncio.ensure_future(self._keep_delays(until))]
        while time.time() < until:
            kind = self._rng.choice(kinds)
            self.faults.append(f"{time.time():.3f} {kind.__name__}")
            tasks.append(asyncio.ensure_future(kind()))
            await asyncio.sleep(self._rng.uniform(0.1, 1.0))
        await asyncio.gather(*tasks)

    async def _keep_delays(self, until: float) -> None:
        assert isinstance(self.deployment, ShapedDeployment)
        while time.time() < until:
            self.deployment.restore_delays()
            await asyncio.sleep(0.5)

    async def _misbehave(self) -> None:
        """Let the servers of one process misbehave in several ways for some time."""
        process = self._rng.choice(list(self.deployment.targets_by_process))
        started_at = time.time()
        share = self._rng.uniform(0.02, 0.3)
        ways = (
            {"extra_share": share, "reject_share": share},
            {"reject_share": 0.45},
            {"cut_share": share / 2},
            {"lost_share": share / 2},
            {"early_share": 0.5},
            {"own_share": share / 2},
            {"max_connections": 2},
            {"work_s": 1.2},
            {"work_s": 0.6, "extra_share": share},
            {"cut_share": share / 2, "extra_share": share / 2},
        )
        self._set_switches({process: self._rng.choice(ways)})
        await asyncio.sleep(self._rng.uniform(1.0, 4.0))
        self._set_switches({process: {}})
        self.retries.record_failing(started_at)

    def _set_switches(self, changes_by_process: Mapping[str, Mapping[str, Any]]) -> None:
        for process, items in self.deployment.targets_by_process.items():
            changes = changes_by_process.get(process)
            if changes is None and changes_by_process:
                continue
            for item in items:
                item["switches"] = asdict(replace(self.habits, **(changes or {})))
            self._reload_targets(process)

    def _reload_targets(self, process: str) -> None:
        self.deployment.write_targets(process)
        if self._launcher.has_started(process):
            self._launcher.signal(process, signal.SIGHUP)

    async def _reuse_address(self) -> None:
        """End one server; a server of another service takes over its address."""
        process = self._rng.choice(list(self.deployment.targets_by_process))
        item = self._rng.choice(self.deployment.targets_by_process[process])
        services = [name for name in self.shape.servers_by_service if name != item["service"]]
        item["service"] = self._rng.choice(services)
        item["life"] += 1
        self._reload_targets(process)
        self._notices.record_fault(item["id"])

    async def _move_routes(self) -> None:
        """Let each route that has several services point to the next one."""
        self._turn += 1
        self._version += 1
        await self._repeat_until_answered(self._write_policy)

    async def _reset_connections(self) -> None:
        names = [name for name in self.deployment.proxies if not name.startswith("store-")]
        for name in self._rng.sample(names, len(names) // 3):
            self.deployment.proxies[name].reset()
            self._notices.record_fault(name)

    async def _pause_targets(self) -> None:
        process = self._rng.choice(list(self.deployment.targets_by_process))
        self._launcher.signal(process, signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 2.5))
        self._launcher.signal(process, signal.SIGCONT)
        self._notices.record_fault(process)

    async def _write_policy(self) -> None:
        resources: list[dict[str, Any]] = [
            {"entryKind": "services", "metadata": {"name": name}, "spec": {"maxConns": 200}}
            for name in self.shape.servers_by_service
        ]
        for kind in self.shape.kinds:
            spec = {
                "host": "quay.example",
                "pathPrefix": f"/base/{kind.name}/",
                "kind": kind.kind,
                "timeoutMs": int(kind.route_s * 1000),
                "latencyGoalMs": 400,
                "priority": 1,
                "service": kind.services[self._turn % len(kind.services)],
                "attempts": self.route_attempts,
                "sticky": True,
            }
            resources.append({"entryKind": "routes", "metadata": {"name": kind.name}, "spec": spec})
        spec = {"version": self._version, "resourceList": resources}
        body = {"metadata": {"name": "main"}, "spec": spec}
        port = self.deployment.store_port
        status, _ = await call_store(port, "PUT", "/objects/config/main", body)
        if status == 404:
            status, _ = await call_store(port, "POST", "/objects/config", body)
        if status >= 300:
            raise ValueError(f"status {status}")

    def check_results(self) -> None:
        """Check what callers were told of their requests, not how many were served."""
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
        self._check_services(runs)
        self.findings.extend(self._unhandled_errors())

    def _check_services(self, runs: Mapping[str, list[dict[str, Any]]]) -> None:
        services_by_name = {kind.name: kind.services for kind in self.shape.kinds}
        known = {result.request_id for result in self.results}
        for request_id, rows in runs.items():
            if request_id not in known:
                self.findings.append(f"a run without a request of a caller: {request_id}")
            services = services_by_name[request_id.partition("-")[0]]
            if any(row["service"] not in services for row in rows):
                self.findings.append(f"run by another service: {request_id} {rows}")

    def summary(self) -> str:
        """Return what callers of requests that may run once were told."""
        once = [result for result in self.results if result.once]
        statuses = Counter(result.status for result in once)
        return f"{len(self.results)} requests, {len(once)} once-only: " + ", ".join(
            f"{status} {count}" for status, count in sorted(statuses.items())
        )


def main(argv: list[str] | None = None) -> int:
    """Play the given seeds; return 1 if any run has findings."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--shape", choices=sorted(SHAPES), default="uploads")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--callers", type=int, default=40)
    parser.add_argument("--habits", type=json.loads, default={}, help="fields of Switches, as JSON")
    parser.add_argument("--code", type=Path, help="checkout whose gateways run")
    arguments = parser.parse_args(argv)
    habits = Switches(**arguments.habits)
    failed_runs = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{arguments.shape}-{seed}-"))
        soak = ShapedSoak(
            arguments.shape,
            seed,
            arguments.seconds,
            folder,
            arguments.callers,
            habits,
            arguments.code,
        )
        asyncio.run(soak.run())
        print(f"seed {seed}: {soak.summary()}, {len(soak.findings)} findings", flush=True)
        if soak.findings:
            failed_runs += 1
            print("\n".join([*soak.findings[:20], f"logs in {folder}"]), flush=True)
        else:
            shutil.rmtree(folder)
    return 1 if failed_runs else 0


if __name__ == "__main__":
    sys.exit(main())
