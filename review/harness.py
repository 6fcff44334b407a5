"""Parts shared by the review's scripts: processes, settings, store calls, servers and clients.

Only the standard library is used. The gateway and the store run as separate processes with the
commands of the deploy file; backend servers and clients are small asyncio stand-ins.
"""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

__all__ = [
    "HOST",
    "ROOT",
    "Answer",
    "BackendServer",
    "CannotRunError",
    "Deployment",
    "GatewayPorts",
    "KeptChannel",
    "exchange",
    "main",
    "read_answer",
    "store_call",
]

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
START_TIMEOUT_S = 45.0
HEARTBEAT_S = 1.5
MAX_RUN_S = 115.0
REPLACED = re.compile(r"{{([A-Za-z_.]+)(\|json)?}}")
SECTION = re.compile(r"{{#([A-Za-z_.]+)}}.*?{{/\1}}", re.DOTALL)
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be set up."""


@dataclass
class GatewayPorts:
    """Name, host and ports of one gateway."""

    name: str
    host: str
    zone: str
    caller: int
    ready: int
    lookup: int
    peer: int
    news: int
    store: int


@dataclass
class Answer:
    """What a client saw of one request; times are seconds of the monotonic clock."""

    request_id: str
    sent_at: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    length: int = 0
    received: int = 0
    ended_at: float = 0.0
    error: str = ""

    @property
    def is_complete(self) -> bool:
        """Whether a head and the whole body arrived."""
        return self.status > 0 and self.received == self.length and not self.error


class Deployment:
    """Processes of the project on loopback addresses, and the record of the run."""

    def __init__(self, folder: Path, record: TextIO, zones: dict[str, str]) -> None:
        self._folder = folder
        self._record = record
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._used_ports: set[int] = set()
        self._started_at = time.monotonic()
        self.zones = zones
        self.store_port = self.free_port()
        self.gateways: list[GatewayPorts] = []

    def note(self, text: str) -> None:
        """Write a line with the time since the start to the record."""
        self._record.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
        self._record.flush()

    def free_port(self, host: str = HOST) -> int:
        """Return a TCP port that nothing listens on."""
        while True:
            with socket.socket() as probe:
                probe.bind((host, 0))
                port = int(probe.getsockname()[1])
            if port not in self._used_ports:
                self._used_ports.add(port)
                return port

    def add_gateway(self, zone: str, store_port: int | None = None) -> GatewayPorts:
        """Choose the address and ports of one more gateway."""
        number = len(self.gateways)
        host = f"127.0.0.{10 + number}"
        ports = [self.free_port(host) for _ in range(5)]
        gateway = GatewayPorts(f"g{number}", host, zone, *ports, store_port or self.store_port)
        self.gateways.append(gateway)
        return gateway

    def start_store(self) -> None:
        """Start the project's stand-in for the platform's store."""
        arguments = ["-m", "standins.objectapi", "--host", HOST, "--port", str(self.store_port)]
        self._start("store", arguments, {})

    def start_gateway(self, gateway: GatewayPorts, bounds: dict[str, Any] | None = None) -> None:
        """Start a gateway with the deploy file's command and its template of settings."""
        path = self._folder / f"{gateway.name}.json"
        path.write_text(self._settings(gateway, bounds or {}))
        arguments = ["-S", "-m", "briarspur.platform"]
        self._start(gateway.name, arguments, {"BRIARSPUR_BOOT": str(path)})

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that was started here."""
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(number)
        self.note(f"{number.name} to {name}")

    def is_running(self, name: str) -> bool:
        """Return whether a process has not ended."""
        return self._processes[name].poll() is None

    async def wait_for_exit(self, name: str, timeout: float) -> int | None:
        """Return a process's exit code, or None if it runs on."""
        until = time.monotonic() + timeout
        while self.is_running(name) and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self._processes[name].poll()

    def end_all(self) -> None:
        """Kill all processes that were started here."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    async def wait_for_store(self) -> None:
        """Wait until the store answers."""

        async def is_up() -> bool:
            return (await store_call(self.store_port, "GET", "/objects/config"))[0] == 200

        await self._wait(is_up, "the store")

    async def wait_until_ready(self, gateway: GatewayPorts) -> None:
        """Wait until a gateway answers its readiness check with 200."""

        async def is_ready() -> bool:
            answer = await exchange(gateway.host, gateway.ready, "GET", "/ready", {}, timeout=1.0)
            return answer.status == 200

        await self._wait(is_ready, gateway.name)

    async def write_configuration(self, version: int, resources: list[dict[str, Any]]) -> None:
        """Write the configuration as the operator does; return when the store has answered."""
        spec = {"version": version, "resourceList": resources}
        body = {"metadata": {"name": "main"}, "spec": spec, "status": None}
        status, _ = await store_call(self.store_port, "PUT", "/objects/config/main", body)
        if status == 404:
            status, _ = await store_call(self.store_port, "POST", "/objects/config", body)
        if status not in (200, 201):
            raise CannotRunError(f"the configuration got status {status}")
        self.note(f"configuration {version} acknowledged")

    async def _wait(self, check: Callable[[], Awaitable[bool]], what: str) -> None:
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            with suppress(OSError, TimeoutError, EOFError, ValueError, IndexError):
                if await check():
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{what} did not start within {START_TIMEOUT_S:g} s")

    def _start(self, name: str, arguments: list[str], variables: dict[str, str]) -> None:
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": f"{ROOT}:{ROOT / 'target' / 'deps'}",
            "PYTHONDONTWRITEBYTECODE": "1",
            **variables,
        }
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                ["python3", *arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.note(f"started {name}")

    def _settings(self, gateway: GatewayPorts, bounds: dict[str, Any]) -> str:
        """Fill in the template of the deploy file."""
        host = gateway.host
        values: dict[str, Any] = {
            "nodeName": gateway.name,
            "ip": host,
            "zone": gateway.zone,
            "zones": self.zones,
            "listen.front": f"{host}:{gateway.caller}",
            "listen.ready": f"{host}:{gateway.ready}",
            "listen.directory": f"{host}:{gateway.lookup}",
            "listen.control": f"{host}:{gateway.peer}",
            "internalPorts": f"{gateway.news},{gateway.news}",
            "seeds": ",".join(f"{g.host}:{g.peer}" for g in self.gateways[:3]),
            "limits.cpuShare": 0.86,
            "limits.cores": 1,
            "limits.linkMbps": 1000.0,
            "limits.memoryMb": 300,
            "limits.maxFds": 4100,
            "platform.address": f"{HOST}:{gateway.store}",
            "bounds.graceS": 6,
            "bounds.retryBudgetRatio": 0.2,
            "bounds.budgetWindowS": 10,
            "bounds.retryBudgetSlack": 60,
            "bounds.ttl_max_s": 5,
            "bounds.drainTimeoutMs": 2500,
            "bounds.configApplyMs": 2500,
            "bounds.evacuationMs": 5000,
            **bounds,
        }
        template = (ROOT / "deploy" / "gateway.json").read_text()
        template = SECTION.sub(lambda m: m.group(0) if m.group(1) in values else "", template)
        document = json.loads(
            REPLACED.sub(
                lambda m: json.dumps(values[m.group(1)]) if m.group(2) else str(values[m.group(1)]),
                template,
            )
        )
        document["metrics_port"] = 0
        return json.dumps(document)


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its headers, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def store_call(
    port: int, method: str, path: str, body: object | None = None
) -> tuple[int, Any]:
    """Make one call to the store; return its status and document."""
    data = b"" if body is None else json.dumps(body).encode()
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        async with asyncio.timeout(3.0):
            first, headers = await _read_head(reader)
            text = await reader.readexactly(int(headers.get("content-length", "0")))
    finally:
        writer.close()
    return int(first.split()[1]), json.loads(text) if text else None


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read a whole answer with a length."""
    first, answer.headers = await _read_head(reader)
    answer.status = int(first.split()[1])
    answer.length = int(answer.headers.get("content-length", "0"))
    answer.received = len(await reader.readexactly(answer.length))


