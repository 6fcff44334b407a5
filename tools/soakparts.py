"""The deployment of the fault soak: processes, proxies, callers and the results of their calls."""

import asyncio
import json
import time
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from operator import itemgetter
from pathlib import Path
from typing import Any

from standins.loopproxy import LoopProxy
from standins.ports import free_port

__all__ = ["Caller", "CallResult", "SoakDeployment", "call_store", "item_id_of"]

HOST = "127.0.0.1"
REGION_BY_ZONE = {"a-1": "a", "a-2": "a", "b-1": "b"}
SERVICES = ("s0", "s1")
FIRST_HOST = 10
"""Last byte of the first gateway's IP address: faults may depend on which gateway connects."""
MAX_ATTEMPT_S = 3.0
TIMEOUT_S = 2.0
"""Time that a caller waits for its answer."""
MAX_STORE_CALL_S = 2.0
ONCE, REPEAT = "once", "again"
RUN, ARRIVAL, BACKOFF, CRASH = "run", "arrival", "rest", "crash"
"""Kinds of the lines in a target's ledger."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses with which a gateway guarantees that a once-only request was not run."""


@dataclass
class CallResult:
    """The result of one request as its caller observed it; times are Unix times in seconds.

    Attributes
    ----------
    timeout_s : float
        Seconds that its caller waits.
    """

    request_id: str
    path: str
    once: bool
    gateway: str
    sent: float
    ended: float = 0.0
    status: int = 0
    complete: bool = False
    truncated: bool = False
    timeout_s: float = TIMEOUT_S


