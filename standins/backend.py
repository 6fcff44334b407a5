"""Stand-in backend servers: many targets in one process, one port each, and one ledger.

It does not deduplicate keys: a request that is run twice is recorded twice.
"""

import argparse
import json
import random
import re
import time
from collections.abc import Callable
from typing import Any

from pydantic import ValidationError
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from briarspur.documents import load_settings
from standins import serving
from standins.content import download_etag, download_part, download_size, small_answer
from standins.targetmodel import (
    BackendSettings,
    Counts,
    Ledger,
    ServiceTime,
    TargetSettings,
    TargetSwitches,
    Warmth,
)

__all__ = ["Backend", "main"]

PACE_S = 0.02
RANGE = re.compile(r"bytes=(\d+)-(\d*)")
RETRY_AFTER_S = b"1"


class Run:
    """One request that occupies a slot, from its start to its answer or its end without one."""

    def __init__(self, target: "Target", request: Request) -> None:
        self.target = target
        self.request = request
        self.path = request.uri.decode()
        self.key = _header(request, b"idempotency-key")
        self.delay = target.delay(request)
        self.timer: Any = None
        self.running = True
        request.notifyFinish().addErrback(lambda _: self.cancel())

    def start(self) -> None:
        """Occupy the slot until the service time has passed."""
        self.target.begin_run(self)
        seconds = self.target.work_seconds()
        left_ms = _header(self.request, b"request-timeout-ms")
        if left_ms and left_ms.isdigit() and int(left_ms) / 1000 < seconds:
            self.timer = _reactor().callLater(int(left_ms) / 1000, self.expire)
        else:
            self.timer = _reactor().callLater(seconds, self.answer)

    def cancel(self) -> None:
        """Stop the work and free the slot, because the caller has gone."""
        if not self.running:
            return
        self.target.counts.cancelled += 1
        self._free()

    def expire(self) -> None:
        """Stop the work and record nothing, because the deadline has come."""
        self.target.counts.expired += 1
        self._free()
        self.request.setResponseCode(504)
        self.target.mark(self.request)
        self.request.setHeader(b"content-length", b"0")
        travel(self.delay, self.request, self.request.finish)

    def answer(self) -> None:
        """End the work: record a booking first, then answer."""
        if self.key and self.request.method == b"POST":
            self.target.backend.ledger.record(self.key, self.target.settings.target_id)
        self.target.counts.ended += 1
        if self.target.spend_switch("lose_answers"):
            self._free()
            travel(self.delay, self.request, lambda: _abort(self.request))
            return
        self.target.mark(self.request)
        size = download_size(self.path)
        if size is None:
            self._free()
            travel(self.delay, self.request, self._answer_small)
        else:
            self._answer_download(size)

    def _answer_small(self) -> None:
        body = small_answer(self.path, self.key)
        self.request.setHeader(b"content-type", b"application/json")
        self.request.setHeader(b"content-length", str(len(body)).encode())
        if self.target.spend_switch("cut_answers"):
            self.request.write(body[: len(body) // 2])
            _reactor().callLater(PACE_S, _abort, self.request)
            return
        if self.request.method != b"HEAD":
            self.request.write(body)
        self.request.finish()

    def _answer_download(self, size: int) -> None:
        """Send the content, or the part a Range with a fitting If-Range asks for."""
        etag = download_etag(self.path)
        start, end = _range(self.request, size, etag)
        if (start, end) != (0, size):
            self.request.setResponseCode(206)
            self.request.setHeader(b"content-range", f"bytes {start}-{end - 1}/{size}".encode())
        self.request.setHeader(b"etag", etag.encode())
        self.request.setHeader(b"accept-ranges", b"bytes")
        self.request.setHeader(b"content-type", b"application/octet-stream")
        self.request.setHeader(b"content-length", str(end - start).encode())
        cut_at = (start + end) // 2 if self.target.spend_switch("cut_answers") else None
        travel(self.delay, self.request, lambda: self._send(start, end, cut_at))

    def _send(self, at: int, end: int, cut_at: int | None) -> None:
        """Send one step of a paced download; it holds its slot until the last byte."""
        if not self.running:
            return
        if cut_at is not None and at >= cut_at:
            _abort(self.request)
            return
        step = max(1, int(self.target.time.bytes_per_s * PACE_S))
        part = download_part(self.path, at, min(end, at + step))
        self.target.counts.bytes_sent += len(part)
        self.request.write(part)
        if at + len(part) < end:
            self.timer = _reactor().callLater(PACE_S, self._send, at + len(part), end, cut_at)
            return
        self.request.finish()
        self._free()

    def _free(self) -> None:
        if not self.running:
            return
        self.running = False
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.target.end_run(self)


class LimitedSite(Site):
    """A site that drops connections beyond the target's limit."""

    def __init__(self, resource: Resource, limit: int, counts: Counts) -> None:
        super().__init__(resource)  # type: ignore[no-untyped-call]
        self.displayTracebacks = False
        self.limit = limit
        self.counts = counts
        self.channels: set[Any] = set()

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return a protocol that is counted, None if there are too many connections."""
        if len(self.channels) >= self.limit:
            return None
        channel: Any = super().buildProtocol(addr)  # type: ignore[no-untyped-call]
        lost: Callable[..., None] = channel.connectionLost

        def connection_lost(reason: Any) -> None:
            self.channels.discard(channel)
            self.counts.connections = len(self.channels)
            lost(reason)

        channel.connectionLost = connection_lost
        self.channels.add(channel)
        self.counts.connections = len(self.channels)
        self.counts.peak_connections = max(self.counts.peak_connections, len(self.channels))
        return channel


class Target(Resource):
    """One backend server."""

    isLeaf = True  # noqa: N815

    def __init__(self, backend: "Backend", settings: TargetSettings) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.backend = backend
        self.settings = settings
        self.switches = TargetSwitches()
        self.draining_since = 0.0
        self.time = backend.settings.times_by_service.get(settings.service, ServiceTime())
        self.counts = backend.ledger.counts_by_target.setdefault(settings.target_id, Counts())
        self.region = backend.ledger.counts_by_region.setdefault(settings.region, Counts())
        self.warmth = Warmth(self.time)
        if backend.settings.warm:
            self.warmth.served = self.time.warm_after * 2.0
        self.site = LimitedSite(self, settings.connections, self.counts)
        self._listening: Any = None

    def listen(self) -> None:
        """Begin to take connections."""
        self._listening = _reactor().listenTCP(
            self.settings.port, self.site, backlog=512, interface=self.settings.host
        )

    def crash(self) -> None:
        """Lose all connections and refuses new ones for a while; comes back cold."""
        if self._listening is None:
            return
        self.counts.crashes += 1
        self._listening.stopListening()
        self._listening = None
        for channel in list(self.site.channels):
            channel._channel.transport.abortConnection()
        self.warmth = Warmth(self.time)
        _reactor().callLater(self.backend.settings.crash_s, self.listen)

    def switch(self, changes: dict[str, Any]) -> None:
        """Change switches."""
        merged = {**self.switches.model_dump(), **changes}
        if changes.get("draining") and not self.switches.draining:
            self.draining_since = time.monotonic()
        self.switches = TargetSwitches.model_validate_json(json.dumps(merged))

    def spend_switch(self, name: str) -> bool:
        """Use up one of a counted fault; True if there was one."""
        left = int(getattr(self.switches, name))
        if left:
            self.switches = self.switches.model_copy(update={name: left - 1})
        return left > 0

    def render(self, request: Request) -> int:
        """Answer one request, now or later."""
        travel(self.delay(request), request, lambda: self._arrive(request))
        return NOT_DONE_YET

    def _arrive(self, request: Request) -> None:
        path = request.path.decode()
        if path == "/health":
            self._health(request)
        elif path == "/load":
            self._load(request)
        elif b"poison" in request.uri:
            self._die_of(request)
        elif self.counts.in_flight >= self.settings.slots:
            self._shed(request)
        else:
            Run(self, request).start()

    def delay(self, request: Request) -> float:
        """Return the one-way delay in seconds; on a new connection, opening it is added."""
        host = getattr(request.getClientAddress(), "host", "")
        delay_ms = self.backend.settings.delays.to_zone(host, self.settings.zone)
        channel: Any = request.channel
        if not getattr(channel, "is_open", False):
            channel.is_open = True
            delay_ms += self.time.connect_ms
        return delay_ms / 1000

    def work_seconds(self) -> float:
        """Return how long a request that begins now occupies its slot."""
        work = self.warmth.seconds(time.monotonic(), self.backend.rng)
        return work * self.switches.slow_factor

    def begin_run(self, run: Run) -> None:
        """Count a request that occupies a slot from now on."""
        self.counts.start()
        self.region.start()
        if run.key and run.request.method == b"POST":
            starts = self.backend.ledger.starts_by_key.setdefault(run.key, [])
            starts.append(self.settings.target_id)
        if self.switches.draining:
            self.counts.started_draining += 1
            self.counts.last_start_draining_s = time.monotonic() - self.draining_since

    def end_run(self, _: Run) -> None:
        """Count a request that occupies its slot no more."""
        self.counts.end()
        self.region.end()

    def mark(self, request: Request) -> None:
        """Add the headers that every answer carries."""
        request.setHeader(b"target-id", self.settings.target_id.encode())
        if self.switches.draining:
            request.setHeader(b"draining", b"true")

    def _shed(self, request: Request) -> None:
        self.counts.shed += 1
        request.setHeader(b"request-not-run", b"true")
        request.setHeader(b"retry-after", RETRY_AFTER_S)
        self.mark(request)
        serving.send_json(request, {"error": "no free slot"}, 503)

    def _die_of(self, request: Request) -> None:
        crashes = self.backend.ledger.crashes_by_request
        name = request.uri.decode()
        crashes[name] = crashes.get(name, 0) + 1
        self.crash()

    def _health(self, request: Request) -> None:
        self.mark(request)
        status = {"true": "draining" if self.switches.draining else "ok"}
        word = status.get(self.switches.health, self.switches.health)
        serving.send_json(request, {"status": word}, 503 if word == "bad" else 200)

    def _load(self, request: Request) -> None:
        if self.switches.load == "silent":
            return
        in_flight = 0 if self.switches.load == "idle" else self.counts.in_flight
        serving.send_json(request, {"in_flight": in_flight, "slots": self.settings.slots})


class Backend(Resource):
    """All targets of the process, and its control port: ``/ledger`` and ``/control``."""

    isLeaf = True  # noqa: N815

    def __init__(self, settings: BackendSettings) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.ledger = Ledger()
        self.targets_by_id = {t.target_id: Target(self, t) for t in settings.targets}

    def listen(self) -> None:
        """Begin to take connections on every port."""
        for target in self.targets_by_id.values():
            target.listen()
        serving.listen(self, self.settings.host, self.settings.control_port)

    def render(self, request: Request) -> int:
        """Answer one call of a test or of the demo."""
        if request.path == b"/ledger":
            serving.send_json(request, self.ledger.document())
        elif request.path == b"/control" and request.method == b"POST" and request.content:
            self._control(request, request.content.read())
        else:
            serving.send_json(request, {"error": "no such call"}, 404)
        return NOT_DONE_YET

    def _control(self, request: Request, body: bytes) -> None:
        """Change switches of ``target`` (``*``: all); ``crash`` and ``reset_peaks`` act once."""
        try:
            changes = json.loads(body)
            name = changes.pop("target", "*")
            crash = changes.pop("crash", False)
            if changes.pop("reset_peaks", False):
                self.ledger.reset_peaks()
            chosen = [t for t in self.targets_by_id.values() if name in ("*", t.settings.target_id)]
            for target in chosen:
                target.switch(changes)
                if crash:
                    target.crash()
        except (ValueError, ValidationError) as error:
            serving.send_json(request, {"error": str(error)}, 400)
            return
        serving.send_json(request, {"changed": len(chosen)})


def _range(request: Request, size: int, etag: str) -> tuple[int, int]:
    """Return the first byte and the one after the last that the request asks for."""
    matched = RANGE.fullmatch(_header(request, b"range") or "")
    condition = _header(request, b"if-range")
    if not matched or (condition and condition != etag) or int(matched[1]) >= size:
        return 0, size
    end = int(matched[2]) + 1 if matched[2] else size
    return int(matched[1]), min(end, size)


def travel(delay: float, request: Request, then: Callable[[], None]) -> None:
    """Go on after the way between entry and target, unless the connection has gone meanwhile."""
    if delay <= 0:
        then()
        return

    def arrived() -> None:
        if request.transport and not request._disconnected:
            then()

    _reactor().callLater(delay, arrived)


def _header(request: Request, name: bytes) -> str | None:
    value = request.getHeader(name)
    return value.decode("latin-1") if value is not None else None


def _abort(request: Request) -> None:
    if request.transport:
        request.transport.abortConnection()


def _reactor() -> Any:
    from twisted.internet import reactor

    return reactor


def main() -> None:
    """Run the stand-in until it is told to stop."""
    parser = argparse.ArgumentParser(prog="standins.backend")
    parser.add_argument("--settings", required=True, help="JSON file")
    settings = load_settings(BackendSettings, parser.parse_args().settings)
    serving.run(lambda: Backend(settings).listen())


if __name__ == "__main__":
    main()
