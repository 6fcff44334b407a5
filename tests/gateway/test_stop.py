"""Tests that a gateway which is stopped serves its callers first, with real processes."""

import asyncio
import signal
import tempfile
import time
import unittest
from dataclasses import dataclass, field
from pathlib import Path

from tools.faultsoak import FaultSoak
from tools.soakparts import ONCE

GRACE_S = 6.0
BODY = b"b" * 20
ENDS_AFTER_S = (1.0, 2.9, 3.02, 3.06, 3.5, 4.2)
"""When the bodies of uploads end, after the signal; no exchange is open for most of the time."""
NEVER = 60.0
PATIENCE_MS = 8_000
FURTHER_SIGNALS = ((signal.SIGTERM, 0.3), (signal.SIGHUP, 0.9), (signal.SIGTERM, 3.03))
"""Signals after the first SIGTERM, and seconds from it."""


@dataclass
class Upload:
    """An upload that begins before the gateway is stopped, and what its caller saw."""

    ends_after: float
    request_id: str = field(init=False)
    status: int = 0
    answered_after: float = 0.0

    def __post_init__(self) -> None:
        self.request_id = f"{ONCE}-{self.ends_after}"


class StopRun(FaultSoak):
    """A run that stops its only gateway while callers upload."""

    further_signals: tuple[tuple[signal.Signals, float], ...] = ()

    def __init__(self, folder: Path, ends_after: tuple[float, ...]) -> None:
        super().__init__(1, 0.0, 1, folder, callers=0)
        self.uploads = [Upload(seconds) for seconds in ends_after]
        self.exit_code: int | None = None
        self.stopped_after = 0.0

    async def _inject_faults(self, until: float) -> None:
        signalled_at = time.monotonic() + 0.5
        tasks = [asyncio.ensure_future(self._send(u, signalled_at)) for u in self.uploads]
        await asyncio.sleep(signalled_at - time.monotonic())
        self._launcher.signal("g0", signal.SIGTERM)
        for number, after in self.further_signals:
            await asyncio.sleep(signalled_at + after - time.monotonic())
            self._launcher.signal("g0", number)
        while self._launcher.is_alive("g0"):
            await asyncio.sleep(0.02)
        self.stopped_after = time.monotonic() - signalled_at
        self.exit_code = self._launcher.wait("g0", 1.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send(self, upload: Upload, signalled_at: float) -> None:
        gateway = self.deployment.gateways["g0"]
        reader, writer = await asyncio.open_connection(gateway["host"], gateway["caller"])
        head = (
            f"POST /base/{ONCE}/ HTTP/1.1\r\nHost: quay.example\r\n"
            f"X-Request-Id: {upload.request_id}\r\nX-Deadline-Ms: {PATIENCE_MS}\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n"
        )
        writer.write(head.encode() + BODY[:10])
        reply = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
        ends_at = signalled_at + upload.ends_after
        await asyncio.wait([reply], timeout=ends_at - time.monotonic())
        writer.write(BODY[10:])
        upload.status = int((await reply).split()[1])
        upload.answered_after = time.monotonic() - signalled_at
        writer.close()


class StopTest(unittest.TestCase):
    """From SIGTERM until the process ends."""

    def stop(
        self,
        ends_after: tuple[float, ...],
        further_signals: tuple[tuple[signal.Signals, float], ...] = (),
    ) -> StopRun:
        with tempfile.TemporaryDirectory() as folder:
            run = StopRun(Path(folder), ends_after)
            run.further_signals = further_signals
            asyncio.run(run.run())
            self.runs = run.deployment.runs()
        self.assertEqual(0, run.exit_code)
        self.assertLess(run.stopped_after, GRACE_S)
        return run

    def test_uploads_that_end_after_the_signal_are_answered(self) -> None:
        """Guards against a process that ends while it passes on uploads it has just read."""
        uploads = self.stop(ENDS_AFTER_S).uploads
        self.assertEqual([200] * len(uploads), [upload.status for upload in uploads])

    def test_further_signals_do_not_shorten_the_stop(self) -> None:
        """Guards against a second signal that ends a process which still serves its callers."""
        uploads = self.stop(ENDS_AFTER_S, FURTHER_SIGNALS).uploads
        self.assertEqual([200] * len(uploads), [upload.status for upload in uploads])

    def test_an_upload_that_does_not_end_in_time_is_refused_and_not_run(self) -> None:
        """Guards against connections that close without a response as the process ends."""
        upload = self.stop((NEVER,)).uploads[0]
        self.assertEqual(503, upload.status)
        self.assertNotIn(upload.request_id, self.runs)

    def test_a_process_without_work_ends_early(self) -> None:
        self.assertLess(self.stop(()).stopped_after, 4.5)
