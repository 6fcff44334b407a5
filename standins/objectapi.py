"""A stand-in for the platform's store: the calls of its published protocol, and fault injection."""

import argparse
import base64
import json
from collections import defaultdict
from typing import Any, Literal, cast
from urllib.parse import unquote

from pydantic import Field
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from briarspur.documents import Document, load_settings
from briarspur.objects import VMS_PREFIX
from briarspur.platform.objectstore import kind_and_name
from briarspur.processsettings import PlatformSettings
from standins import serving
from standins.objectstate import CallError, Objects
from standins.rate import RateLimit

__all__ = ["ObjectApi", "ObjectSwitches", "main"]

OBJECTS = "objects"


class ObjectSwitches(Document):
    """Settings that ``POST /control`` can change."""

    outage: Literal["none", "busy", "reset", "silent"] = "none"
    only_hosts: list[str] = Field(
        default=[], description="callers that the outage affects; empty for all"
    )
    slow_s: float = Field(default=0.0, ge=0.0)
    lose_answers: int = Field(
        default=0, ge=0, description="number of next writes that are applied but not answered"
    )
    late_s: float = Field(
        default=0.0, ge=0.0, description="delay before unanswered writes are applied"
    )
    reads_per_s: float = Field(default=2_000.0, gt=0.0)
    writes_per_s: float = Field(default=400.0, gt=0.0)
    stale_s: float = Field(default=0.0, ge=0.0, description="age of the state that reads return")
    vm_lag_s: float = Field(
        default=0.0, ge=0.0, description="delay before a change of the VM list is visible"
    )


