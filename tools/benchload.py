"""Load generator for benchmarks: raw HTTP/1.1 connections, closed loop or at a fixed rate.

It runs as a separate process (``python -m tools.benchload``), so that generating the load does not
take CPU time from the measured process, and prints one JSON document.
"""

import argparse
import asyncio
import json
import sys
import time
from collections import deque
from dataclasses import asdict, dataclass, field

__all__ = ["LoadResult", "main"]

HEADERS_END = b"\r\n\r\n"
CONTENT_LENGTH = b"content-length: "


@dataclass
class LoadResult:
    """The result of a run; ``p50`` and ``p99`` in milliseconds, ``latencies`` in seconds."""

    answers: int = 0
    failed: int = 0
    seconds: float = 0.0
    processor_s: float = 0.0
    p50: float = 0.0
    p99: float = 0.0
    latencies: list[float] = field(default_factory=list)

    def summarize(self) -> None:
        """Compute the quantiles and discard the individual latencies."""
        ordered = sorted(self.latencies)
        if ordered:
            self.p50 = ordered[len(ordered) // 2] * 1000
            self.p99 = ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)] * 1000
        self.latencies = []


class Connection(asyncio.Protocol):
    """A connection with at most one request in flight."""

    def __init__(self, load: "Load") -> None:
        self._load = load
        self._buffer = b""
        self._due_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection as idle."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._load.on_idle(self)

    def send(self, request: bytes, due_at: float) -> None:
        """Send a request; its latency counts from ``due_at``."""
        self._due_at = due_at
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Collect the response; report it and become idle once it is complete."""
        self._buffer += data
        end = self._buffer.find(HEADERS_END)
        if end < 0:
            return
        head = self._buffer[:end].lower()
        start = head.find(CONTENT_LENGTH)
        length = int(head[start + len(CONTENT_LENGTH) :].split(b"\r", 1)[0])
        if len(self._buffer) < end + len(HEADERS_END) + length:
            return
        success = self._buffer.startswith(b"HTTP/1.1 200")
        self._buffer = b""
        self._load.record_response(success, time.perf_counter() - self._due_at)
        self._load.on_idle(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Report that the connection was closed."""
        self._load.record_lost()


class Load:
    """Sends requests at ``rate`` per second, or in a closed loop if ``rate`` is 0."""

    def __init__(self, requests: list[bytes], rate: float, seconds: float) -> None:
        self.result = LoadResult()
        self._requests = requests
        self._rate = rate
        self._seconds = seconds
        self._sent = 0
        self._idle: deque[Connection] = deque()
        self._due: deque[float] = deque()
        self._running = False

    def on_idle(self, connection: Connection) -> None:
        """Send the next request on an idle connection, or keep it until one is due."""
        if self._running and (self._rate == 0 or self._due):
            due_at = self._due.popleft() if self._due else time.perf_counter()
            self._send(connection, due_at)
        else:
            self._idle.append(connection)

    def record_response(self, success: bool, latency_s: float) -> None:
        """Count a response."""
        if not self._running:
            return
        self.result.answers += success
        self.result.failed += not success
        self.result.latencies.append(latency_s)

    def record_lost(self) -> None:
        """Count a connection that was closed during the run as a failure."""
        if self._running:
            self.result.failed += 1

    async def run(self, host: str, port: int, connections: int) -> None:
        """Open the connections and send requests for the configured time."""
        loop = asyncio.get_running_loop()
        for _ in range(connections):
            await loop.create_connection(lambda: Connection(self), host, port)
        self._running = True
        started, cpu_started = time.perf_counter(), time.process_time()
        if self._rate:
            await self._send_at_rate(started)
        else:
            while self._idle:
                self._send(self._idle.popleft(), time.perf_counter())
            await asyncio.sleep(self._seconds)
        self._running = False
        self.result.seconds = time.perf_counter() - started
        self.result.processor_s = time.process_time() - cpu_started

    async def _send_at_rate(self, started: float) -> None:
        """Send each request when due; its latency includes the wait for an idle connection."""
        number = 0
        while (now := time.perf_counter() - started) < self._seconds:
            while number / self._rate <= now:
                due = started + number / self._rate
                number += 1
                if self._idle:
                    self._send(self._idle.popleft(), due)
                else:
                    self._due.append(due)
            await asyncio.sleep(max(0.0, number / self._rate - now))

    def _send(self, connection: Connection, due_at: float) -> None:
        request = self._requests[self._sent % len(self._requests)]
        self._sent += 1
        connection.send(request, due_at)


def lookup_requests() -> list[bytes]:
    """Return look-up requests for blocks across the whole address space."""
    blocks = ((n * 2654435761) % 2**32 for n in range(1, 2_000))
    return [
        b"GET /v1/lookup?service=times&block=%d.%d.%d.%d HTTP/1.1\r\nHost: x\r\n\r\n"
        % (b >> 24, b >> 16 & 255, b >> 8 & 255, b & 255)
        for b in blocks
    ]


def main() -> int:
    """Generate the load and print the result."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument("--rate", type=float, default=0.0)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--lookups", action="store_true")
    arguments = parser.parse_args()
    requests = [b"GET /times/today HTTP/1.1\r\nHost: x\r\n\r\n"]
    if arguments.lookups:
        requests = lookup_requests()
    load = Load(requests, arguments.rate, arguments.seconds)
    asyncio.run(load.run("127.0.0.1", arguments.port, arguments.connections))
    load.result.summarize()
    print(json.dumps(asdict(load.result)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