@dataclass
class SoakDeployment:
    """The addresses of all processes and proxies, and the files of the processes."""

    folder: Path
    store_port: int = 0
    gateways: dict[str, dict[str, Any]] = field(default_factory=dict)
    targets_by_process: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    proxies: dict[str, LoopProxy] = field(default_factory=dict)

    def allocate_ports(self, gateways: int, processes: int) -> None:
        """Choose the ports of all processes and proxies."""
        self.store_port = free_port(HOST)
        zones = sorted(REGION_BY_ZONE)
        for number in range(gateways):
            name = f"g{number}"
            self.gateways[name] = {
                "zone": zones[number % len(zones)],
                "host": f"127.0.0.{FIRST_HOST + number}",
                "store": self._proxy(f"store-{name}", self.store_port),
                **{part: free_port(HOST) for part in ("caller", "ready", "lookup", "peer", "news")},
            }
        for process in range(processes):
            items = []
            for number, service in enumerate(SERVICES * 2):
                target_id, port = f"t{process}-{number}", free_port(HOST)
                advertised = f"{HOST}:{self._proxy(target_id, port)}"
                zone = zones[(process + number) % len(zones)]
                items.append(
                    {
                        "id": target_id,
                        "service": service,
                        "zone": zone,
                        "host": HOST,
                        "port": port,
                        "advertised": advertised,
                        "draining": False,
                    }
                )
            self.targets_by_process[f"targets{process}"] = items

    def write_gateway(self, name: str) -> str:
        """Write the settings file of a gateway; return its path."""
        ports = self.gateways[name]
        host = ports["host"]
        settings = {
            "entry_id": name,
            "host": host,
            "zone": ports["zone"],
            "zone_regions": REGION_BY_ZONE,
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

    def write_targets(self, process: str) -> str:
        """Write the settings file of a process that serves targets; return its path."""
        settings = {
            "ledger": str(self.folder / f"{process}.runs"),
            "store": f"{HOST}:{self.store_port}",
            "targets": self.targets_by_process[process],
        }
        return self._write(f"{process}.json", settings)

    def process_of(self, item_id: str) -> str:
        """Return the process that serves a target."""
        return next(
            process
            for process, items in self.targets_by_process.items()
            if any(item["id"] == item_id for item in items)
        )

    def runs(self) -> dict[str, list[dict[str, Any]]]:
        """Return the runs in the ledgers of all target processes, by request id."""
        by_id: dict[str, list[dict[str, Any]]] = defaultdict(list)
        for row in self.rows(RUN):
            by_id[row["id"]].append(row)
        return by_id

    def arrivals(self, target_id: str) -> list[dict[str, Any]]:
        """Return the requests that reached a target, including those that it rejected."""
        return self._rows_of_target(ARRIVAL, target_id)

    def arrivals_of_service(self, service: str) -> list[dict[str, Any]]:
        """Return the requests that reached any target of a service, in order of time."""
        targets = {
            item["id"]
            for items in self.targets_by_process.values()
            for item in items
            if item["service"] == service
        }
        rows = [row for row in self.rows(ARRIVAL) if item_id_of(row["target"]) in targets]
        return sorted(rows, key=itemgetter("at"))

    def backoffs(self, target_id: str) -> list[dict[str, Any]]:
        """Return the requests that a target rejected with a request to back off."""
        return self._rows_of_target(BACKOFF, target_id)

    def _rows_of_target(self, kind: str, target_id: str) -> list[dict[str, Any]]:
        rows = [row for row in self.rows(kind) if row["target"] == target_id]
        return sorted(rows, key=itemgetter("at"))

    def rows(self, kind: str) -> Iterator[dict[str, Any]]:
        """Return the lines of one kind in the ledgers of all target processes."""
        for path in self.folder.glob("*.runs"):
            for line in path.read_text().splitlines():
                row = json.loads(line)
                if row.get("what", RUN) == kind:
                    yield row

    def _proxy(self, name: str, port: int) -> int:
        proxy_port = free_port(HOST)
        self.proxies[name] = LoopProxy(HOST, proxy_port, HOST, port)
        return proxy_port

    def _write(self, name: str, document: object) -> str:
        path = self.folder / name
        path.write_text(json.dumps(document))
        return str(path)


def item_id_of(target_id: str) -> str:
    """Return the id of a target in the settings; each start after a crash adds a number to it."""
    return target_id.partition(".")[0]


async def call_store(
    port: int, method: str, path: str, body: object | None = None
) -> tuple[int, Any]:
    """Make one call to the simulated store, bypassing all proxies.

    Raises
    ------
    TimeoutError
        The store did not respond; a silent outage is one of the injected faults.
    """
    data = b"" if body is None else json.dumps(body).encode()
    head = f"{method} {path} HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
        async with asyncio.timeout(MAX_STORE_CALL_S):
            response = await reader.read()
    finally:
        writer.close()
    response_head, _, text = response.partition(b"\r\n\r\n")
    return int(response_head.split()[1]), json.loads(text) if text else None


class Caller:
    """Looks up a gateway, sends several requests over one connection and records the results.

    Parameters
    ----------
    once_share : float
        Share of the requests that must not be repeated.
    """

    def __init__(
        self,
        number: int,
        deployment: SoakDeployment,
        rng: Any,
        results: list[CallResult],
        once_share: float,
    ) -> None:
        self._number = number
        self._deployment = deployment
        self._rng = rng
        self._results = results
        self._once_share = once_share
        self._count = 0
        self.paths = ["/base/"]
        self._idle_connection: tuple[str, asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, until: float) -> None:
        """Send requests until the given time."""
        while time.time() < until:
            await self._send_request()
            await asyncio.sleep(self._rng.uniform(0.0, 0.06))
        if self._idle_connection is not None:
            self._idle_connection[2].close()

    async def _send_request(self) -> None:
        self._count += 1
        once = self._rng.random() < self._once_share
        kind = ONCE if once else REPEAT
        path = f"{self._rng.choice(self.paths)}{kind}/"
        request_id = f"{kind}-{self._number}-{self._count}"
        try:
            async with asyncio.timeout(MAX_ATTEMPT_S):
                name, reader, writer = self._idle_connection or await self.connect()
        except (OSError, TimeoutError, EOFError, ValueError, IndexError):
            # No gateway was reachable because of an injected fault; this is not a finding.
            await asyncio.sleep(0.1)
            return
        self._idle_connection = None
        result = CallResult(request_id, path, once, name, time.time())
        self._results.append(result)
        method = "POST" if once else "GET"
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: quay.example\r\nX-Request-Id: {request_id}\r\n"
            f"X-Affinity-Key: {self._count % 17}\r\nX-Deadline-Ms: {TIMEOUT_S * 1000:.0f}\r\n"
            f"Content-Length: 0\r\n\r\n".encode()
        )
        try:
            async with asyncio.timeout(MAX_ATTEMPT_S):
                keep_alive = await self._read(result, reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            result.truncated, keep_alive = True, False
        result.ended = time.time()
        if keep_alive and self._rng.random() < 0.8:
            self._idle_connection = (name, reader, writer)
        else:
            writer.close()

    async def _read(self, result: CallResult, reader: asyncio.StreamReader) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        body = await reader.readexactly(int(headers["content-length"]))
        result.status = int(lines[0].split()[1])
        expected = f"body of {result.request_id} by ".encode()
        has_signature = headers.get("x-response-signature") == f"s-{result.request_id}"
        result.complete = has_signature and body.startswith(expected)
        return headers.get("connection") != "close"

    async def connect(self) -> tuple[str, asyncio.StreamReader, asyncio.StreamWriter]:
        """Look up a gateway and connect to it; return its name, too."""
        gateway = self._rng.choice(list(self._deployment.gateways.values()))
        reader, writer = await asyncio.open_connection(gateway["host"], gateway["lookup"])
        writer.write(
            b"GET /resolve?name=quay.example&region=a&zone=a-1 HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(head.split("content-length: ")[1].split("\r\n")[0])
        addresses = json.loads(await reader.readexactly(length))["addresses"]
        writer.close()
        address = self._rng.choice(addresses)
        port = int(address.rpartition(":")[2])
        name = next(n for n, g in self._deployment.gateways.items() if g["caller"] == port)
        host = self._deployment.gateways[name]["host"]
        reader, writer = await asyncio.open_connection(host, port)
        return name, reader, writer
