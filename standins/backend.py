"""Stand-in backend servers: many targets in one process, one port each, with a shared ledger.

Keys are not deduplicated: a request that runs twice is recorded twice.
"""

import argparse
import json
import random
import time
from collections.abc import Callable
from typing import Any

from pydantic import ValidationError
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from briarspur.documents import load_settings
from standins import serving
from standins.targetmodel import (
    BackendSettings,
    Counts,
    Ledger,
    ServiceTime,
    TargetSettings,
    TargetSwitches,
    Warmth,
)
from standins.targetrun import Run, call_after_delay

__all__ = ["Backend", "Target", "main"]

RETRY_AFTER_S = b"1"


class LimitedSite(Site):
    """A site that drops connections above the target's limit."""

    def __init__(self, resource: Resource, limit: int, counts: Counts) -> None:
        super().__init__(resource)  # type: ignore[no-untyped-call]
        self.displayTracebacks = False
        self.limit = limit
        self.counts = counts
        self.channels: set[Any] = set()

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return a protocol whose connection is counted, or None at the limit."""
        if len(self.channels) >= self.limit:
            return None
        channel: Any = super().buildProtocol(addr)  # type: ignore[no-untyped-call]
        original: Callable[..., None] = channel.connectionLost

        def connection_lost(reason: Any) -> None:
            self.channels.discard(channel)
            self.counts.connections = len(self.channels)
            original(reason)

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
        self.service_time = backend.settings.times_by_service.get(settings.service, ServiceTime())
        self.counts = backend.ledger.counts_by_target.setdefault(settings.target_id, Counts())
        self.region = backend.ledger.counts_by_region.setdefault(settings.region, Counts())
        self.warmth = Warmth(self.service_time)
        if backend.settings.warm:
            self.warmth.served = self.service_time.warm_after * 2.0
        self.site = LimitedSite(self, settings.connections, self.counts)
        self._listening: Any = None

    def listen(self) -> None:
        """Start to accept connections."""
        self._listening = _reactor().listenTCP(
            self.settings.port, self.site, backlog=512, interface=self.settings.host
        )

    def crash(self) -> None:
        """Abort all connections and refuse new ones for ``crash_s``; restart cold."""
        if self._listening is None:
            return
        self.counts.crashes += 1
        self._listening.stopListening()
        self._listening = None
        for channel in list(self.site.channels):
            channel._channel.transport.abortConnection()
        self.warmth = Warmth(self.service_time)
        _reactor().callLater(self.backend.settings.crash_s, self.listen)

    def update_switches(self, changes: dict[str, Any]) -> None:
        """Change some of the target's switches."""
        merged = {**self.switches.model_dump(), **changes}
        if changes.get("draining") and not self.switches.draining:
            self.draining_since = time.monotonic()
        self.switches = TargetSwitches.model_validate_json(json.dumps(merged))

    def consume_fault(self, name: str) -> bool:
        """Decrement a switch that counts faults; return whether one was left to inject."""
        remaining = int(getattr(self.switches, name))
        if remaining:
            self.switches = self.switches.model_copy(update={name: remaining - 1})
        return remaining > 0

    def render(self, request: Request) -> int:
        """Answer a request after the network delay."""
        call_after_delay(self.delay(request), request, lambda: self._dispatch(request))
        return NOT_DONE_YET

    def _dispatch(self, request: Request) -> None:
        path = request.path.decode()
        if path == "/health":
            self._health(request)
        elif path == "/load":
            self._load(request)
        elif b"poison" in request.uri:
            self._crash_on(request)
        elif self.counts.in_flight >= self.settings.slots:
            self._shed(request)
        else:
            Run(self, request).start()

    def delay(self, request: Request) -> float:
        """Return the one-way delay in seconds; on a new connection, add the time to open it."""
        host = getattr(request.getClientAddress(), "host", "")
        delay_ms = self.backend.settings.delays.to_zone(host, self.settings.zone)
        channel: Any = request.channel
        if not getattr(channel, "is_open", False):
            channel.is_open = True
            delay_ms += self.service_time.connect_ms
        return delay_ms / 1000

    def work_seconds(self) -> float:
        """Return the service time in seconds of a request that starts now."""
        work = self.warmth.seconds(time.monotonic(), self.backend.rng)
        return work * self.switches.slow_factor

    def begin_run(self, run: Run) -> None:
        """Count a request that starts to occupy a slot."""
        self.counts.start()
        self.region.start()
        if run.key and run.request.method == b"POST":
            starts = self.backend.ledger.starts_by_key.setdefault(run.key, [])
            starts.append(self.settings.target_id)
        if self.switches.draining:
            self.counts.started_draining += 1
            self.counts.last_start_draining_s = time.monotonic() - self.draining_since

    def end_run(self, _: Run) -> None:
        """Count a request that released its slot."""
        self.counts.end()
        self.region.end()

    def add_headers(self, request: Request) -> None:
        """Set the headers that every response has."""
        request.setHeader(b"target-id", self.settings.target_id.encode())
        if self.switches.draining:
            request.setHeader(b"draining", b"true")

    def _shed(self, request: Request) -> None:
        self.counts.shed += 1
        request.setHeader(b"request-not-run", b"true")
        request.setHeader(b"retry-after", RETRY_AFTER_S)
        self.add_headers(request)
        serving.send_json(request, {"error": "no free slot"}, 503)

    def _crash_on(self, request: Request) -> None:
        crashes = self.backend.ledger.crashes_by_request
        uri = request.uri.decode()
        crashes[uri] = crashes.get(uri, 0) + 1
        self.crash()

    def _health(self, request: Request) -> None:
        self.add_headers(request)
        status = {"true": "draining" if self.switches.draining else "ok"}
        reported = status.get(self.switches.health, self.switches.health)
        serving.send_json(request, {"status": reported}, 503 if reported == "bad" else 200)

    def _load(self, request: Request) -> None:
        if self.switches.load == "silent":
            return
        in_flight = 0 if self.switches.load == "idle" else self.counts.in_flight
        serving.send_json(request, {"in_flight": in_flight, "slots": self.settings.slots})


