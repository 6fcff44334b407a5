"""Backend servers that speak the platform's protocol: several per process, with a ledger."""

import argparse
import json
import random
import signal
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol, TextIO, cast
from weakref import WeakSet

from twisted.web.client import Agent, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from standins import serving
from standins.bodies import JsonBody

__all__ = ["LiveTarget", "Registrar", "main"]

REGISTRATION_INTERVAL_S = 0.5
REGISTRATION_LIFETIME_S = 1.5
"""Time after a crash until the registration of the server lapses."""
MAX_QUEUED_PER_SLOT = 2
CRASH_SHARE = 0.5
"""Share of its work after which a request that crashes the server does so."""

STRAY_REJECTION = b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


@dataclass(eq=False)
class LiveTarget(Resource):
    """One backend server, which records arrivals and runs in the ledger.

    Attributes
    ----------
    item_id : str
        Its id in the settings; after a crash it starts with another ``target_id``.
    crashes_on : str
        A run of a request whose path ends with this crashes the server; empty if none does.
    down_s : float
        Seconds from a crash until it starts again.
    error_share : float
        Share of its requests that it runs and answers with ``error_status``.
    signs_errors : bool
        Whether such a response has the signature of responses to requests that were run.
    omits_ids : bool
        Whether its rejections lack the request id.
    stray_share : float
        Share of its responses over reused connections before which it sends a rejection that
        belongs to no request.
    """

    item_id: str
    service: str
    zone: str
    advertised: str
    ledger: TextIO
    slots: int = 4
    work_s: float = 0.05
    draining: bool = False
    limit_per_s: float | None = None
    leaving: bool = False
    backoff_s: float = 0.0
    lose_share: float = 0.0
    error_share: float = 0.0
    error_status: int = 500
    signs_errors: bool = True
    omits_ids: bool = False
    stray_share: float = 0.0
    crashes_on: str = ""
    down_s: float = 2.0
    is_down: bool = False
    on_crash: Callable[["LiveTarget"], None] = lambda target: None
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    sequence: int = 0
    isLeaf = True  # noqa: N815

    def __post_init__(self) -> None:
        Resource.__init__(self)
        self.target_id = self.item_id
        self._starts = 1
        self._transports: set[Any] = set()
        self._used_channels: WeakSet[Any] = WeakSet()
        self._running: dict[Request, Any] = {}
        self._queue: list[Request] = []
        self._rng = random.Random(self.target_id)

    def apply_settings(self, item: dict[str, Any]) -> None:
        """Apply the settings that can change while the server runs."""
        self.draining = item["draining"]
        self.limit_per_s = item.get("limit_per_s")
        self.leaving = item.get("leaving", False)
        self.backoff_s = item.get("rest_s", 0.0)
        self.lose_share = item.get("lose_share", 0.0)
        self.error_share = item.get("error_share", 0.0)
        self.error_status = item.get("error_status", 500)
        self.signs_errors = item.get("signs_errors", True)
        self.omits_ids = item.get("omits_ids", False)
        self.stray_share = item.get("stray_share", 0.0)
        self.crashes_on = item.get("crashes_on", "")
        self.work_s = item.get("work_s", self.work_s)

    def listen(self, host: str, port: int) -> None:
        """Accept connections, also after each crash."""
        self._address = (host, port)
        self._listener = _reactor().listenTCP(port, Site(self), interface=host)

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

    def render(self, request: Request) -> int:
        """Run a request, queue it or reject it."""
        self._transports = {t for t in self._transports if t.connected} | {request.transport}
        expected = request.getHeader(b"x-expected-instance")
        is_misdirected = expected is not None and expected != self.target_id.encode()
        left_ms = request.getHeader(b"x-deadline-ms")
        self._write_ledger(
            "arrival",
            request,
            left_ms=None if left_ms is None else int(left_ms),
            is_rejected=is_misdirected,
        )
        if is_misdirected:
            _answer(request, 421, {b"X-Not-Executed": b"1", **self._id_of(request)})
        elif self.backoff_s > 0.0:
            self._write_ledger("rest", request)
            self._reject(request, {b"Retry-After": b"%.2f" % self.backoff_s})
        elif len(self._queue) >= MAX_QUEUED_PER_SLOT * self.slots:
            self._reject(request, {})
        else:
            request.notifyFinish().addBoth(self._disconnected, request)
            self._queue.append(request)
            self._start_queued()
        return NOT_DONE_YET

    def _start_queued(self) -> None:
        while self._queue and len(self._running) < self.slots:
            request = self._queue.pop(0)
            self._write_ledger("run", request)
            if self.crashes_on and request.path.decode().endswith(self.crashes_on):
                end = _reactor().callLater(self.work_s * CRASH_SHARE, self._crash, request)
            else:
                end = _reactor().callLater(self.work_s, self._complete, request)
            self._running[request] = end

    def _crash(self, request: Request) -> None:
        self._write_ledger("crash", request)
        self.is_down = True
        self._queue.clear()
        for end in self._running.values():
            if end.active():
                end.cancel()
        self._running.clear()
        self._listener.stopListening()
        for transport in self._transports:
            transport.abortConnection()
        self._transports.clear()
        self.on_crash(self)
        _reactor().callLater(self.down_s, self._start_again)

    def _start_again(self) -> None:
        self._starts += 1
        self.target_id = f"{self.item_id}.{self._starts}"
        self.born = time.time_ns() // 1_000_000
        self.is_down = False
        self.listen(*self._address)

    def _write_ledger(self, event: str, request: Request, **fields: object) -> None:
        request_id = (request.getHeader(b"x-request-id") or b"").decode()
        row = {"what": event, "id": request_id, "target": self.target_id, "at": time.time()}
        row.update(fields)
        self.ledger.write(json.dumps(row) + "\n")
        self.ledger.flush()

    def _reject(self, request: Request, headers: dict[bytes, bytes]) -> None:
        rejection = {b"X-Not-Executed": b"1", **self._id_of(request), **self._notices()}
        _answer(request, 503, rejection | headers)

    def _id_of(self, request: Request) -> dict[bytes, bytes]:
        """Return the header with the request's id, unless rejections lack it."""
        request_id = request.getHeader(b"x-request-id")
        if request_id is None or self.omits_ids:
            return {}
        return {b"X-Request-Id": request_id}

    def _notices(self) -> dict[bytes, bytes]:
        """Return the headers that advertise the server's limit and departure."""
        notices = {}
        if self.limit_per_s is not None:
            notices[b"Server-Limit"] = b"%.2f" % self.limit_per_s
        if self.leaving:
            notices[b"Server-Leaving"] = b"1"
        return notices

    def _complete(self, request: Request) -> None:
        self._running.pop(request, None)
        if self._rng.random() < self.lose_share:
            request.loseConnection()
            self._start_queued()
            return
        request_id = request.getHeader(b"x-request-id") or b""
        headers = {
            b"X-Response-Signature": b"s-" + request_id,
            b"X-Request-Id": request_id,
            **self._notices(),
        }
        status = self.error_status if self._rng.random() < self.error_share else 200
        if status != 200 and not self.signs_errors:
            del headers[b"X-Response-Signature"]
        channel = cast(Any, request.channel)
        if channel in self._used_channels and self._rng.random() < self.stray_share:
            channel.transport.write(STRAY_REJECTION)
        self._used_channels.add(channel)
        body = b"body of %b by %b" % (request_id, self.service.encode())
        padding = b"." * int(request.args.get(b"bytes", [b"0"])[0])
        _answer(request, status, headers, body + padding)
        self._start_queued()

    def _disconnected(self, _: object, request: Request) -> None:
        if request in self._queue:
            self._queue.remove(request)
        timer = self._running.pop(request, None)
        if timer is not None and timer.active():
            timer.cancel()
        self._start_queued()


