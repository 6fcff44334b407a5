"""Tests that the work of an entry per request and per change stays independent of its fleet."""

import unittest
from unittest.mock import patch

from briarspur.gateway import steering as steering_module
from briarspur.gateway.coldstart import cold_bucket
from briarspur.gateway.outcome import Outcome
from tests.gateway.samples import begun, registration, sent, steering


class ColdServerTest(unittest.TestCase):
    """The entries that may send to a cold server are determined once."""

    def test_requests_do_not_rank_the_entries_again(self) -> None:
        """Guards against entries that rank the whole fleet for each cold server and request."""
        core = steering(targets=1)
        core.targets.registered(registration("cold", cold_s=100.0), 0.0)
        core.set_live_entries(["entry-1", *(f"other-{number}" for number in range(80))])
        with patch.object(steering_module, "cold_bucket", side_effect=cold_bucket) as ranked:
            for number in range(20):
                attempt = sent(core, begun(core, now=float(number)), float(number))
                core.attempt_ended(attempt, Outcome.ANSWERED, number + 0.1)
        self.assertEqual(1, ranked.call_count)
