"""Tests of the timeline of a request."""

import unittest

from briarspur.trace import read_timeline, timeline_text

LOG = """
  1.20 front-a time="2026-01-02 03:04:05.100" event=attempt request=r-1 target=t-1 warm=no
  1.21 front-a time="2026-01-02 03:04:05.150" level=INFO event=target-removed target=t-1
  1.22 front-b time="2026-01-02 03:04:05.160" level=INFO event=target-removed target=t-9
  1.25 front-a time="2026-01-02 03:04:05.600" event=attempt-ended request=r-1 target=t-1 \
outcome=lost detail="Connection reset"
  1.26 front-a time="2026-01-02 03:04:05.601" level=INFO event=failed request=r-1 code=3000
  1.27 front-a time="2026-01-02 03:04:05.700" level=INFO event=answered request=r-2 code=1000
not a log line
""".splitlines()


class TraceTest(unittest.TestCase):
    """A request's timeline is assembled from its id."""

    def test_a_timeline_has_the_lines_gaps_and_server_events_of_its_request(self) -> None:
        timeline = read_timeline("r-1", reversed(LOG))
        self.assertEqual(
            ["attempt", "attempt-ended", "failed"], [line.event for line in timeline.lines]
        )
        self.assertEqual(["t-1"], [line.fields["target"] for line in timeline.context])
        text = timeline_text(timeline)
        self.assertIn("0.500 s without a line", text)
        self.assertIn("outcome=lost", text)
        self.assertNotIn("r-2", text)

    def test_an_unknown_id_has_an_empty_timeline(self) -> None:
        self.assertIn("nothing in these logs", timeline_text(read_timeline("r-9", LOG)))
        sampled = [*LOG, 'x time="2026-01-02 03:04:06.000" event=log-sampling one_in=4']
        self.assertIn("left out", timeline_text(read_timeline("r-9", sampled)))
