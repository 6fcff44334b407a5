"""Tests of the memory of idempotency keys."""

import unittest

from briarspur.coord.errors import InvariantError
from briarspur.coord.invariants import invariants
from briarspur.coord.keys import Key, KeyFault, make_prefix, parse_key
from briarspur.coord.keystates import (
    Expired,
    Fresh,
    Full,
    Joined,
    KeptAnswer,
    KeyState,
    Lost,
    NotHome,
    NotIssued,
    Replay,
    Reused,
)
from briarspur.coord.once import KeyMemory
from briarspur.coord.proofs import NotRun, NotRunProof, OutcomeUnknown

HOME = "00000000000000aa"
WALL = 1_000_000.0
LIFETIME = 600.0
DIGEST = b"booking"
ANSWER = KeptAnswer(201, ((b"Content-Type", b"text/plain"),), b"booked")


def make_memory(capacity: int = 100, answer_bytes: int = 1_000) -> KeyMemory:
    return KeyMemory(HOME, capacity, LIFETIME, skew=5.0, answer_bytes=answer_bytes)


def make_key(name: str = "", expiry: float = WALL + LIFETIME, home: str = HOME) -> Key:
    return parse_key(f"{make_prefix(home, int(expiry))}.passenger{name}").ok


class ParseKeyTest(unittest.TestCase):
    """A key is ours to the letter, foreign, or malformed."""

    def test_own_key(self) -> None:
        key = make_key()
        self.assertEqual((key.incarnation, key.expiry), (HOME, int(WALL + LIFETIME)))

    def test_foreign_key(self) -> None:
        self.assertTrue(parse_key("8e03978e-40d5-43dd-bc93-6894a57f9324").ok.is_foreign)

    def test_damaged_key_of_ours_is_never_foreign(self) -> None:
        """A caller cuts or re-cases its key: it must not run beside the intact one at its home."""
        intact = make_key().text
        for text in (intact.upper(), intact[:-10], intact.replace(".", "-"), intact + "!"):
            self.assertIs(parse_key(text).error, KeyFault.BROKEN_PREFIX, text)

    def test_length_and_characters(self) -> None:
        self.assertIs(parse_key("short").error, KeyFault.TOO_SHORT)
        self.assertIs(parse_key("x" * 129).error, KeyFault.TOO_LONG)
        self.assertIs(parse_key("passenger\n1").error, KeyFault.NOT_PRINTABLE)


class KeyMemoryTest(unittest.TestCase):
    """A key is dispatched once, and its outcome is told to every caller."""

    def setUp(self) -> None:
        invariants.strict = True
        self.memory = make_memory()
        self.key = make_key()

    def arrive(self, request_id: str, key: Key | None = None, digest: bytes = DIGEST) -> object:
        return self.memory.arrive(key or self.key, digest, request_id, now=0.0, wall=WALL)

    def run_key(self) -> None:
        self.assertEqual(self.arrive("a"), Fresh())
        self.assertTrue(self.memory.dispatched(self.key, attempt_id=1))

    def test_repeat_joins_and_gets_the_same_answer(self) -> None:
        self.run_key()
        self.assertEqual(self.arrive("b"), Joined())
        self.assertEqual(self.memory.finished(self.key, ANSWER, 1.0), ("a", "b"))
        self.assertEqual(self.arrive("c"), Replay(ANSWER))

    def test_another_request_with_the_key_is_refused(self) -> None:
        self.run_key()
        self.assertEqual(self.arrive("b", digest=b"other"), Reused())

    def test_lost_outcome_is_never_run_again(self) -> None:
        self.run_key()
        self.assertEqual(self.memory.lost(self.key, 1.0), ("a",))
        self.assertEqual(self.arrive("b"), Lost())

    def test_second_dispatch_is_refused(self) -> None:
        self.run_key()
        with self.assertRaises(InvariantError):
            self.memory.dispatched(self.key, attempt_id=2)
        invariants.strict = False
        self.assertFalse(self.memory.dispatched(self.key, attempt_id=2))

    def test_given_up_before_dispatch_it_may_be_tried_afresh(self) -> None:
        self.arrive("a")
        outcome = self.memory.not_run(self.key)
        assert isinstance(outcome, NotRun)
        self.assertEqual(outcome.request_ids, ("a",))
        self.assertEqual(self.arrive("b"), Fresh())

    def test_not_run_after_dispatch_needs_the_proof_of_that_attempt(self) -> None:
        """A caller is told `not run` while a backend server books its taxi.

        The first attempt is not sent, the second is; the first one's event comes once more.
        Its proof says nothing about the second attempt.
        """
        self.run_key()
        self.assertTrue(self.memory.retry(self.key, NotRunProof.not_sent(1)))
        self.assertTrue(self.memory.dispatched(self.key, attempt_id=2))
        late = self.memory.not_run(self.key, NotRunProof.not_sent(1))
        self.assertEqual(late, OutcomeUnknown())
        self.assertIs(self.memory.state(self.key), KeyState.DISPATCHED)
        with self.assertRaises(InvariantError):
            self.memory.not_run(self.key)
        invariants.strict = False
        self.memory = make_memory()
        self.run_key()
        self.assertEqual(self.memory.not_run(self.key), OutcomeUnknown(("a",)))
        self.assertEqual(self.arrive("b"), Lost())

    def test_statements_cannot_be_made_without_proof(self) -> None:
        with self.assertRaises(TypeError):
            NotRun(object(), ())
        with self.assertRaises(TypeError):
            NotRunProof(object(), 1, "I think so")

    def test_callers_that_leave(self) -> None:
        self.arrive("a")
        self.arrive("b")
        self.assertIsNone(self.memory.leave("a"))
        self.assertEqual(self.memory.leave("b"), self.key)

    def test_other_home_and_forged_expiry(self) -> None:
        away = make_key(home="00000000000000bb")
        self.assertEqual(self.arrive("a", away), NotHome("00000000000000bb"))
        far = make_key(expiry=WALL + LIFETIME + 6)
        self.assertEqual(self.arrive("a", far), NotIssued())

    def test_foreign_key_is_dispatched_only_once_claimed(self) -> None:
        self.key = Key("a-key-of-the-caller")
        self.arrive("a")
        invariants.strict = False
        self.assertFalse(self.memory.dispatched(self.key, attempt_id=1))
        self.memory.claimed(self.key)
        self.assertIsInstance(self.memory.not_run(self.key), NotRun)
        self.assertEqual(self.arrive("b"), Fresh(claimed=True))
        self.assertTrue(self.memory.dispatched(self.key, attempt_id=1))


