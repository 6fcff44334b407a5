"""Tests of the counts of entries and of their conversion into counts per minute."""

import gc
import tracemalloc
import unittest
from collections.abc import Iterable

from briarspur.codes import Code
from briarspur.collect import Collector
from briarspur.latency import Histogram, decode, encode, merge, new_histogram, quantile, subtract
from briarspur.levels import LevelsDocument, ServiceLevelCounter

SERVICES = ["times"]


def make_counter(
    name: str = "e1", incarnation: str = "a", started: float = 0.0
) -> ServiceLevelCounter:
    counter = ServiceLevelCounter(name, incarnation, "north-a", started)
    counter.set_objectives({"times": 0.5})
    return counter


def report(counter: ServiceLevelCounter, now: float) -> LevelsDocument:
    return LevelsDocument.model_validate(counter.snapshot(now))


def histogram_of(values: Iterable[int]) -> Histogram:
    histogram = new_histogram()
    for value in values:
        histogram.record_value(value)
    return histogram


class LevelsTest(unittest.TestCase):
    """Classification of answers as good, bad or not counted."""

    def test_late_and_refused_answers_are_bad_and_caller_errors_are_not_counted(self) -> None:
        counter = make_counter()
        counter.record("times", "north", Code.ANSWERED, 0.5)
        counter.record("times", "north", Code.ANSWERED, 0.6)
        counter.record("times", "south", Code.REGION_FULL, 0.0)
        counter.record("times", "north", Code.BODY_TOO_LARGE, 0.0)
        counter.record("nowhere", "north", Code.ANSWERED, 0.0)
        service = report(counter, 1.0).services["times"]
        self.assertEqual(service.counts, {"north": {1000: (1, 1)}, "south": {2101: (0, 1)}})
        self.assertEqual(decode(service.latency).get_total_count(), 2)

    def test_histograms_are_merged_and_subtracted(self) -> None:
        first = histogram_of(range(1, 100))
        second = histogram_of(range(1000, 100_000, 1000))
        both = merge([encode(first), encode(second), ""])
        self.assertEqual(both.get_total_count(), 198)
        self.assertTrue(subtract(both, first).equals(second))
        with self.assertRaises(ValueError):
            subtract(first, second)
        self.assertIsNone(quantile(new_histogram(), 0.99))
        with self.assertRaises(ValueError):
            decode("not a histogram")


class MemoryTest(unittest.TestCase):
    """Merged histograms are freed immediately."""

    def test_merged_histograms_are_freed_without_the_cyclic_garbage_collector(self) -> None:
        # A collector reads thousands of histograms of 30 KB a minute. If reference cycles kept them
        # alive, they would reach hundreds of megabytes before Python's cyclic garbage collector
        # runs, and the VM would kill the process.
        text = encode(histogram_of(range(1, 100)))
        gc.collect()
        gc.disable()
        try:
            tracemalloc.start()
            merge([text] * 100)
            allocated, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            gc.enable()
        self.assertLess(allocated, 1_000_000)


class CollectorTest(unittest.TestCase):
    """Missing data is recorded with a reason and not covered."""

    def setUp(self) -> None:
        self.collector = Collector()

    def test_the_first_answer_of_an_old_process_is_only_a_baseline(self) -> None:
        counter = make_counter()
        counter.record("times", "north", Code.ANSWERED, 0.1)
        first = self.collector.collect(1000.0, SERVICES, [report(counter, 900.0)], {})["times"].slot
        self.assertEqual((first.good, first.covered_s), (0, 0.0))
        counter.record("times", "north", Code.ANSWERED, 0.1)
        counted = self.collector.collect(1060.0, SERVICES, [report(counter, 960.0)], {})["times"]
        self.assertEqual((counted.slot.good, counted.slot.covered_s), (1, 60.0))
        self.assertEqual(counted.latency.get_total_count(), 1)
        self.assertEqual(counted.slot.start, 960)

    def test_a_restart_loses_the_last_counts_and_reports_it(self) -> None:
        # An entry is replaced between two reads. Its last counts are lost, and the new process
        # starts at zero. A difference between the two would be negative or hide bad answers.
        counter = make_counter()
        for _ in range(50):
            counter.record("times", "north", Code.OUTCOME_UNKNOWN, 0.1)
        self.collector.collect(1000.0, SERVICES, [report(counter, 30.0)], {})
        restarted = make_counter(incarnation="b")
        restarted.record("times", "north", Code.NO_TARGET, 0.1)
        slot = self.collector.collect(1060.0, SERVICES, [report(restarted, 20.0)], {})["times"].slot
        self.assertEqual((slot.bad, slot.expected_s, slot.covered_s), (1, 60.0, 20.0))
        self.assertIn("e1: restarted, its last counts are lost", slot.missing)

    def test_an_entry_that_does_not_answer_covers_nothing(self) -> None:
        counter = make_counter()
        self.collector.collect(1000.0, SERVICES, [report(counter, 30.0)], {})
        slot = self.collector.collect(1060.0, SERVICES, [], {"e1": "no answer"})["times"].slot
        self.assertEqual((slot.expected_s, slot.covered_s), (60.0, 0.0))
        counter.record("times", "north", Code.ANSWERED, 0.1)
        slot = self.collector.collect(1120.0, SERVICES, [report(counter, 150.0)], {})["times"].slot
        self.assertEqual((slot.good, slot.covered_s), (1, 60.0))

    def test_decreasing_counts_are_discarded(self) -> None:
        counter = make_counter()
        counter.record("times", "north", Code.ANSWERED, 0.1)
        self.collector.collect(1000.0, SERVICES, [report(counter, 30.0)], {})
        slot = self.collector.collect(1060.0, SERVICES, [report(make_counter(), 90.0)], {})[
            "times"
        ].slot
        self.assertEqual((slot.covered_s, slot.good), (0.0, 0))
        counter.record("times", "north", Code.ANSWERED, 9.0)
        self.collector.collect(1120.0, SERVICES, [report(counter, 150.0)], {})
        decreased = make_counter()
        decreased.record("times", "north", Code.ANSWERED, 0.1)
        slot = self.collector.collect(1180.0, SERVICES, [report(decreased, 210.0)], {})[
            "times"
        ].slot
        self.assertEqual((slot.covered_s, slot.good, slot.bad), (0.0, 0, 0))

    def test_an_entry_that_is_gone_is_reported_as_missing_once(self) -> None:
        self.collector.collect(1000.0, SERVICES, [report(make_counter(), 30.0)], {})
        slot = self.collector.collect(1060.0, SERVICES, [], {})["times"].slot
        self.assertEqual(slot.missing["e1: gone, its last counts are lost"], 1)
        slot = self.collector.collect(1120.0, SERVICES, [], {})["times"].slot
        self.assertEqual(slot.expected_s, 0.0)
