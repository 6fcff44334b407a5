"""The deployment of the fault soak: processes, proxies, callers, and what they saw."""

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

__all__ = ["Caller", "Seen", "Site", "call_store"]

HOST = "127.0.0.1"
ZONES = {"a-1": "a", "a-2": "a", "b-1": "b"}
SERVICES = ("s0", "s1")
ATTEMPT_S = 3.0
STORE_CALL_S = 2.0
ONCE, REPEAT = "once", "again"
RUN, ARRIVAL, REST = "run", "arrival", "rest"
"""What a line of a target's ledger tells."""
PROMISES = frozenset({408, 421, 429, 503})


@dataclass
class Seen:
    """What one caller saw of one request; times are unix seconds."""

    request_id: str
    path: str
    once: bool
    gateway: str
    sent: float
    ended: float = 0.0
    status: int = 0
    whole: bool = False
    cut: bool = False


@dataclass
class Site:
    """Where everything is, and the files of the processes."""

    folder: Path
    store_port: int = 0
    gateways: dict[str, dict[str, Any]] = field(default_factory=dict)
    targets_by_process: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    proxies: dict[str, LoopProxy] = field(default_factory=dict)

    def plan(self, gateways: int, processes: int) -> None:
        """Choose all ports."""
        self.store_port = free_port(HOST)
        zones = sorted(ZONES)
        for number in range(gateways):
            name = f"g{number}"
            self.gateways[name] = {
                "zone": zones[number % len(zones)],
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
        """Write a gateway's settings file; return its path."""
        plan = self.gateways[name]
        settings = {
            "entry_id": name,
            "host": HOST,
            "zone": plan["zone"],
            "zone_regions": ZONES,
            "caller_address": f"{HOST}:{plan['caller']}",
            "ready_address": f"{HOST}:{plan['ready']}",
            "lookup_address": f"{HOST}:{plan['lookup']}",
            "peer_address": f"{HOST}:{plan['peer']}",
            "news_ports": f"{plan['news']},{plan['news']}",
            "seeds": ",".join(f"{HOST}:{g['peer']}" for g in list(self.gateways.values())[:3]),
            "store": {"address": f"{HOST}:{plan['store']}"},
            "bounds": {"grace_s": 6.0},
        }
        return self._write(f"{name}.json", settings)

    def write_targets(self, process: str) -> str:
        """Write the settings file of a process of targets; return its path."""
        settings = {
            "ledger": str(self.folder / f"{process}.runs"),
            "store": f"{HOST}:{self.store_port}",
            "targets": self.targets_by_process[process],
        }
        return self._write(f"{process}.json", settings)

    def runs(self) -> dict[str, list[dict[str, Any]]]:
        """Return the runs by request id, from the ledgers of all processes of targets."""
        by_id: dict[str, list[dict[str, Any]]] = defaultdict(list)
        for row in self._rows(RUN):
            by_id[row["id"]].append(row)
        return by_id

    def arrivals(self, target_id: str) -> list[dict[str, Any]]:
        """Return the requests that reached a target, those included that it turned away."""
        return self._of_target(ARRIVAL, target_id)

    def rests(self, target_id: str) -> list[dict[str, Any]]:
        """Return the requests that a target turned away and answered with a rest."""
        return self._of_target(REST, target_id)

    def _of_target(self, what: str, target_id: str) -> list[dict[str, Any]]:
        rows = [row for row in self._rows(what) if row["target"] == target_id]
        return sorted(rows, key=itemgetter("at"))

    def _rows(self, what: str) -> Iterator[dict[str, Any]]:
        for path in self.folder.glob("*.runs"):
            for line in path.read_text().splitlines():
                row = json.loads(line)
                if row.get("what", RUN) == what:
                    yield row

    def _proxy(self, name: str, port: int) -> int:
        own = free_port(HOST)
        self.proxies[name] = LoopProxy(HOST, own, HOST, port)
        return own

    def _write(self, name: str, document: object) -> str:
        path = self.folder / name
        path.write_text(json.dumps(document))
        return str(path)


async def call_store(
    port: int, method: str, path: str, body: object | None = None
) -> tuple[int, Any]:
    """Make one call to the stand-in of the store, past all proxies.

    Raises
    ------
    TimeoutError
        It did not answer; a silent outage of it is one of the faults.
    """
    data = b"" if body is None else json.dumps(body).encode()
    head = f"{method} {path} HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
        async with asyncio.timeout(STORE_CALL_S):
            answer = await reader.read()
    finally:
        writer.close()
    top, _, text = answer.partition(b"\r\n\r\n")
    return int(top.split()[1]), json.loads(text) if text else None


class Caller:
    """Asks gateways where to go, keeps its connection for several requests, and notes all."""

    def __init__(self, number: int, site: Site, rng: Any, seen: list[Seen]) -> None:
        self._number = number
        self._site = site
        self._rng = rng
        self._seen = seen
        self._count = 0
        self.paths = ["/base/"]
        self._kept: tuple[str, asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, until: float) -> None:
        """Send requests until a time."""
        while time.time() < until:
            await self._one()
            await asyncio.sleep(self._rng.uniform(0.0, 0.06))
        if self._kept is not None:
            self._kept[2].close()

    async def _one(self) -> None:
        self._count += 1
        once = self._rng.random() < 0.4
        kind = ONCE if once else REPEAT
        path = f"{self._rng.choice(self.paths)}{kind}/"
        request_id = f"{kind}-{self._number}-{self._count}"
        try:
            async with asyncio.timeout(ATTEMPT_S):
                name, reader, writer = self._kept or await self._connect()
        except (OSError, TimeoutError, EOFError, ValueError, IndexError):
            # No gateway could be reached; that is a fault of the trial and not judged.
            await asyncio.sleep(0.1)
            return
        self._kept = None
        seen = Seen(request_id, path, once, name, time.time())
        self._seen.append(seen)
        method = "POST" if once else "GET"
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: quay.example\r\nX-Request-Id: {request_id}\r\n"
            f"X-Affinity-Key: {self._count % 17}\r\nX-Deadline-Ms: 2000\r\n"
            f"Content-Length: 0\r\n\r\n".encode()
        )
        try:
            async with asyncio.timeout(ATTEMPT_S):
                keep = await self._read(seen, reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            seen.cut, keep = True, False
        seen.ended = time.time()
        if keep and self._rng.random() < 0.8:
            self._kept = (name, reader, writer)
        else:
            writer.close()

    async def _read(self, seen: Seen, reader: asyncio.StreamReader) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        body = await reader.readexactly(int(headers["content-length"]))
        seen.status = int(lines[0].split()[1])
        expected = f"body of {seen.request_id} by ".encode()
        signed = headers.get("x-response-signature") == f"s-{seen.request_id}"
        seen.whole = signed and body.startswith(expected)
        return headers.get("connection") != "close"

    async def _connect(self) -> tuple[str, asyncio.StreamReader, asyncio.StreamWriter]:
        asked = self._rng.choice(list(self._site.gateways.values()))
        reader, writer = await asyncio.open_connection(HOST, asked["lookup"])
        writer.write(
            b"GET /resolve?name=quay.example&region=a&zone=a-1 HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(head.split("content-length: ")[1].split("\r\n")[0])
        found = json.loads(await reader.readexactly(length))["addresses"]
        writer.close()
        address = self._rng.choice(found)
        port = int(address.rpartition(":")[2])
        name = next(n for n, g in self._site.gateways.items() if g["caller"] == port)
        reader, writer = await asyncio.open_connection(HOST, port)
        return name, reader, writer
