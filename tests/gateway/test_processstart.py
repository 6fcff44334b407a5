"""Tests of the time since the start of a process."""

import unittest
from unittest.mock import patch

from briarspur.gateway import processstart


class ProcessStartTest(unittest.TestCase):
    """The duration is that since the recorded start."""

    def test_the_duration_counts_from_the_recorded_start(self) -> None:
        """Guards against quotas that count a window from the end of a long start."""
        with patch.object(processstart, "_started_at", []):
            self.assertEqual(0.0, processstart.start_duration())
            processstart.record_start()
            first = processstart.start_duration()
            self.assertGreaterEqual(first, 0.0)
            self.assertGreaterEqual(processstart.start_duration(), first)
