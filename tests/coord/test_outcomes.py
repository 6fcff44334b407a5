"""Tests of the outcomes that a planned stop writes to the store."""

import unittest

from briarspur.coord.invariants import invariants
from briarspur.coord.keystates import KeptAnswer, MemoryFull
from briarspur.coord.outcomes import (
    FinishedOutcome,
    ForgottenOutcome,
    NeverRun,
    OnOtherPage,
    UnknownOutcome,
    close_and_export,
    read_outcome,
)
from tests.coord.test_once import ANSWER, DIGEST, HOME, LIFETIME, WALL, make_key, make_memory


class OutcomesTest(unittest.TestCase):
    """A repeat that arrives after its home has stopped still gets its answer."""

    def setUp(self) -> None:
        invariants.strict = True

    def test_each_state_is_exported_and_read_back(self) -> None:
        memory = make_memory()
        kept, dropped, lost, running, held = (make_key(name) for name in "abcde")
        for number, key in enumerate((kept, dropped, lost, running, held)):
            memory.admit_request(key, DIGEST, key.text, 0.0, WALL)
            if key is not held:
                memory.mark_dispatched(key, number)
        memory.mark_finished(kept, ANSWER, 1.0)
        memory.mark_finished(dropped, None, 1.0)
        memory.mark_lost(lost, 1.0)
        [page] = close_and_export(memory)
        self.assertEqual(page.name, f"outcomes/{HOME}")
        self.assertEqual(read_outcome(page.value, kept), FinishedOutcome(DIGEST, ANSWER))
        self.assertEqual(read_outcome(page.value, dropped), FinishedOutcome(DIGEST, None))
        self.assertEqual(read_outcome(page.value, lost), UnknownOutcome(DIGEST))
        self.assertEqual(read_outcome(page.value, running), UnknownOutcome(DIGEST))
        self.assertEqual(read_outcome(page.value, held), NeverRun())

    def test_nothing_is_accepted_after_the_export(self) -> None:
        """A key that is reported as never run must not be dispatched after the export."""
        memory = make_memory()
        close_and_export(memory)
        self.assertEqual(memory.admit_request(make_key(), DIGEST, "a", 0.0, WALL), MemoryFull())

    def test_reader_with_a_slow_clock_reports_a_removed_key_as_forgotten(self) -> None:
        """A passenger must not receive `not run` and book a second taxi.

        The key ran, expired and was removed before the stop. The reader's clock is behind, so the
        key seems unexpired to it, and the page does not contain the key.
        """
        memory = make_memory()
        key = make_key()
        memory.admit_request(key, DIGEST, "a", 0.0, WALL)
        memory.mark_dispatched(key, 1)
        memory.mark_finished(key, ANSWER, 1.0)
        memory.expire(700.0, WALL + LIFETIME + 100)
        [page] = close_and_export(memory)
        self.assertEqual(read_outcome(page.value, key), ForgottenOutcome())

    def test_pages_stay_below_the_object_size_limit(self) -> None:
        memory = make_memory(capacity=2_000, max_answer_bytes=4_000_000)
        answer = KeptAnswer(201, (), b"\x00" * 2_000)
        keys = [make_key(str(n)) for n in range(1_000)]
        for number, key in enumerate(keys):
            memory.admit_request(key, DIGEST, key.text, 0.0, WALL)
            memory.mark_dispatched(key, number)
            memory.mark_finished(key, answer, 0.0)
        values_by_name = {page.name: page.value for page in close_and_export(memory)}
        self.assertLess(max(len(value) for value in values_by_name.values()), 1_000_000)
        for key in keys:
            found = read_outcome(values_by_name[f"outcomes/{HOME}"], key)
            if isinstance(found, OnOtherPage):
                found = read_outcome(values_by_name[found.name], key)
            self.assertEqual(found, FinishedOutcome(DIGEST, answer))
