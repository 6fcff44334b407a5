"""Execution of one request at a stand-in backend server."""

import re
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.web.server import Request

from standins.content import download_etag, download_part, download_size, small_body

if TYPE_CHECKING:
    from standins.backend import Target

__all__ = ["Run", "abort", "header", "call_after_delay"]

SEND_INTERVAL_S = 0.02
RANGE = re.compile(r"bytes=(\d+)-(\d*)")


class Run:
    """One request that occupies a slot until it is answered, cancelled or expired."""

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
        """Occupy a slot for the service time, or until the deadline if that is earlier."""
        self.target.begin_run(self)
        seconds = self.target.work_seconds()
        timeout_ms = header(self.request, b"request-timeout-ms")
        if timeout_ms and timeout_ms.isdigit() and int(timeout_ms) / 1000 < seconds:
            self.timer = _reactor().callLater(int(timeout_ms) / 1000, self.expire)
        else:
            self.timer = _reactor().callLater(seconds, self.answer)

    def cancel(self) -> None:
        """Stop the work and release the slot, because the caller disconnected."""
        if not self.running:
            return
        self.target.counts.cancelled += 1
        self._release_slot()

    def expire(self) -> None:
        """Stop the work without recording it, because the deadline passed; answer 504."""
        self.target.counts.expired += 1
        self._release_slot()
        self.request.setResponseCode(504)
        self.target.add_headers(self.request)
        self.request.setHeader(b"content-length", b"0")
        call_after_delay(self.delay, self.request, self.request.finish)

    def answer(self) -> None:
        """Finish the work: record a booking first, then answer."""
        if self.key and self.request.method == b"POST":
            self.target.backend.ledger.record(self.key, self.target.settings.target_id)
        self.target.counts.ended += 1
        if self.target.consume_fault("lose_answers"):
            self._release_slot()
            call_after_delay(self.delay, self.request, lambda: abort(self.request))
            return
        self.target.add_headers(self.request)
        size = download_size(self.path)
        if size is None:
            self._release_slot()
            call_after_delay(self.delay, self.request, self._answer_small)
        else:
            self._answer_download(size)

    def _answer_small(self) -> None:
        body = small_body(self.path, self.key)
        self.request.setHeader(b"content-type", b"application/json")
        self.request.setHeader(b"content-length", str(len(body)).encode())
        if self.target.consume_fault("cut_answers"):
            self.request.write(body[: len(body) // 2])
            _reactor().callLater(SEND_INTERVAL_S, abort, self.request)
            return
        if self.request.method != b"HEAD":
            self.request.write(body)
        self.request.finish()

    def _answer_download(self, size: int) -> None:
        """Send the content, or the requested range if If-Range matches."""
        etag = download_etag(self.path)
        start, end = _range(self.request, size, etag)
        if (start, end) != (0, size):
            self.request.setResponseCode(206)
            self.request.setHeader(b"content-range", f"bytes {start}-{end - 1}/{size}".encode())
        self.request.setHeader(b"etag", etag.encode())
        self.request.setHeader(b"accept-ranges", b"bytes")
        self.request.setHeader(b"content-type", b"application/octet-stream")
        self.request.setHeader(b"content-length", str(end - start).encode())
        truncate_at = (start + end) // 2 if self.target.consume_fault("cut_answers") else None
        call_after_delay(self.delay, self.request, lambda: self._send(start, end, truncate_at))

    def _send(self, at: int, end: int, truncate_at: int | None) -> None:
        """Send one step of a paced download; the slot is occupied until the last byte."""
        if not self.running:
            return
        if truncate_at is not None and at >= truncate_at:
            abort(self.request)
            return
        step = max(1, int(self.target.service_time.bytes_per_s * SEND_INTERVAL_S))
        part = download_part(self.path, at, min(end, at + step))
        self.target.counts.bytes_sent += len(part)
        self.request.write(part)
        if at + len(part) < end:
            self.timer = _reactor().callLater(
                SEND_INTERVAL_S, self._send, at + len(part), end, truncate_at
            )
            return
        self.request.finish()
        self._release_slot()

    def _release_slot(self) -> None:
        if not self.running:
            return
        self.running = False
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.target.end_run(self)


def _range(request: Request, size: int, etag: str) -> tuple[int, int]:
    """Return the start and exclusive end of the requested range, or of the complete content."""
    matched = RANGE.fullmatch(header(request, b"range") or "")
    condition = header(request, b"if-range")
    if not matched or (condition and condition != etag) or int(matched[1]) >= size:
        return 0, size
    end = int(matched[2]) + 1 if matched[2] else size
    return int(matched[1]), min(end, size)


def call_after_delay(delay: float, request: Request, callback: Callable[[], None]) -> None:
    """Call ``callback`` after a network delay, unless the request disconnects meanwhile."""
    if delay <= 0:
        callback()
        return

    def delay_passed() -> None:
        if request.transport and not request._disconnected:
            callback()

    _reactor().callLater(delay, delay_passed)


def header(request: Request, name: bytes) -> str | None:
    """Return a header of a request, or None if it is absent."""
    value = request.getHeader(name)
    return value.decode("latin-1") if value is not None else None


def abort(request: Request) -> None:
    """Abort the connection of a request unless it is already closed."""
    if request.transport:
        request.transport.abortConnection()


def _reactor() -> Any:
    from twisted.internet import reactor

    return reactor