class Backend(Resource):
    """All targets of the process, and the control port with ``/ledger`` and ``/control``."""

    isLeaf = True  # noqa: N815

    def __init__(self, settings: BackendSettings) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.ledger = Ledger()
        self.targets_by_id = {t.target_id: Target(self, t) for t in settings.targets}

    def listen(self) -> None:
        """Start to accept connections on every port."""
        for target in self.targets_by_id.values():
            target.listen()
        serving.listen(self, self.settings.host, self.settings.control_port)

    def render(self, request: Request) -> int:
        """Answer a control request of a test or of the demo."""
        if request.path == b"/ledger":
            serving.send_json(request, self.ledger.document())
        elif request.path == b"/control" and request.method == b"POST" and request.content:
            self._control(request, request.content.read())
        else:
            serving.send_json(request, {"error": "no such call"}, 404)
        return NOT_DONE_YET

    def _control(self, request: Request, body: bytes) -> None:
        """Change switches of ``target`` (``*`` for all); ``crash`` and ``reset_peaks`` act once."""
        try:
            changes = json.loads(body)
            target_id = changes.pop("target", "*")
            crash = changes.pop("crash", False)
            if changes.pop("reset_peaks", False):
                self.ledger.reset_peaks()
            chosen = [
                t for t in self.targets_by_id.values() if target_id in ("*", t.settings.target_id)
            ]
            for target in chosen:
                target.update_switches(changes)
                if crash:
                    target.crash()
        except (ValueError, ValidationError) as error:
            serving.send_json(request, {"error": str(error)}, 400)
            return
        serving.send_json(request, {"changed": len(chosen)})


def _reactor() -> Any:
    from twisted.internet import reactor

    return reactor


def main() -> None:
    """Run the stand-in until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="standins.backend")
    parser.add_argument("--settings", required=True, help="JSON file")
    settings = load_settings(BackendSettings, parser.parse_args().settings)
    serving.run(lambda: Backend(settings).listen())


if __name__ == "__main__":
    main()
