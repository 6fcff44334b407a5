"""Detection of bookings that were lost, run twice, or run although they were refused."""

import unittest

from standins.callreport import Fate, Outcome, Report, check_bookings


class CheckBookingsTest(unittest.TestCase):
    """Each kind of fault is reported with its key."""

    def test_each_kind_of_fault_is_reported(self) -> None:
        report = Report()
        report.fates_by_key = {
            "fine": Fate.CONFIRMED.value,
            "twice": Fate.UNKNOWN.value,
            "lost": Fate.CONFIRMED.value,
            "ran": Fate.NOT_RUN.value,
            "not-run": Fate.NOT_RUN.value,
        }
        ledgers = [
            {"runs_by_key": {"fine": ["a"], "twice": ["a"]}},
            {"runs_by_key": {"twice": ["b"], "ran": ["b"]}},
        ]
        verdict = check_bookings(report, ledgers)
        self.assertEqual(verdict.doubled, ["twice"])
        self.assertEqual(verdict.lost, ["lost"])
        self.assertEqual(verdict.run_though_refused, ["ran"])
        self.assertFalse(verdict.is_ok)

    def test_reports_can_be_added_after_a_json_round_trip(self) -> None:
        one = Report()
        one.count_final("times", 1000, Outcome.ANSWERED)
        one.record_latency("times", 0.25)
        total = Report()
        total.add(Report.load(one.dump()))
        total.add(Report.load(one.dump()))
        self.assertEqual(total.total(Outcome.ANSWERED, "times"), 2)
        self.assertAlmostEqual(total.latency_ms("times", 50), 250, delta=1)