class HomeKilledTest(unittest.TestCase):
    """A key outlives the process that could run it."""

    def test_home_is_killed_between_dispatch_and_answer(self) -> None:
        """A passenger's taxi is booked, no answer comes, and a repeat must not book another.

        The home is killed after the dispatch. Its successor on the same VM has an empty memory
        and would take the key for a new one, had it the same incarnation.
        """
        invariants.strict = True
        key = make_key()
        home = make_memory()
        self.assertEqual(home.arrive(key, DIGEST, "a", 0.0, WALL), Fresh())
        self.assertTrue(home.dispatched(key, attempt_id=1))
        for incarnation in ("00000000000000bb", "00000000000000cc"):
            successor = KeyMemory(incarnation, 100, LIFETIME, skew=5.0)
            found = successor.arrive(key, DIGEST, "b", 1.0, WALL + 1)
            self.assertEqual(found, NotHome(HOME))


class BoundTest(unittest.TestCase):
    """The memory is bounded, and forgetting never lets a key run again."""

    def setUp(self) -> None:
        invariants.strict = True

    def test_full_memory_refuses_new_keys_and_evicts_none(self) -> None:
        memory = make_memory(capacity=2)
        keys = [make_key(str(n)) for n in range(3)]
        found = [memory.arrive(key, DIGEST, key.text, 0.0, WALL) for key in keys]
        self.assertEqual(found, [Fresh(), Fresh(), Full()])
        later = memory.arrive(keys[2], DIGEST, "x", 700.0, WALL + 700)
        self.assertEqual(later, Expired())

    def test_wall_clock_that_steps_back_revives_no_key(self) -> None:
        """A passenger's repeat books a second taxi.

        The key expires and is forgotten, then the VM's clock is set back by an hour: by the wall
        clock the key looks unexpired and new.
        """
        memory = make_memory()
        key = make_key()
        memory.arrive(key, DIGEST, "a", 0.0, WALL)
        memory.dispatched(key, 1)
        memory.finished(key, ANSWER, 1.0)
        self.assertEqual(memory.expire(700.0, WALL + 700), 1)
        again = memory.arrive(key, DIGEST, "b", 701.0, WALL + 701 - 3_600)
        self.assertEqual(again, Expired())

    def test_running_key_outlives_its_expiry(self) -> None:
        memory = make_memory()
        key = make_key()
        memory.arrive(key, DIGEST, "a", 0.0, WALL)
        memory.dispatched(key, 1)
        self.assertEqual(memory.expire(700.0, WALL + 700), 0)
        self.assertEqual(memory.finished(key, ANSWER, 701.0), ("a",))
        self.assertEqual(memory.expire(701.0, WALL + 701), 1)

    def test_old_answers_are_dropped_before_their_keys(self) -> None:
        memory = make_memory(answer_bytes=2 * ANSWER.size)
        keys = [make_key(str(n)) for n in range(3)]
        for n, key in enumerate(keys):
            memory.arrive(key, DIGEST, key.text, 0.0, WALL)
            memory.dispatched(key, n)
            memory.finished(key, ANSWER, 0.0)
        found = [memory.arrive(key, DIGEST, "again", 0.0, WALL) for key in keys]
        self.assertEqual(found, [Replay(None), Replay(ANSWER), Replay(ANSWER)])

    def test_refused_requests_leave_nothing_behind(self) -> None:
        memory = make_memory()
        for n in range(1_000):
            key = make_key(str(n))
            memory.arrive(key, DIGEST, "a", 0.0, WALL)
            memory.not_run(key)
        self.assertEqual(len(memory), 0)
        self.assertLess(len(memory._expiries), 100)
