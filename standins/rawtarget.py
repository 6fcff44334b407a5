"""Backend servers that write their own bytes, with faults that HTTP libraries hide."""

import argparse
import asyncio
import contextlib
import json
import random
import signal
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

from standins import serving
from standins.livetarget import Registrar

__all__ = ["RawTarget", "Switches", "main"]

POLL_S = 0.02
"""Interval at which a request that waits or runs looks for the end of its connection."""
IDLE_CLOSE_S = 10.0
REUSE_AFTER_S = 2.0
"""Time after which another server may take over the address of one that ended."""
EXTRA_DELAY_S = 0.004
CUT_DELAY_S = 0.2
EARLY_BYTES = 40_000
"""Smallest body of a request that may be rejected before it was read."""
QUEUED_PER_SLOT = 3


@dataclass(frozen=True, slots=True)
class Switches:
    """Faults and habits of a server; shares of its requests or responses are between 0 and 1.

    Attributes
    ----------
    names_ids : bool
        Whether rejections have the id of their request.
    marks_misdirected : bool
        Whether a 421 has the header of rejections.
    own_status : int
        Status of the responses of ``own_share`` of the requests, which were run.
    own_share : float
        Share of the requests that are run and fail.
    lost_share : float
        Share that is run without a response; half of these connections are reset.
    cut_share : float
        Share of the responses that break off at any byte, half of them in the head.
    extra_share : float
        Share of the responses, rejections included, that are sent twice: at once, a moment later,
        or when the next request has arrived.
    reject_share : float
        Share of the requests that are rejected although there is room.
    early_share : float
        Share of the long requests that are rejected before they have been read.
    max_connections : int
        Connections that the server accepts; it resets others.
    work_s : float
        Time to run a request.
    """

    names_ids: bool = True
    marks_misdirected: bool = True
    own_status: int = 500
    own_share: float = 0.0
    lost_share: float = 0.0
    cut_share: float = 0.0
    extra_share: float = 0.0
    reject_share: float = 0.0
    early_share: float = 0.0
    max_connections: int = 200
    work_s: float = 0.2


@dataclass(frozen=True, slots=True)
class Head:
    """The parts of a request's head that the server uses."""

    request_id: bytes | None
    length: int
    expected: str
    left_s: float

    @classmethod
    def parse(cls, data: bytes) -> "Head":
        """Parse a request line and headers."""
        lines = data.decode("latin-1").split("\r\n")[1:]
        headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines if line)}
        request_id = headers.get("x-request-id")
        return cls(
            None if request_id is None else request_id.encode("latin-1"),
            int(headers.get("content-length", 0)),
            headers.get("x-expected-instance", ""),
            int(headers.get("x-deadline-ms", 60_000)) / 1_000.0,
        )


class EndedError(Exception):
    """The connection ended, or ends as the fault that was drawn says."""