class KeptChannel:
    """A client's channel, which it keeps open for many requests."""

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout: float = 10.0,
    ) -> Answer:
        """Send one request and read its answer; open the channel first if it is closed."""
        answer = Answer(headers.get("X-Request-Id", ""), time.monotonic())
        try:
            async with asyncio.timeout(timeout):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(*self._address)
                reader, writer = self._streams
                lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
                if "Host" not in headers:
                    lines.append("Host: check")
                lines.append(f"Content-Length: {len(body)}")
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                await read_answer(reader, answer)
                if answer.headers.get("connection", "").lower() == "close":
                    self.close()
        except (OSError, TimeoutError, EOFError, ValueError, IndexError) as error:
            answer.error = type(error).__name__
            self.close()
        answer.ended_at = time.monotonic()
        return answer

    def close(self) -> None:
        """Close the channel."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def exchange(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout: float = 10.0,
) -> Answer:
    """Send one request over a new channel and read its answer."""
    channel = KeptChannel(host, port)
    try:
        return await channel.exchange(method, path, headers, body, timeout)
    finally:
        channel.close()


class BackendServer:
    """A backend server that follows the users' page: slots, a queue, time limits, its own id.

    Attributes
    ----------
    work_s : float
        Seconds of work for one request.
    runs : list
        The id of each request that it began to work on, and when.
    """

    def __init__(
        self,
        deployment: Deployment,
        server_id: str,
        service: str,
        zone: str,
        work_s: float = 0.05,
        slots: int = 4,
        body_bytes: int = 100,
    ) -> None:
        self.deployment = deployment
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.body_bytes = body_bytes
        self.port = deployment.free_port()
        self.advertised_port = self.port
        self.runs: list[tuple[str, float]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._sequence = 0
        self._listener: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen and register in the store."""
        await self.listen()
        await self.register()
        task = asyncio.ensure_future(self._renew())
        self.tasks.add(task)

    async def listen(self) -> None:
        """Accept channels."""
        self._listener = await asyncio.start_server(self._serve, HOST, self.port)

    def stop_listening(self) -> None:
        """Refuse new channels and reset the open ones."""
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            with suppress(OSError, TimeoutError, EOFError):
                await self.register()

    async def register(self) -> None:
        """Write the registration."""
        body = {"metadata": {"name": self.server_id}, "spec": self.spec(), "status": None}
        path = f"/objects/servers/{self.server_id}"
        status, _ = await store_call(self.deployment.store_port, "PUT", path, body)
        if status == 404:
            await store_call(self.deployment.store_port, "POST", "/objects/servers", body)

    def spec(self) -> dict[str, Any]:
        """Return the spec of the next registration."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": f"{HOST}:{self.advertised_port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "warmupLeftMs": 0,
            "seq": self._sequence,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                await reader.readexactly(int(headers.get("content-length", "0")))
                await self.answer(first.split()[1], headers, reader, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            # The gateway closed the connection.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(
        self,
        path: str,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expected-instance", self.server_id) != self.server_id:
            self._send(writer, "421 Misdirected Request", {"X-Instance-Id": self.server_id}, b"")
            return
        if self._waiting >= 3 * self.slots:
            self._send(writer, "503 Service Unavailable", {"X-Not-Executed": "1"}, b"")
            return
        ends_at = time.monotonic() + int(headers.get("x-deadline-ms", "60000")) / 1000.0
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            left = ends_at - time.monotonic()
            if left <= 0.0:
                self._send(writer, "503 Service Unavailable", {"X-Not-Executed": "1"}, b"")
                return
            self.runs.append((request_id, time.monotonic()))
            self.deployment.note(f"{self.server_id} runs {request_id} {path}")
            if await self._work(min(left, self.work_s), reader):
                raise EOFError
        signature = {"X-Request-Id": request_id, "X-Response-Signature": f"s-{request_id}"}
        status = "200 OK" if self.work_s < left else "504 Gateway Timeout"
        self._send(writer, status, signature, b"x" * self.body_bytes)
        await writer.drain()

    async def _work(self, seconds: float, reader: asyncio.StreamReader) -> bool:
        """Work for some time; return whether the connection was closed meanwhile."""
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0.0:
            await asyncio.sleep(min(left, 0.05))
            if reader.at_eof():
                return True
        return False

    @staticmethod
    def _send(
        writer: asyncio.StreamWriter, status: str, headers: dict[str, str], body: bytes
    ) -> None:
        lines = [f"HTTP/1.1 {status}", *(f"{k}: {v}" for k, v in headers.items())]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def main(
    folder: Path,
    zones: dict[str, str],
    run: Callable[[Deployment, bool], Awaitable[list[str]]],
) -> int:
    """Run a case; return 1 if it found the rule broken, 0 if not, 2 if it could not run."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    # The processes must end with the script, also if it is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    with (
        tempfile.TemporaryDirectory() as scratch,
        (folder / "record.txt").open("w", encoding="utf-8") as record,
    ):
        deployment = Deployment(Path(scratch), record, zones)

        async def limited() -> list[str]:
            async with asyncio.timeout(MAX_RUN_S):
                return await run(deployment, with_trouble)

        try:
            findings = asyncio.run(limited())
        except (CannotRunError, OSError, TimeoutError) as error:
            deployment.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return NOT_RUN
        finally:
            deployment.end_all()
            for log in sorted(Path(scratch).glob("*.log")):
                if keep := os.environ.get("KEEP_LOGS"):
                    Path(keep, log.name).write_bytes(log.read_bytes())
        for finding in findings:
            deployment.note(f"BROKEN {finding}")
            print(f"broken: {finding}")
        deployment.note("rule broken" if findings else "rule held")
        print("rule broken" if findings else "rule held")
        return BROKEN if findings else HELD
