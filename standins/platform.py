"""A stand-in for the platform: the object API and the VM list of docs/PLATFORM.md, in memory."""

import argparse
import base64
import json
import re
import time
from collections import Counter, defaultdict
from typing import Any
from urllib.parse import unquote

from pydantic import ValidationError
from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from briarspur.coord.store import ABSENT, StoredObject
from briarspur.documents import load_settings
from briarspur.settings import PlatformSettings
from standins import serving
from standins.objectstate import Objects, Rate, Switches, VmHistory

__all__ = ["Platform", "main"]

MAX_VALUE = 1_048_576
MAX_WAIT_S = 60.0
NAME = re.compile(r"[A-Za-z0-9._/-]{1,512}")
ETAG = re.compile(rb'"(\d+)"')
OBJECTS = "/v1/objects"


class RefusedError(Exception):
    """A call that is answered with a status of its own."""

    def __init__(self, status: int, body: object, retry_after: int | None = None) -> None:
        super().__init__(status)
        self.status = status
        self.body = body
        self.retry_after = retry_after


class Platform(Resource):
    """The whole HTTP interface; state lives in memory and ends with the process."""

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.switches = Switches()
        self.counts: Counter[str] = Counter()
        self.objects = Objects()
        self.vms = VmHistory()
        self._reads = Rate(self.switches.reads_per_s)
        self._writes = Rate(self.switches.writes_per_s)
        self._waiting_by_name: dict[str, set[Deferred[None]]] = defaultdict(set)
        self._watching: set[Request] = set()

    def render(self, request: Request) -> int:
        """Answer one call, now or later."""
        path = unquote(request.path.decode())
        try:
            if path == "/control":
                self._control(request)
            elif path == "/control/history":
                self._history(request)
            else:
                self._serve(request, path)
        except RefusedError as refused:
            self._refuse(request, refused)
        return NOT_DONE_YET

    def control(self, changes: dict[str, Any]) -> None:
        """Change switches, as ``POST /control`` does."""
        merged = {**self.switches.model_dump(), **changes}
        self.switches = Switches.model_validate_json(json.dumps(merged))
        self._reads.per_s = self.switches.reads_per_s
        self._writes.per_s = self.switches.writes_per_s
        if "vms" in changes:
            self.vms.set(changes["vms"], time.monotonic())
        if self.switches.outage != "none":
            for watching in list(self._watching):
                _abort(watching)

    def _control(self, request: Request) -> None:
        if request.method == b"POST":
            try:
                self.control(json.loads(_body(request)))
            except (ValueError, ValidationError) as error:
                raise RefusedError(400, {"error": str(error)}) from None
        counts = dict(self.counts, waiting_watches=len(self._watching))
        serving.send_json(request, {"switches": self.switches.model_dump(), "counts": counts})

    def _history(self, request: Request) -> None:
        """Show the latest states of an object, for tests that look for a write too many."""
        states = self.objects.past_by_name.get(_parameter(request, b"name", ""), [])
        rows = [_row(state.current) for state in states if state.current is not None]
        serving.send_json(request, {"states": rows})

    def _serve(self, request: Request, path: str) -> None:
        """Count and limit the call, then let it take effect, at once or after ``slow_s``."""
        writes = request.method in (b"PUT", b"DELETE")
        self.counts["writes" if writes else "reads"] += 1
        if self.switches.outage == "hang":
            return
        if self.switches.outage == "refuse":
            self.counts["refused_in_outage"] += 1
            raise RefusedError(503, {"error": "outage"}, retry_after=1)
        rate = self._writes if writes else self._reads
        if not rate.take(time.monotonic()):
            self.counts["throttled"] += 1
            raise RefusedError(429, {"error": "too many calls"}, retry_after=1)
        if not self.switches.slow_s:
            self._take_effect(request, path, _body(request))
            return
        # The body is read now, because Twisted closes it when the caller goes away.
        _reactor().callLater(self.switches.slow_s, self._take_effect, request, path, _body(request))

    def _take_effect(self, request: Request, path: str, body: bytes) -> None:
        try:
            if path == "/v1/vms" and request.method == b"GET":
                vms = self.vms.read(time.monotonic() - self.switches.vm_lag_s)
                serving.send_json(request, {"vms": vms})
            elif path == OBJECTS and request.method == b"GET":
                self._list(request)
            elif path.startswith(OBJECTS + "/"):
                self._object(request, path[len(OBJECTS) + 1 :], body)
            else:
                raise RefusedError(404, {"error": "no such call"})
        except RefusedError as refused:
            self._refuse(request, refused)

    def _list(self, request: Request) -> None:
        found = self.objects.list(_parameter(request, b"prefix", ""), self._as_of())
        rows = [_row(item) for item in found]
        serving.send_json(request, {"objects": rows})

    def _object(self, request: Request, name: str, value: bytes) -> None:
        if not NAME.fullmatch(name):
            raise RefusedError(400, {"error": "malformed name"})
        if request.method == b"GET" and b"newer_than" in request.args:
            self._watch(request, name)
        elif request.method == b"GET":
            found = self.objects.read(name, self._as_of())
            etag = f'"{found.version}"'.encode() if found else b""
            if found and request.getHeader(b"if-none-match") == etag:
                self._send_object(request, None, none_status=304)
            else:
                self._send_object(request, found, none_status=404)
        elif request.method == b"PUT":
            if len(value) > MAX_VALUE:
                raise RefusedError(413, {"error": f"a value has at most {MAX_VALUE} bytes"})
            self._write(request, name, value)
        elif request.method == b"DELETE":
            self._write(request, name, None)
        else:
            raise RefusedError(405, {"error": "no such method"})

    def _write(self, request: Request, name: str, value: bytes | None) -> None:
        expected = _expected_version(request)
        current = self.objects.version_of(name)
        if current != expected or (value is None and current == ABSENT):
            raise RefusedError(412, {"version": current})
        version = self.objects.write(name, value, time.monotonic())
        self._wake(name)
        if self.switches.lose_writes:
            self.switches = self.switches.model_copy(
                update={"lose_writes": self.switches.lose_writes - 1}
            )
            self.counts["lost_answers"] += 1
            _abort(request)
            return
        request.setResponseCode(204 if value is None else 201 if expected == ABSENT else 200)
        if value is not None:
            request.setHeader(b"etag", f'"{version}"'.encode())
        request.setHeader(b"content-length", b"0")
        _finish(request)

    def _wake(self, name: str) -> None:
        """Let the watches of ``name`` look again, as late as their reads are old."""
        _reactor().callLater(self.switches.stale_s, self._wake_now, name)

    def _wake_now(self, name: str) -> None:
        for waiting in list(self._waiting_by_name[name]):
            if not waiting.called:
                waiting.callback(None)

    def _watch(self, request: Request, name: str) -> None:
        try:
            newer_than = int(_parameter(request, b"newer_than", "0"))
            wait_s = float(_parameter(request, b"wait_s", "30"))
        except ValueError:
            raise RefusedError(400, {"error": "malformed parameter"}) from None
        self.counts["watches"] += 1
        self._watching.add(request)
        request.notifyFinish().addBoth(lambda _: self._watching.discard(request))
        self._wait(request, name, newer_than, time.monotonic() + min(wait_s, MAX_WAIT_S))

    def _wait(self, request: Request, name: str, newer_than: int, until: float) -> None:
        found = self.objects.read(name, self._as_of())
        left = until - time.monotonic()
        if found is not None and found.version > newer_than:
            self._send_object(request, found, none_status=304)
        elif left <= 0:
            self._send_object(request, None, none_status=304)
        elif request in self._watching:
            waiting: Deferred[None] = Deferred()
            self._waiting_by_name[name].add(waiting)
            timer = _reactor().callLater(left, waiting.callback, None)

            def look_again(_: None) -> None:
                self._waiting_by_name[name].discard(waiting)
                if timer.active():
                    timer.cancel()
                self._wait(request, name, newer_than, until)

            waiting.addCallback(look_again)

    def _send_object(self, request: Request, found: StoredObject | None, none_status: int) -> None:
        value = found.value if found else b""
        request.setResponseCode(200 if found else none_status)
        if found:
            request.setHeader(b"etag", f'"{found.version}"'.encode())
        request.setHeader(b"content-length", str(len(value)).encode())
        if request.transport and value:
            request.write(value)
        _finish(request)

    def _refuse(self, request: Request, refused: RefusedError) -> None:
        if refused.retry_after is not None:
            request.setHeader(b"retry-after", str(refused.retry_after).encode())
        if request.transport:
            serving.send_json(request, refused.body, refused.status)

    def _as_of(self) -> float:
        return time.monotonic() - self.switches.stale_s


