"""Tests of the log stream."""

import fcntl
import os
import time
import unittest

from briarspur.logsink import BoundedSink

LINE = "event=x " + "y" * 91 + "\n"


class BoundedSinkTest(unittest.TestCase):
    """A reader that stops does not block the writer."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def read(self) -> bytes:
        flags = fcntl.fcntl(self.reader, fcntl.F_GETFL)
        fcntl.fcntl(self.reader, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        out = b""
        while True:
            try:
                part = os.read(self.reader, 65_536)
            except BlockingIOError:
                return out
            out += part

    def test_a_reader_that_stops_does_not_block_writes(self) -> None:
        """The log collector that reads standard output hangs while requests are served.

        With a blocking stream, the write of a log line would wait for it in the only thread of the
        process, and so would every request and every status check.
        """
        sink = BoundedSink(self.writer, max_buffered_bytes=10_000)
        began = time.monotonic()
        for _ in range(5_000):
            sink.write(LINE)
        self.assertLess(time.monotonic() - began, 5.0)
        self.assertGreater(sink.dropped, 4_000)

    def test_lines_are_written_whole_and_dropped_lines_are_counted(self) -> None:
        sink = BoundedSink(self.writer, max_buffered_bytes=1_000)
        for _ in range(2_000):
            sink.write(LINE)
        out = self.read()
        while True:
            sink.flush()
            part = self.read()
            if not part:
                break
            out += part
        lines = out.decode().splitlines(keepends=True)
        self.assertEqual(f"event=log-lines-dropped lines={sink.dropped}\n", lines[-1])
        self.assertEqual({LINE}, set(lines[:-1]))
        self.assertEqual(2_000, len(lines) - 1 + sink.dropped)