class Registered(Protocol):
    """A server whose registration is written to the store."""

    @property
    def target_id(self) -> str:
        """The id of this lifetime."""

    @property
    def is_down(self) -> bool:
        """Whether the server has ended and not started again."""

    def spec(self) -> dict[str, Any]:
        """Return the spec of the next registration."""


class Registrar:
    """Writes the registrations to the store periodically."""

    def __init__(self, store: str, targets: Sequence[Registered]) -> None:
        self._agent = Agent(_reactor(), connectTimeout=1.0)
        self._base = f"http://{store}/objects/servers"
        self._targets = targets

    def renew(self) -> None:
        """Renew every registration, and schedule the next renewal."""
        _reactor().callLater(REGISTRATION_INTERVAL_S, self.renew)
        for target in self._targets:
            if target.is_down:
                continue
            body = {"metadata": {"name": target.target_id}, "spec": target.spec(), "status": None}
            self._call(b"PUT", f"/{target.target_id}", body, self._create_if_missing(body))

    def lapse(self, target: Registered) -> None:
        """Let the registration of a crashed server lapse."""
        path = f"/{target.target_id}"
        _reactor().callLater(REGISTRATION_LIFETIME_S, self._call, b"DELETE", path, {}, readBody)

    def _create_if_missing(self, body: dict[str, Any]) -> Callable[[Any], Any]:
        def check(response: Any) -> Any:
            if response.code == 404:
                self._call(b"POST", "", body, lambda response: readBody(response))
            return readBody(response)

        return check

    def _call(self, method: bytes, path: str, body: Any, on_response: Callable[[Any], Any]) -> None:
        url = (self._base + path).encode()
        headers = Headers({b"Content-Type": [b"application/json"]})
        sent = self._agent.request(method, url, headers, cast(IBodyProducer, JsonBody(body)))
        sent.addCallback(on_response)
        # Tests make the store unreachable on purpose; the next renewal retries.
        sent.addErrback(lambda failure: None)


def _answer(request: Request, status: int, headers: dict[bytes, bytes], body: bytes = b"") -> None:
    request.setResponseCode(status)
    for name, value in headers.items():
        request.setHeader(name, value)
    request.setHeader(b"content-length", b"%d" % len(body))
    request.write(body)
    request.finish()


def _reactor() -> Any:
    from twisted.internet import reactor

    return reactor


def main() -> None:
    """Serve the targets of a settings file until SIGTERM; reload it on SIGHUP."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--settings", required=True)
    path = Path(parser.parse_args().settings)
    settings = json.loads(path.read_text())
    targets: list[LiveTarget] = []

    def reload(*_: object) -> None:
        items = {item["id"]: item for item in json.loads(path.read_text())["targets"]}
        for target in targets:
            target.apply_settings(items[target.item_id])

    def start() -> None:
        ledger = Path(settings["ledger"]).open("a", encoding="utf-8")  # noqa: SIM115
        signal.signal(signal.SIGHUP, reload)
        registrar = Registrar(settings["store"], targets)
        for item in settings["targets"]:
            target = LiveTarget(
                item["id"], item["service"], item["zone"], item["advertised"], ledger
            )
            target.apply_settings(item)
            target.listen(item["host"], item["port"])
            target.on_crash = registrar.lapse
            targets.append(target)
        registrar.renew()

    serving.run(start)


if __name__ == "__main__":
    main()
