"""The verdict over ledgers: what counts as lost, doubled, or run though refused."""

import unittest

from standins.callreport import Fate, Outcome, Report, judge


class JudgeTest(unittest.TestCase):
    """Each kind of fault is found by its key."""

    def test_faults_are_found(self) -> None:
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
        verdict = judge(report, ledgers)
        self.assertEqual(verdict.doubled, ["twice"])
        self.assertEqual(verdict.lost, ["lost"])
        self.assertEqual(verdict.run_though_refused, ["ran"])
        self.assertFalse(verdict.holds)

    def test_reports_add_up_after_a_trip_through_json(self) -> None:
        one = Report()
        one.final("times", 1000, Outcome.ANSWERED)
        one.answered("times", 0.25)
        total = Report()
        total.add(Report.load(one.dump()))
        total.add(Report.load(one.dump()))
        self.assertEqual(total.total(Outcome.ANSWERED, "times"), 2)
        self.assertAlmostEqual(total.milliseconds("times", 50), 250, delta=1)
