"""Tests of the counts of further attempts."""

import unittest
from unittest.mock import patch

from briarspur.gateway.outcome import Outcome
from briarspur.gateway.repeatcounts import RepeatCounts, RepeatReason
from briarspur.gateway.work import Attempt
from tests.gateway.samples import begun, sent, steering


class RepeatCountsTest(unittest.TestCase):
    """Which attempts are counted, and for which reason."""

    def test_each_further_attempt_is_counted_by_its_reason(self) -> None:
        """Guards against repeats that can't be told apart by what caused them."""
        core = steering(5)
        work = begun(core)
        core.attempt_ended(sent(core, work), Outcome.REJECTED, 0.1)
        second = core.retry(work, Outcome.REJECTED, 0.1)
        assert isinstance(second, Attempt)
        core.attempt_ended(second, Outcome.NOT_SENT, 0.2)
        core.retry(work, Outcome.NOT_SENT, 0.2)
        overdue = begun(core, request_id="r-2")
        sent(core, overdue)
        core.hedge(overdue, 1.0)
        self.assertEqual({"info": {"failed": 1, "unsent": 1, "hedge": 1}}, core.repeats.by_service)

    def test_attempts_that_are_not_made_are_not_counted(self) -> None:
        core = steering(3)
        work = begun(core)
        core.attempt_ended(sent(core, work), Outcome.REJECTED, 0.1)
        core.retry(work, Outcome.REJECTED, work.deadline - 0.001)
        self.assertEqual({}, core.repeats.by_service)

    def test_counts_are_logged_once_a_second(self) -> None:
        counts = RepeatCounts()
        with patch("briarspur.gateway.repeatcounts.logs.event") as event:
            for at in (0.0, 0.4, 0.9, 1.1, 2.2):
                counts.record("info", RepeatReason.FAILED, at)
        logged = [call.kwargs["failed"] for call in event.call_args_list]
        self.assertEqual([3, 1], logged)
