"""Tests of the collection of service levels and of the burn report."""

import json
import unittest

from briarspur.burn import live_report, read_report
from briarspur.burncollect import BurnCollector, LevelsReader
from briarspur.burnreport import BurnReport, report_html, report_text
from briarspur.codes import Code
from briarspur.coord.store import ABSENT
from briarspur.levelhistory import LevelHistory
from briarspur.levels import ServiceLevelCounter
from briarspur.plots import Point, value_plot
from briarspur.printing import to_json
from briarspur.repository import PolicyRepository
from briarspur.windows import SLOT_S, Severity, current_split
from tests.examples import small_policy
from tests.fakes import FakeStore, skip_sleep
from tests.test_porcelain import FakeEntries

START = 28_800_000 * SLOT_S + 2.0


class BurnTest(unittest.IsolatedAsyncioTestCase):
    """Counts of entries are collected into the store and appear in the report."""

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        envelope = {"token": "t", "author": "", "note": "", "body": small_policy()}
        await self.store.put("policy", json.dumps(envelope).encode(), ABSENT)
        self.repository = PolicyRepository(self.store, skip_sleep)
        self.entries = FakeEntries(["e1", "<b>e2"])
        self.reader = LevelsReader(self.entries, self.entries)
        self.history = LevelHistory(self.store)
        self.now = START
        self.may_write = True
        self.collector = BurnCollector(
            self.repository, self.reader, self.history, lambda: self.may_write, lambda: self.now
        )
        self.levels = ServiceLevelCounter("e1", "a", "north-a", START - 1_000)
        self.levels.set_objectives({"times": 0.5, "booking": 0.5})

    async def collect_minute(self, good: int, bad: int) -> None:
        for _ in range(good):
            self.levels.record("times", "north", Code.ANSWERED, 0.02)
        for _ in range(bad):
            self.levels.record("times", "south", Code.REGION_FULL, 0.02)
        self.now += SLOT_S
        self.entries.answers["e1"] = self.levels.snapshot(self.now)
        await self.collector.collect()

    async def report(self) -> BurnReport:
        report = await read_report(self.repository, self.history, None, self.now)
        assert report is not None
        return report

    async def test_the_status_is_ready_only_after_a_recent_collection(self) -> None:
        self.assertFalse(self.collector.status().ready)
        await self.collect_minute(good=1, bad=0)
        self.assertTrue(self.collector.status().ready)
        self.now += 10 * SLOT_S
        self.assertFalse(self.collector.status().ready)

    async def test_the_report_names_the_worst_service_and_missing_data(self) -> None:
        for _ in range(7):
            await self.collect_minute(good=90, bad=10)
        report = await self.report()
        worst = report.services[0].burn
        self.assertEqual((worst.service, worst.severity), ("times", Severity.PAGE))
        self.assertEqual((worst.worst_regions[0][0], worst.worst_codes[0][0]), ("south", 2101))
        self.assertEqual(worst.windows[0].coverage, 0.5)
        self.assertIs(report.services[1].burn.severity, Severity.UNKNOWN)
        text = report_text(report)
        self.assertIn("missing: <b>e2: no answer (7 min)", text)
        self.assertIn("p99 20", text)
        json.loads(to_json(report))
        series = await self.history.read("times", self.now)
        self.assertEqual(current_split(series.slots, self.now), {"north": 0.9, "south": 0.1})

    async def test_the_page_is_self_contained_and_escaped(self) -> None:
        await self.collect_minute(good=5, bad=0)
        await self.collect_minute(good=5, bad=0)
        page = report_html(await self.report())
        self.assertIn("<svg", page)
        self.assertIn("&lt;b&gt;e2", page)
        for forbidden in ("<b>e2", "http:", "https:", "<script", "url("):
            self.assertNotIn(forbidden, page)

    async def test_minutes_are_kept_until_the_store_accepts_them(self) -> None:
        # The store is down for some minutes while requests are refused. If the collector dropped
        # these minutes, the report would omit the outage.
        await self.collect_minute(good=1, bad=0)
        self.store.lost_requests = 100
        await self.collect_minute(good=0, bad=4)
        self.store.lost_requests = 0
        await self.collect_minute(good=1, bad=0)
        report = await self.report()
        times = next(s.burn for s in report.services if s.burn.service == "times")
        self.assertEqual((times.windows[0].good, times.windows[0].bad), (1, 4))

    async def test_a_store_outage_does_not_hide_the_counts_of_entries(self) -> None:
        # The platform is down for two minutes while requests are refused. The collector continues
        # with its last policy and list of entries, and writes when the platform is available again.
        await self.collect_minute(good=1, bad=0)
        self.store.down = True
        await self.collect_minute(good=0, bad=4)
        await self.collect_minute(good=0, bad=3)
        self.store.down = False
        await self.collect_minute(good=1, bad=0)
        report = await self.report()
        times = next(s.burn for s in report.services if s.burn.service == "times")
        self.assertEqual((times.windows[0].good, times.windows[0].bad), (1, 7))

    async def test_a_change_of_collectors_neither_loses_nor_repeats_minutes(self) -> None:
        # One collector loses its lease, another collects for a while and is killed, then the first
        # takes over again. A difference from its old counts would repeat the other's minutes;
        # starting anew would lose the minutes around each change.
        other = BurnCollector(
            self.repository, self.reader, self.history, lambda: True, lambda: self.now
        )
        await self.collect_minute(good=1, bad=0)
        await other.collect()
        self.may_write = False
        await self.collect_minute(good=5, bad=0)
        await other.collect()
        await self.collect_minute(good=5, bad=2)
        await other.collect()
        await self.collect_minute(good=4, bad=1)
        self.may_write = True
        await self.collect_minute(good=1, bad=0)
        report = await self.report()
        times = next(s.burn for s in report.services if s.burn.service == "times")
        self.assertEqual((times.windows[0].good, times.windows[0].bad), (15, 3))

    async def test_a_live_report_shows_totals_without_a_collector(self) -> None:
        self.levels.record("times", "north", Code.ANSWERED, 0.02)
        self.entries.answers["e1"] = self.levels.snapshot(self.now)
        report = await live_report(self.repository, self.reader, self.now)
        assert report is not None
        times = next(s.burn for s in report.services if s.burn.service == "times")
        self.assertEqual((times.windows[0].good, times.severity), (1, Severity.UNKNOWN))


class PlotTest(unittest.TestCase):
    """A plot does not connect points across a gap."""

    def test_a_gap_interrupts_the_line(self) -> None:
        points = [Point(0, 1.0), Point(1, 2.0), Point(2, None), Point(3, 2.0), Point(4, 1.0)]
        self.assertEqual(value_plot("t", points, []).count("<polyline"), 2)
        self.assertIn("no data", value_plot("t", [Point(0, None)], []))