def _row(item: StoredObject) -> dict[str, Any]:
    value = base64.b64encode(item.value).decode()
    return {"name": item.name, "version": item.version, "value": value}


def _finish(request: Request) -> None:
    """End an answer, unless its caller has gone."""
    if request.transport:
        request.finish()


def _abort(request: Request) -> None:
    """Cut the connection of a call, unless its caller has gone."""
    if request.transport:
        request.transport.abortConnection()


def _body(request: Request) -> bytes:
    return bytes(request.content.read()) if request.content else b""


def _reactor() -> Any:
    from twisted.internet import reactor

    return reactor


def _parameter(request: Request, name: bytes, default: str) -> str:
    values = request.args.get(name)
    return str(values[0].decode()) if values else default


def _expected_version(request: Request) -> int:
    """Return the version a write is conditional on."""
    if request.getHeader(b"if-none-match") == b"*":
        return ABSENT
    matched = ETAG.fullmatch(request.getHeader(b"if-match") or b"")
    if not matched:
        raise RefusedError(428, {"error": 'a write needs If-Match: "V" or If-None-Match: *'})
    return int(matched[1])


def main() -> None:
    """Run the stand-in until it is told to stop."""
    parser = argparse.ArgumentParser(prog="standins.platform")
    parser.add_argument("--settings", help="JSON file with host and port")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=8080)
    arguments = parser.parse_args()
    host, port = arguments.host, arguments.port
    if arguments.settings:
        settings = load_settings(PlatformSettings, arguments.settings)
        host, port = settings.host, settings.port
    serving.run(lambda: print(serving.listen(Platform(), host, port).getHost(), flush=True))


if __name__ == "__main__":
    main()
