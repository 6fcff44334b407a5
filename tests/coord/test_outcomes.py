"""Tests of the outcomes that a planned stop leaves in the store."""

import unittest

from briarspur.coord.invariants import invariants
from briarspur.coord.keystates import KeptAnswer, MemoryFull
from briarspur.coord.outcomes import (
    FinishedOutcome,
    ForgottenOutcome,
    NeverRun,
    UnknownOutcome,
    WrongPage,
    outcomes_of,
    read_outcome,
)
from tests.coord.test_once import ANSWER, DIGEST, HOME, LIFETIME, WALL, make_key, make_memory


class OutcomesTest(unittest.TestCase):
    """A repeat that comes after its home has stopped still gets its answer."""

    def setUp(self) -> None:
        invariants.strict = True

    def test_each_state_is_told_as_it_was(self) -> None:
        memory = make_memory()
        kept, dropped, lost, running, held = (make_key(name) for name in "abcde")
        for number, key in enumerate((kept, dropped, lost, running, held)):
            memory.admit_request(key, DIGEST, key.text, 0.0, WALL)
            if key is not held:
                memory.mark_dispatched(key, number)
        memory.mark_finished(kept, ANSWER, 1.0)
        memory.mark_finished(dropped, None, 1.0)
        memory.mark_lost(lost, 1.0)
        [page] = outcomes_of(memory)
        self.assertEqual(page.name, f"outcomes/{HOME}")
        self.assertEqual(read_outcome(page.value, kept), FinishedOutcome(DIGEST, ANSWER))
        self.assertEqual(read_outcome(page.value, dropped), FinishedOutcome(DIGEST, None))
        self.assertEqual(read_outcome(page.value, lost), UnknownOutcome(DIGEST))
        self.assertEqual(read_outcome(page.value, running), UnknownOutcome(DIGEST))
        self.assertEqual(read_outcome(page.value, held), NeverRun())

    def test_nothing_is_accepted_after_they_were_taken(self) -> None:
        """`Never run` is told of a key that the stopping entry dispatches a moment later."""
        memory = make_memory()
        outcomes_of(memory)
        self.assertEqual(memory.admit_request(make_key(), DIGEST, "a", 0.0, WALL), MemoryFull())

    def test_reader_whose_clock_is_behind(self) -> None:
        """A passenger told `not run` books a second taxi.

        The key ran, expired and was forgotten before the stop. The reader's clock is behind, so
        to it the key is unexpired, and the page does not name it.
        """
        memory = make_memory()
        key = make_key()
        memory.admit_request(key, DIGEST, "a", 0.0, WALL)
        memory.mark_dispatched(key, 1)
        memory.mark_finished(key, ANSWER, 1.0)
        memory.expire(700.0, WALL + LIFETIME + 100)
        [page] = outcomes_of(memory)
        self.assertEqual(read_outcome(page.value, key), ForgottenOutcome())

    def test_pages_stay_below_the_size_of_an_object(self) -> None:
        memory = make_memory(capacity=2_000, max_answer_bytes=4_000_000)
        answer = KeptAnswer(201, (), b"\x00" * 2_000)
        keys = [make_key(str(n)) for n in range(1_000)]
        for number, key in enumerate(keys):
            memory.admit_request(key, DIGEST, key.text, 0.0, WALL)
            memory.mark_dispatched(key, number)
            memory.mark_finished(key, answer, 0.0)
        values_by_name = {page.name: page.value for page in outcomes_of(memory)}
        self.assertLess(max(len(value) for value in values_by_name.values()), 1_000_000)
        for key in keys:
            found = read_outcome(values_by_name[f"outcomes/{HOME}"], key)
            if isinstance(found, WrongPage):
                found = read_outcome(values_by_name[found.name], key)
            self.assertEqual(found, FinishedOutcome(DIGEST, answer))