@dataclass(eq=False)
class RawTarget:
    """One server; each lifetime at its address has an id of its own, and may have another service.

    Attributes
    ----------
    life : int
        Number of the lifetime. It ends when the settings name a later one.
    """

    item_id: str
    zone: str
    advertised: str
    address: tuple[str, int]
    ledger: TextIO
    service: str = ""
    slots: int = 3
    life: int = 0
    draining: bool = False
    is_down: bool = False
    switches: Switches = Switches()
    on_end: Callable[["RawTarget"], None] = lambda target: None
    target_id: str = ""
    sequence: int = 0
    born: int = 0
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _waiting: deque[object] = field(default_factory=deque)
    _running: int = 0

    def __post_init__(self) -> None:
        self._rng = random.Random(self.item_id)
        self.listener: asyncio.Future[None] | None = None
        self._replacement: asyncio.Future[None] | None = None

    def apply_settings(self, item: dict[str, Any]) -> None:
        """Apply the settings that may change, and begin another lifetime if they name one."""
        self.draining = item["draining"]
        self.slots = item.get("slots", self.slots)
        self.switches = Switches(**item.get("switches", {}))
        if not self.target_id:
            self._begin(item)
        elif item.get("life", 0) != self.life:
            self._replacement = asyncio.ensure_future(self._replace(item))

    async def listen(self) -> None:
        """Accept connections in all lifetimes; between two, reset them."""
        await asyncio.start_server(self._serve, *self.address)

    def spec(self) -> dict[str, Any]:
        """Return the spec of the next registration."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.advertised,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "warmupLeftMs": 0,
            "seq": self.sequence,
            "born": self.born,
        }

    def _begin(self, item: dict[str, Any]) -> None:
        self.service, self.life = item["service"], item.get("life", 0)
        self.target_id = f"{self.item_id}.{self.life}" if self.life else self.item_id
        self.born = time.time_ns() // 1_000_000
        self.is_down = False

    async def _replace(self, item: dict[str, Any]) -> None:
        self.life = item["life"]
        self.is_down = True
        for writer in list(self._writers):
            writer.transport.abort()
        self.on_end(self)
        await asyncio.sleep(REUSE_AFTER_S)
        self._begin(item)

    # Connections

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_down or len(self._writers) >= self.switches.max_connections:
            writer.transport.abort()
            return
        self._writers.add(writer)
        late = b""
        # The end of a connection, of its lifetime or an idle time-out need no handling here.
        with contextlib.suppress(EndedError, OSError, EOFError, TimeoutError):
            while True:
                async with asyncio.timeout(IDLE_CLOSE_S):
                    data = await reader.readuntil(b"\r\n\r\n")
                writer.write(late)
                late = await self._handle(Head.parse(data), reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _handle(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        """Respond to one request; return what is sent when the next request has arrived."""
        if head.length >= EARLY_BYTES and self._draws(self.switches.early_share):
            self._record("arrival", head, is_rejected=True)
            late = await self._send(self._rejection(503, head), writer)
            if self._rng.random() < 0.5:
                raise EndedError
            await reader.readexactly(head.length)
            return late
        await reader.readexactly(head.length)
        return await self._send(await self._response(head, reader, writer), writer)

    async def _response(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        """Run a request or reject it; return the response."""
        is_misdirected = head.expected not in ("", self.target_id)
        self._record("arrival", head, left_ms=int(head.left_s * 1000), is_rejected=is_misdirected)
        if is_misdirected:
            return self._rejection(421, head)
        is_full = len(self._waiting) >= QUEUED_PER_SLOT * self.slots
        if is_full or self._draws(self.switches.reject_share):
            return self._rejection(503, head)
        ends = time.monotonic() + head.left_s
        if not await self._wait_for_slot(ends, reader, writer):
            return self._rejection(503, head)
        try:
            self._record("run", head)
            done = time.monotonic() + self.switches.work_s * self._rng.uniform(0.5, 1.5)
            while time.monotonic() < min(done, ends):
                self._check_open(reader, writer)
                await asyncio.sleep(POLL_S)
        finally:
            self._running -= 1
        if self._draws(self.switches.lost_share):
            if self._rng.random() < 0.5:
                writer.transport.abort()
            raise EndedError
        if done > ends:
            return self._answer(504, head)
        return self._answer(self.switches.own_status if self._draws_own() else 200, head)

    async def _wait_for_slot(
        self, ends: float, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Return whether a slot was free before the time limit."""
        ticket = object()
        self._waiting.append(ticket)
        try:
            while self._waiting[0] is not ticket or self._running >= self.slots:
                self._check_open(reader, writer)
                if time.monotonic() >= ends:
                    return False
                await asyncio.sleep(POLL_S)
        finally:
            self._waiting.remove(ticket)
        self._running += 1
        return True

    @staticmethod
    def _check_open(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if reader.at_eof() or writer.is_closing():
            raise EndedError

    async def _send(self, response: bytes, writer: asyncio.StreamWriter) -> bytes:
        """Send a response with the faults that are drawn; return what is sent later."""
        if self._draws(self.switches.cut_share):
            head_bytes = response.index(b"\r\n\r\n") + 3
            first, last = (1, head_bytes) if self._rng.random() < 0.5 else (1, len(response) - 1)
            writer.write(response[: self._rng.randint(first, last)])
            await asyncio.sleep(self._rng.choice((0.0, CUT_DELAY_S)))
            raise EndedError
        writer.write(response)
        if not self._draws(self.switches.extra_share):
            return b""
        way = self._rng.choice(("now", "soon", "late"))
        if way == "late":
            return response
        if way == "soon":
            await asyncio.sleep(EXTRA_DELAY_S)
        writer.write(response)
        return b""

    # Responses

    def _rejection(self, status: int, head: Head) -> bytes:
        headers = [b"X-Instance-Id: " + self.target_id.encode()]
        if status != 421 or self.switches.marks_misdirected:
            headers.append(b"X-Not-Executed: 1")
        if self.switches.names_ids and head.request_id is not None:
            headers.append(b"X-Request-Id: " + head.request_id)
        return _encode(status, headers, b"")

    def _answer(self, status: int, head: Head) -> bytes:
        request_id = head.request_id or b""
        headers = [b"X-Request-Id: " + request_id, b"X-Response-Signature: s-" + request_id]
        body = b"body of %b by %b" % (request_id, self.service.encode())
        return _encode(status, headers, body + b"." * self._rng.randrange(5_000))

    def _draws(self, share: float) -> bool:
        return share > 0.0 and self._rng.random() < share

    def _draws_own(self) -> bool:
        return self._draws(self.switches.own_share)

    def _record(self, event: str, head: Head, **fields: object) -> None:
        request_id = (head.request_id or b"").decode("latin-1")
        row = {"what": event, "id": request_id, "target": self.target_id, "at": time.time()}
        self.ledger.write(json.dumps(row | {"service": self.service} | fields) + "\n")
        self.ledger.flush()


def _encode(status: int, headers: list[bytes], body: bytes) -> bytes:
    lines = [b"HTTP/1.1 %d Status" % status, *headers, b"Content-Length: %d" % len(body)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def main() -> None:
    """Serve the targets of a settings file until SIGTERM; reload it on SIGHUP."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--settings", required=True)
    path = Path(parser.parse_args().settings)
    settings = json.loads(path.read_text())
    targets: list[RawTarget] = []

    def reload() -> None:
        items = {item["id"]: item for item in json.loads(path.read_text())["targets"]}
        for target in targets:
            target.apply_settings(items[target.item_id])

    def start() -> None:
        ledger = Path(settings["ledger"]).open("a", encoding="utf-8")  # noqa: SIM115
        asyncio.get_event_loop().add_signal_handler(signal.SIGHUP, reload)
        registrar = Registrar(settings["store"], targets)
        for item in settings["targets"]:
            address = item["host"], item["port"]
            target = RawTarget(item["id"], item["zone"], item["advertised"], address, ledger)
            target.apply_settings(item)
            target.on_end = registrar.lapse
            target.listener = asyncio.ensure_future(target.listen())
            targets.append(target)
        registrar.renew()

    serving.run(start)


if __name__ == "__main__":
    main()
