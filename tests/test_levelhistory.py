"""Tests of the stored service-level history."""

import unittest
from collections import Counter

from briarspur.collect import MinuteCounts
from briarspur.coord.errors import StoreError
from briarspur.latency import new_histogram
from briarspur.levelhistory import LevelHistory, hour_name
from briarspur.windows import HOUR_S, SLOT_S, Slot
from tests.fakes import FakeStore

NOW = 480_000 * HOUR_S


def minute_counts(start: int, good: int = 10, covered_s: float = 60.0) -> MinuteCounts:
    latency = new_histogram()
    latency.record_value(20_000, good)
    slot = Slot(start, good=good, bad=1, expected_s=60.0, covered_s=covered_s)
    slot.bad_by_code = Counter({2101: 1})
    slot.missing = Counter({f"e{n}: no answer": 1 for n in range(40)})
    return MinuteCounts(slot, latency)


class LevelHistoryTest(unittest.IsolatedAsyncioTestCase):
    """Minutes are stored once and with bounded size, also if the response to a write is lost."""

    def setUp(self) -> None:
        self.store = FakeStore()
        self.history = LevelHistory(self.store)

    async def test_written_minutes_are_read_back(self) -> None:
        for minute in range(90):
            await self.history.write("times", minute_counts(NOW - 5400 + minute * SLOT_S))
        series = await self.history.read("times", NOW)
        self.assertEqual(len(series.slots), 90)
        self.assertEqual(sum(slot.bad_by_code[2101] for slot in series.slots), 90)
        self.assertEqual(series.latency().get_total_count(), 900)
        self.assertEqual(series.latency_of_last_hour().get_total_count(), 610)
        self.assertEqual(len(series.slots[0].missing), 21)

    async def test_a_minute_collected_twice_counts_once(self) -> None:
        # Two collectors run after a failover, or a write is repeated because its response was lost.
        # Summing the two would double the counts.
        await self.history.write("times", minute_counts(NOW - SLOT_S, good=5, covered_s=30.0))
        await self.history.write("times", minute_counts(NOW - SLOT_S, good=10, covered_s=60.0))
        await self.history.write("times", minute_counts(NOW - SLOT_S, good=5, covered_s=30.0))
        [slot] = (await self.history.read("times", NOW)).slots
        self.assertEqual(slot.good, 10)

    async def test_a_write_with_a_lost_response_can_be_repeated(self) -> None:
        self.store.lost_answers = 1
        with self.assertRaises(StoreError):
            await self.history.write("times", minute_counts(NOW - SLOT_S))
        await self.history.write("times", minute_counts(NOW - SLOT_S))
        [slot] = (await self.history.read("times", NOW)).slots
        self.assertEqual(slot.good, 10)

    async def test_old_hours_are_deleted(self) -> None:
        await self.history.write("times", minute_counts(NOW - 73 * HOUR_S))
        await self.history.delete_expired("times", NOW)
        self.assertNotIn(hour_name("times", NOW // HOUR_S - 73), self.store.objects)
