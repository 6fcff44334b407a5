"""Processes of a benchmark: the measured entry, and its backend server."""

import argparse
import asyncio
import json
import sys
from typing import Any

from briarspur.blocks import BlockTable
from briarspur.documents import parse
from briarspur.entry import EntryDaemon
from briarspur.policy import PolicyDocument
from briarspur.revision import Draft, encode_revision
from briarspur.settings import EntrySettings

__all__ = ["bench_policy", "main"]

HOST = "127.0.0.1"
SMALL_BODY = b"x" * 200
CHUNK = b"x" * 65_536
LARGE_BYTES = 256 * 1_048_576
BLOCK_COUNT = 4_000_000


class Backend(asyncio.Protocol):
    """A backend server that responds immediately; paths that end in ``large`` get 256 MB."""

    def __init__(self) -> None:
        self._buffer = b""
        self._remaining_bytes = 0
        self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Respond to each complete request head."""
        self._buffer += data
        while (end := self._buffer.find(b"\r\n\r\n")) >= 0:
            head, self._buffer = self._buffer[:end], self._buffer[end + 4 :]
            self._respond(head.split(b" ", 2)[1])

    def _respond(self, path: bytes) -> None:
        large = path.endswith(b"large")
        length = LARGE_BYTES if large else len(SMALL_BODY)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length
        self._transport.write(head if large else head + SMALL_BODY)
        if large:
            self._remaining_bytes = length
            self._send()

    def _send(self) -> None:
        while self._remaining_bytes > 0 and not self._paused and not self._transport.is_closing():
            self._transport.write(CHUNK)
            self._remaining_bytes -= len(CHUNK)

    def pause_writing(self) -> None:
        """Stop sending until the receiver has read more."""
        self._paused = True

    def resume_writing(self) -> None:
        """Continue to send."""
        self._paused = False
        self._send()


def bench_policy(backend_port: int) -> dict[str, Any]:
    """Return a policy with limits far above the load of the benchmarks."""
    return {
        "user": "bench",
        "regions": {
            "north": {
                "zones": ["north-a"],
                "in_flight_limit": 100_000,
                "link_bytes_per_s": 1_000_000_000_000,
            }
        },
        "services": {
            "times": {"path": "/times", "rules": [{"deadline_ms": 600_000}]},
        },
        "targets": {
            "times-1": {
                "service": "times",
                "zone": "north-a",
                "host": HOST,
                "port": backend_port,
                "slots": 1_000,
                "connections": 1_000,
            }
        },
        "entries": {"entry-1": {"zone": "north-a"}},
        "caps": {
            kind: {"requests_per_window": 1_000} for kind in ("planned", "emergency", "return")
        },
        "blocks": {"default": "north"},
    }


async def serve_backend(port: int) -> None:
    """Run the backend server until the process is stopped."""
    server = await asyncio.get_running_loop().create_server(Backend, HOST, port)
    await server.serve_forever()


class BenchEntry(EntryDaemon):
    """An entry that writes its own policy to the store, and loads 4 M blocks."""

    def __init__(self, settings: EntrySettings, backend_port: int) -> None:
        super().__init__(settings)
        self._backend_port = backend_port

    async def start(self) -> None:
        """Write the policy, start, load the blocks and print ``ready``."""
        document = parse(PolicyDocument, json.dumps(bench_policy(self._backend_port)), "policy")
        value = encode_revision(Draft(document, "bench", "bench", "", ""), 0)
        await self.store.put("policy", value, 0)
        await super().start()
        while not self.is_ready():
            await asyncio.sleep(0.05)
        step = 2**32 // BLOCK_COUNT
        self.node.set_block_table(
            BlockTable.from_runs((n * step, "north") for n in range(BLOCK_COUNT))
        )
        print("ready", flush=True)


def main() -> int:
    """Run the given process until SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("part", choices=["backend", "entry"])
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--backend-port", type=int, default=0)
    parser.add_argument("--settings", default="")
    arguments = parser.parse_args()
    if arguments.part == "backend":
        asyncio.run(serve_backend(arguments.port))
        return 0
    from briarspur.daemon import run

    def build(settings: EntrySettings) -> EntryDaemon:
        return BenchEntry(settings, arguments.backend_port)

    return run("bench-entry", EntrySettings, build, ["--settings", arguments.settings])


if __name__ == "__main__":
    sys.exit(main())
