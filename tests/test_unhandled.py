"""Tests that exceptions of callbacks are logged and counted."""

import asyncio
import unittest
from unittest import mock

from twisted.logger import Logger, globalLogPublisher
from twisted.python.failure import Failure

from briarspur import logs
from briarspur.unhandled import UnhandledErrors


class UnhandledErrorsTest(unittest.TestCase):
    """Guards against faults that show only as text which no check reads."""

    def setUp(self) -> None:
        self.event = self.enterContext(mock.patch.object(logs, "event"))
        self.loop = asyncio.new_event_loop()
        self.addCleanup(self.loop.close)
        self.errors = UnhandledErrors()
        self.errors.watch(self.loop)
        self.addCleanup(globalLogPublisher.removeObserver, self.errors.observe)

    def check(self) -> None:
        self.assertEqual(1, self.errors.count)
        fields = self.event.call_args.kwargs
        self.assertEqual("ValueError('lost')", fields["error"])
        self.assertIn(__file__, fields["place"])

    def test_an_exception_of_a_twisted_callback(self) -> None:
        try:
            raise ValueError("lost")
        except ValueError:
            Logger().failure("Unhandled Error", Failure())
        self.check()

    def test_an_exception_of_an_asyncio_callback(self) -> None:
        def fail() -> None:
            raise ValueError("lost")

        self.loop.set_debug(False)
        with self.assertLogs("asyncio"):
            self.loop.call_soon(fail)
            self.loop.run_until_complete(asyncio.sleep(0))
        self.check()

    def test_other_events_are_not_counted(self) -> None:
        Logger().info("connected")
        self.assertEqual(0, self.errors.count)
