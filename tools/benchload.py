"""Load for benchmarks: raw HTTP/1.1 connections, closed loop or at a fixed rate.

Run as a process of its own (``python -m tools.benchload``), so that making the load does not share
a core's time with what is measured; prints one JSON document.
"""

import argparse
import asyncio
import json
import sys
import time
from collections import deque
from dataclasses import asdict, dataclass, field

__all__ = ["LoadResult", "main"]

HEAD_END = b"\r\n\r\n"
LENGTH = b"content-length: "


@dataclass
class LoadResult:
    """What was measured; latencies in milliseconds."""

    answers: int = 0
    failed: int = 0
    seconds: float = 0.0
    processor_s: float = 0.0
    p50: float = 0.0
    p99: float = 0.0
    latencies: list[float] = field(default_factory=list)

    def summarize(self) -> None:
        """Work out the quantiles and drop the single values."""
        ordered = sorted(self.latencies)
        if ordered:
            self.p50 = ordered[len(ordered) // 2] * 1000
            self.p99 = ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)] * 1000
        self.latencies = []


class Connection(asyncio.Protocol):
    """One connection that has at most one request open."""

    def __init__(self, load: "Load") -> None:
        self._load = load
        self._buffer = b""
        self._since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Be ready for a request."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._load.idle(self)

    def send(self, request: bytes, since: float) -> None:
        """Send a request that was due at ``since``."""
        self._since = since
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Take a part of an answer."""
        self._buffer += data
        end = self._buffer.find(HEAD_END)
        if end < 0:
            return
        head = self._buffer[:end].lower()
        start = head.find(LENGTH)
        length = int(head[start + len(LENGTH) :].split(b"\r", 1)[0])
        if len(self._buffer) < end + len(HEAD_END) + length:
            return
        ok = self._buffer.startswith(b"HTTP/1.1 200")
        self._buffer = b""
        self._load.answered(ok, time.perf_counter() - self._since)
        self._load.idle(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Count a connection that ended before the load did."""
        self._load.lost()


class Load:
    """Sends requests in a closed loop, or at ``rate`` a second if it is above 0."""

    def __init__(self, requests: list[bytes], rate: float, seconds: float) -> None:
        self.result = LoadResult()
        self._requests = requests
        self._rate = rate
        self._seconds = seconds
        self._sent = 0
        self._idle: deque[Connection] = deque()
        self._due: deque[float] = deque()
        self._running = False

    def idle(self, connection: Connection) -> None:
        """Use a connection again."""
        if self._running and (self._rate == 0 or self._due):
            since = self._due.popleft() if self._due else time.perf_counter()
            self._send(connection, since)
        else:
            self._idle.append(connection)

    def answered(self, ok: bool, seconds: float) -> None:
        """Count an answer."""
        if not self._running:
            return
        self.result.answers += ok
        self.result.failed += not ok
        self.result.latencies.append(seconds)

    def lost(self) -> None:
        """Count a lost connection."""
        if self._running:
            self.result.failed += 1

    async def run(self, host: str, port: int, connections: int) -> None:
        """Open the connections and send for the time."""
        loop = asyncio.get_running_loop()
        for _ in range(connections):
            await loop.create_connection(lambda: Connection(self), host, port)
        self._running = True
        started, processor = time.perf_counter(), time.process_time()
        if self._rate:
            await self._send_at_rate(started)
        else:
            while self._idle:
                self._send(self._idle.popleft(), time.perf_counter())
            await asyncio.sleep(self._seconds)
        self._running = False
        self.result.seconds = time.perf_counter() - started
        self.result.processor_s = time.process_time() - processor

    async def _send_at_rate(self, started: float) -> None:
        """Send each request at its own time; latency counts from there, also if it waited here."""
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

    def _send(self, connection: Connection, since: float) -> None:
        request = self._requests[self._sent % len(self._requests)]
        self._sent += 1
        connection.send(request, since)


def lookup_requests() -> list[bytes]:
    """Return look-ups from blocks spread over the address space."""
    blocks = ((n * 2654435761) % 2**32 for n in range(1, 2_000))
    return [
        b"GET /v1/lookup?service=times&block=%d.%d.%d.%d HTTP/1.1\r\nHost: x\r\n\r\n"
        % (b >> 24, b >> 16 & 255, b >> 8 & 255, b & 255)
        for b in blocks
    ]


def main() -> int:
    """Make the load and print the result."""
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
