"""One request at a stand-in backend server, from the slot it takes to its answer."""

import re
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.web.server import Request

from standins.content import download_etag, download_part, download_size, small_answer

if TYPE_CHECKING:
    from standins.backend import Target

__all__ = ["Run", "abort", "header", "travel"]

PACE_S = 0.02
RANGE = re.compile(r"bytes=(\d+)-(\d*)")


class Run:
    """One request that occupies a slot, from its start to its answer or its end without one."""

    def __init__(self, target: "Target", request: Request) -> None:
        self.target = target
        self.request = request
        self.path = request.uri.decode()
        self.key = header(request, b"idempotency-key")
        self.delay = target.delay(request)
        self.timer: Any = None
        self.running = True
        request.notifyFinish().addErrback(lambda _: self.cancel())

    def start(self) -> None:
        """Occupy the slot until the service time has passed."""
        self.target.begin_run(self)
        seconds = self.target.work_seconds()
        left_ms = header(self.request, b"request-timeout-ms")
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
            travel(self.delay, self.request, lambda: abort(self.request))
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
            _reactor().callLater(PACE_S, abort, self.request)
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
            abort(self.request)
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


def _range(request: Request, size: int, etag: str) -> tuple[int, int]:
    """Return the first byte and the one after the last that the request asks for."""
    matched = RANGE.fullmatch(header(request, b"range") or "")
    condition = header(request, b"if-range")
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


def header(request: Request, name: bytes) -> str | None:
    """Return a header of a request, None if it has none."""
    value = request.getHeader(name)
    return value.decode("latin-1") if value is not None else None


def abort(request: Request) -> None:
    """Cut the connection of a request, unless its caller has gone."""
    if request.transport:
        request.transport.abortConnection()


def _reactor() -> Any:
    from twisted.internet import reactor

    return reactor
