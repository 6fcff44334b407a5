"""Tests of the link pacer."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.link import BURST_S, LinkPacer
from briarspur.messages import Priority

RATE = 1_000_000.0
CHUNK = 65_536


def bytes_sent(pacer: LinkPacer, priority: Priority, seconds: float) -> int:
    """Return the bytes sent by a sender that only pauses as the pacer requires."""
    now, sent = 0.0, 0
    while now < seconds:
        sent += CHUNK
        now += pacer.charge(priority, CHUNK, now)
    return sent


class LinkPacerTest(unittest.TestCase):
    """An entry stays within its share of a link."""

    def test_downloads_leave_the_reserved_part_free(self) -> None:
        """Guards against small responses that wait behind downloads.

        Downloads use their entire part of a region's link; a small response must not be delayed.
        """
        pacer = LinkPacer(RATE, 0.2, 0.0)
        sent = bytes_sent(pacer, Priority.DOWNLOAD, 10.0)
        self.assertLessEqual(sent, RATE * 0.8 * (10.0 + BURST_S) + CHUNK)
        self.assertEqual(pacer.charge(Priority.INTERACTIVE, 10_000, 10.0), 0.0)

    def test_small_responses_may_use_the_full_rate_but_no_more(self) -> None:
        sent = bytes_sent(LinkPacer(RATE, 0.2, 0.0), Priority.INTERACTIVE, 10.0)
        self.assertLessEqual(sent, RATE * (10.0 + BURST_S) + CHUNK)
        self.assertGreater(sent, RATE * 9.0)

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.lists(st.tuples(st.sampled_from(Priority), st.integers(1, CHUNK)), max_size=200))
    def test_any_mix_stays_within_the_rate(self, pieces: list[tuple[Priority, int]]) -> None:
        pacer, now, sent = LinkPacer(RATE, 0.2, 0.0), 0.0, 0
        for priority, size in pieces:
            sent += size
            now += pacer.charge(priority, size, now)
        self.assertLessEqual(sent, RATE * (now + BURST_S) + CHUNK)

    def test_a_lower_rate_applies_to_the_existing_backlog(self) -> None:
        pacer = LinkPacer(RATE, 0.2, 0.0)
        pacer.charge(Priority.DOWNLOAD, 1_000_000, 0.0)
        pacer.set_rate(RATE / 10, 0.2, 0.0)
        self.assertGreater(pacer.backlog(Priority.DOWNLOAD, 0.0), 9.0)