class ObjectApi(Resource):
    """The HTTP interface; the state is kept in memory only."""

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.objects = Objects()
        self.switches = ObjectSwitches()
        self.calls: dict[str, int] = defaultdict(int)
        self._rate_limits = {False: RateLimit(2_000.0), True: RateLimit(400.0)}
        self._watches: dict[Request, tuple[str, int]] = {}

    def render(self, request: Request) -> int:
        """Answer a call, immediately or later."""
        request.setHeader(b"Store-Era", b"%d" % self.objects.era)
        try:
            self._serve(request)
        except CallError as error:
            serving.send_json(request, error.body, error.status)
        return NOT_DONE_YET

    def control(self, changes: dict[str, Any]) -> None:
        """Change switches; an outage aborts or silences the open watches."""
        if changes.pop("forget", False):
            self.objects.drop_history()
            self._answer_watches(all_kinds=True)
        if age := changes.pop("restore_s", 0.0):
            self.restore(self.objects.count_since(age))
        vms = changes.pop("vms", None)
        self.switches = ObjectSwitches.model_validate({**self.switches.model_dump(), **changes})
        per_s_by_kind = {False: self.switches.reads_per_s, True: self.switches.writes_per_s}
        self._rate_limits = {
            writes: RateLimit(per_s, per_s) for writes, per_s in per_s_by_kind.items()
        }
        for request in list(self._watches):
            if self._in_outage(request):
                del self._watches[request]
                if self.switches.outage != "silent":
                    cast(Any, request.transport).abortConnection()
        if vms is not None and self.switches.vm_lag_s:
            _reactor().callLater(self.switches.vm_lag_s, self.set_vms, vms)
        elif vms is not None:
            self.set_vms(vms)

    def restore(self, lost: int) -> None:
        """Return from a copy without the latest changes, and cut off the open watches."""
        self.objects.restore(lost)
        for request in list(self._watches):
            del self._watches[request]
            cast(Any, request.transport).abortConnection()

    def set_vms(self, rows: list[dict[str, Any]]) -> None:
        """Replace the list of VMs."""
        kind, _ = kind_and_name(VMS_PREFIX)
        by_name = {row["id"]: row for row in rows}
        for name in set(self.objects.by_kind[kind]) - set(by_name):
            self.objects.delete(kind, name, None)
        for name, row in by_name.items():
            spec = base64.b64encode(json.dumps(row).encode()).decode()
            body = {"metadata": {"name": name}, "spec": spec}
            if name in self.objects.by_kind[kind]:
                self.objects.replace(kind, name, body)
            else:
                self.objects.create(kind, body)
        self._answer_watches()

    def write(self, method: bytes, path: str, body: dict[str, Any]) -> Any:
        """Write as an operator or a backend server would; for tests."""
        result = self._write(method, path.strip("/").split("/")[1:], body, {})
        self._answer_watches()
        return result

    def _serve(self, request: Request) -> None:
        path = unquote(request.path.decode()).strip("/").split("/")
        if path == ["control"]:
            if request.method == b"POST":
                self.control(json.loads(_content(request)))
            switches = self.switches.model_dump()
            serving.send_json(request, {"switches": switches, "counts": dict(self.calls)})
            return
        if path == ["control", "history"]:
            states = self.objects.history(*kind_and_name(_query(request).get("name", "")))
            serving.send_json(request, {"values": states})
            return
        if path[0] != OBJECTS or len(path) < 2:
            raise CallError(404)
        writes = request.method != b"GET"
        self.calls["writes" if writes else "reads"] += 1
        self.calls[path[1]] += 1
        self.calls["old_reads"] += not writes and _query(request).get("allowStale") == "1"
        if self._in_outage(request):
            self._fail(request)
            return
        if not self._rate_limits[writes].acquire(_reactor().seconds()):
            raise CallError(429)
        body = _content(request)
        if self.switches.slow_s:
            _reactor().callLater(
                self.switches.slow_s, self._answer_delayed, request, path[1:], body
            )
        else:
            self._answer(request, path[1:], body)

    def _answer_delayed(self, request: Request, path: list[str], body: bytes) -> None:
        try:
            self._answer(request, path, body)
        except CallError as error:
            serving.send_json(request, error.body, error.status)

    def _in_outage(self, request: Request) -> bool:
        if self.switches.outage == "none":
            return False
        hosts = self.switches.only_hosts
        return not hosts or cast(Any, request).getClientAddress().host in hosts

    def _fail(self, request: Request) -> None:
        if self.switches.outage == "busy":
            raise CallError(503)
        if self.switches.outage == "reset":
            cast(Any, request.transport).abortConnection()

    def _answer(self, request: Request, path: list[str], body: bytes) -> None:
        if request.method == b"GET":
            self._read(request, path)
            return
        document = json.loads(body) if body else {}
        if self.switches.lose_answers:
            remaining = self.switches.lose_answers - 1
            self.switches = self.switches.model_copy(update={"lose_answers": remaining})
            _reactor().callLater(
                self.switches.late_s,
                self._write_unanswered,
                request.method,
                path,
                document,
                _query(request),
            )
            return
        result = self._write(request.method, path, document, _query(request))
        self._answer_watches()
        serving.send_json(request, result)

    def _write_unanswered(self, *call: Any) -> None:
        try:
            self._write(*call)
        except CallError:
            # The error is dropped because the switch leaves the write without an answer.
            return
        self._answer_watches()

    def _write(
        self, method: bytes, path: list[str], body: dict[str, Any], query: dict[str, str]
    ) -> Any:
        kind = path[0]
        if method == b"POST" and len(path) == 1:
            return self.objects.create(kind, body)
        if method == b"PUT" and len(path) == 2:
            return self.objects.replace(kind, path[1], body)
        if method == b"PUT" and path[2:] == ["status"]:
            return self.objects.replace(kind, path[1], body, status=True)
        if method == b"DELETE" and len(path) == 2:
            revision = query.get("revision")
            self.objects.delete(kind, path[1], int(revision) if revision else None)
            return {}
        raise CallError(400)

    def _read(self, request: Request, path: list[str]) -> None:
        query = _query(request)
        if len(path) == 2:
            found = self.objects.get(path[0], path[1], self.switches.stale_s)
            serving.send_json(request, found)
            return
        if "watch" not in query:
            after = query.get("after", "")
            page = self.objects.page(path[0], after, self.switches.stale_s)
            serving.send_json(request, page)
            return
        since, wait = int(query["watch"]), float(query.get("waitMs", "0")) / 1_000
        if wait <= 0.0 or self.objects.events(path[0], since):
            self._send_events(request, path[0], since)
            return
        self._watches[request] = (path[0], since)
        timer = _reactor().callLater(wait, self._watch_timed_out, request)
        request.notifyFinish().addBoth(self._disconnected, request, timer)

    def _watch_timed_out(self, request: Request) -> None:
        kind, since = self._watches.pop(request, ("", 0))
        if kind:
            self._send_events(request, kind, since)

    def _disconnected(self, _: object, request: Request, timer: Any) -> None:
        self._watches.pop(request, None)
        if timer.active():
            timer.cancel()

    def _answer_watches(self, all_kinds: bool = False) -> None:
        for request, (kind, since) in list(self._watches.items()):
            try:
                must_answer = all_kinds or bool(self.objects.events(kind, since))
            except CallError:
                must_answer = True
            if must_answer:
                del self._watches[request]
                self._send_events(request, kind, since)

    def _send_events(self, request: Request, kind: str, since: int) -> None:
        try:
            events = self.objects.events(kind, since)
        except CallError as error:
            serving.send_json(request, error.body, error.status)
            return
        page = {"events": events, "storeRevision": self.objects.revision}
        serving.send_json(request, page)


def _query(request: Request) -> dict[str, str]:
    arguments = cast(dict[bytes, list[bytes]], request.args)
    return {name.decode(): values[-1].decode() for name, values in arguments.items()}


def _content(request: Request) -> bytes:
    return cast(Any, request.content).read()  # type: ignore[no-any-return]


def _reactor() -> Any:
    from twisted.internet import reactor

    return reactor


def main() -> None:
    """Serve until SIGTERM."""
    parser = argparse.ArgumentParser(prog="standins.objectapi")
    parser.add_argument("--settings", help="JSON file with host and port")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=8080)
    arguments = parser.parse_args()
    host, port = arguments.host, arguments.port
    if arguments.settings:
        settings = load_settings(PlatformSettings, arguments.settings)
        host, port = settings.host, settings.port
    serving.run(lambda: print(serving.listen(ObjectApi(), host, port).getHost(), flush=True))


if __name__ == "__main__":
    main()
