"""Tests of parsing and remembering idempotency keys."""

import unittest

from briarspur.coord.errors import InvariantError
from briarspur.coord.invariants import invariants
from briarspur.coord.keys import Key, KeyFault, make_prefix, parse_key
from briarspur.coord.keystates import (
    Expired,
    Fresh,
    Joined,
    KeptAnswer,
    KeyReused,
    KeyState,
    MemoryFull,
    NotHome,
    NotIssued,
    OutcomeLost,
    Replay,
)
from briarspur.coord.once import KeyMemory
from briarspur.coord.proofs import NotRun, NotRunProof, OutcomeUnknown

HOME = "00000000000000aa"
WALL = 1_000_000.0
LIFETIME = 600.0
DIGEST = b"booking"
ANSWER = KeptAnswer(201, ((b"Content-Type", b"text/plain"),), b"booked")


def make_memory(capacity: int = 100, max_answer_bytes: int = 1_000) -> KeyMemory:
    return KeyMemory(HOME, capacity, LIFETIME, skew=5.0, max_answer_bytes=max_answer_bytes)


def make_key(name: str = "", expiry: float = WALL + LIFETIME, home: str = HOME) -> Key:
    return parse_key(f"{make_prefix(home, int(expiry))}.passenger{name}").ok


class ParseKeyTest(unittest.TestCase):
    """A text is a well-formed issued key, a foreign key, or malformed."""

    def test_issued_key_is_parsed(self) -> None:
        key = make_key()
        self.assertEqual((key.incarnation, key.expiry), (HOME, int(WALL + LIFETIME)))

    def test_other_text_is_a_foreign_key(self) -> None:
        self.assertTrue(parse_key("8e03978e-40d5-43dd-bc93-6894a57f9324").ok.is_foreign)

    def test_damaged_issued_key_is_never_foreign(self) -> None:
        """A truncated or re-cased key must not run in addition to the intact key at its home."""
        intact = make_key().text
        for text in (intact.upper(), intact[:-10], intact.replace(".", "-"), intact + "!"):
            self.assertIs(parse_key(text).error, KeyFault.BROKEN_PREFIX, text)

    def test_length_and_characters_are_checked(self) -> None:
        self.assertIs(parse_key("short").error, KeyFault.TOO_SHORT)
        self.assertIs(parse_key("x" * 129).error, KeyFault.TOO_LONG)
        self.assertIs(parse_key("passenger\n1").error, KeyFault.NOT_PRINTABLE)


class KeyMemoryTest(unittest.TestCase):
    """A key is dispatched once, and every caller receives its outcome."""

    def setUp(self) -> None:
        invariants.strict = True
        self.memory = make_memory()
        self.key = make_key()

    def admit(self, request_id: str, key: Key | None = None, digest: bytes = DIGEST) -> object:
        return self.memory.admit_request(key or self.key, digest, request_id, now=0.0, wall=WALL)

    def dispatch_key(self) -> None:
        self.assertEqual(self.admit("a"), Fresh())
        self.assertTrue(self.memory.mark_dispatched(self.key, attempt_id=1))

    def test_repeat_joins_and_gets_the_same_answer(self) -> None:
        self.dispatch_key()
        self.assertEqual(self.admit("b"), Joined())
        self.assertEqual(self.memory.mark_finished(self.key, ANSWER, 1.0), ("a", "b"))
        self.assertEqual(self.admit("c"), Replay(ANSWER))

    def test_key_of_another_request_is_refused(self) -> None:
        self.dispatch_key()
        self.assertEqual(self.admit("b", digest=b"other"), KeyReused())

    def test_key_with_lost_outcome_is_never_run_again(self) -> None:
        self.dispatch_key()
        self.assertEqual(self.memory.mark_lost(self.key, 1.0), ("a",))
        self.assertEqual(self.admit("b"), OutcomeLost())

    def test_second_dispatch_is_refused(self) -> None:
        self.dispatch_key()
        with self.assertRaises(InvariantError):
            self.memory.mark_dispatched(self.key, attempt_id=2)
        invariants.strict = False
        self.assertFalse(self.memory.mark_dispatched(self.key, attempt_id=2))

    def test_key_not_run_before_dispatch_may_run_later(self) -> None:
        self.admit("a")
        outcome = self.memory.mark_not_run(self.key)
        assert isinstance(outcome, NotRun)
        self.assertEqual(outcome.request_ids, ("a",))
        self.assertEqual(self.admit("b"), Fresh())

    def test_not_run_after_dispatch_needs_proof_for_that_attempt(self) -> None:
        """A late proof must not report `not run` while a backend server books the taxi.

        The first attempt is not sent and the second one is; then the event of the first attempt
        arrives again. Its proof says nothing about the second attempt.
        """
        self.dispatch_key()
        self.assertTrue(self.memory.allow_retry(self.key, NotRunProof.not_sent(1)))
        self.assertTrue(self.memory.mark_dispatched(self.key, attempt_id=2))
        late = self.memory.mark_not_run(self.key, NotRunProof.not_sent(1))
        self.assertEqual(late, OutcomeUnknown())
        self.assertIs(self.memory.state(self.key), KeyState.DISPATCHED)
        with self.assertRaises(InvariantError):
            self.memory.mark_not_run(self.key)
        invariants.strict = False
        self.memory = make_memory()
        self.dispatch_key()
        self.assertEqual(self.memory.mark_not_run(self.key), OutcomeUnknown(("a",)))
        self.assertEqual(self.admit("b"), OutcomeLost())

    def test_sealed_types_cannot_be_built_directly(self) -> None:
        with self.assertRaises(TypeError):
            NotRun(object(), ())
        with self.assertRaises(TypeError):
            NotRunProof(object(), 1, "I think so")

    def test_key_is_returned_when_its_last_caller_disconnects(self) -> None:
        self.admit("a")
        self.admit("b")
        self.assertIsNone(self.memory.remove_caller("a"))
        self.assertEqual(self.memory.remove_caller("b"), self.key)

    def test_other_home_and_forged_expiry_are_reported(self) -> None:
        other_home_key = make_key(home="00000000000000bb")
        self.assertEqual(self.admit("a", other_home_key), NotHome("00000000000000bb"))
        forged = make_key(expiry=WALL + LIFETIME + 6)
        self.assertEqual(self.admit("a", forged), NotIssued())

    def test_foreign_key_is_dispatched_only_after_its_claim(self) -> None:
        self.key = Key("a-key-of-the-caller")
        self.admit("a")
        invariants.strict = False
        self.assertFalse(self.memory.mark_dispatched(self.key, attempt_id=1))
        self.memory.mark_claimed(self.key)
        self.assertIsInstance(self.memory.mark_not_run(self.key), NotRun)
        self.assertEqual(self.admit("b"), Fresh(claimed=True))
        self.assertTrue(self.memory.mark_dispatched(self.key, attempt_id=1))


class HomeCrashTest(unittest.TestCase):
    """A key is not run by another process after its home has crashed."""

    def test_crash_between_dispatch_and_answer(self) -> None:
        """A repeat after the home crashed must not book a second taxi.

        The home is killed after the dispatch. Its successor on the same VM has an empty memory
        and would treat the key as new if it had the same incarnation.
        """
        invariants.strict = True
        key = make_key()
        home = make_memory()
        self.assertEqual(home.admit_request(key, DIGEST, "a", 0.0, WALL), Fresh())
        self.assertTrue(home.mark_dispatched(key, attempt_id=1))
        for incarnation in ("00000000000000bb", "00000000000000cc"):
            successor = KeyMemory(incarnation, 100, LIFETIME, skew=5.0)
            found = successor.admit_request(key, DIGEST, "b", 1.0, WALL + 1)
            self.assertEqual(found, NotHome(HOME))


class MemoryBoundTest(unittest.TestCase):
    """The memory is bounded, and removing a key never lets it run again."""

    def setUp(self) -> None:
        invariants.strict = True

    def test_full_memory_refuses_new_keys_and_evicts_none(self) -> None:
        memory = make_memory(capacity=2)
        keys = [make_key(str(n)) for n in range(3)]
        found = [memory.admit_request(key, DIGEST, key.text, 0.0, WALL) for key in keys]
        self.assertEqual(found, [Fresh(), Fresh(), MemoryFull()])
        later = memory.admit_request(keys[2], DIGEST, "x", 700.0, WALL + 700)
        self.assertEqual(later, Expired())

    def test_wall_clock_step_back_does_not_revive_a_key(self) -> None:
        """A repeat must not book a second taxi after the clock was set back.

        The key expires and is removed, then the VM's clock is set back by an hour: by the wall
        clock the key is unexpired and new.
        """
        memory = make_memory()
        key = make_key()
        memory.admit_request(key, DIGEST, "a", 0.0, WALL)
        memory.mark_dispatched(key, 1)
        memory.mark_finished(key, ANSWER, 1.0)
        self.assertEqual(memory.expire(700.0, WALL + 700), 1)
        again = memory.admit_request(key, DIGEST, "b", 701.0, WALL + 701 - 3_600)
        self.assertEqual(again, Expired())

    def test_running_key_is_kept_past_its_expiry(self) -> None:
        memory = make_memory()
        key = make_key()
        memory.admit_request(key, DIGEST, "a", 0.0, WALL)
        memory.mark_dispatched(key, 1)
        self.assertEqual(memory.expire(700.0, WALL + 700), 0)
        self.assertEqual(memory.mark_finished(key, ANSWER, 701.0), ("a",))
        self.assertEqual(memory.expire(701.0, WALL + 701), 1)

    def test_old_answers_are_dropped_before_their_keys(self) -> None:
        memory = make_memory(max_answer_bytes=2 * ANSWER.size)
        keys = [make_key(str(n)) for n in range(3)]
        for n, key in enumerate(keys):
            memory.admit_request(key, DIGEST, key.text, 0.0, WALL)
            memory.mark_dispatched(key, n)
            memory.mark_finished(key, ANSWER, 0.0)
        found = [memory.admit_request(key, DIGEST, "again", 0.0, WALL) for key in keys]
        self.assertEqual(found, [Replay(None), Replay(ANSWER), Replay(ANSWER)])

    def test_refused_requests_leave_no_entries(self) -> None:
        memory = make_memory()
        for n in range(1_000):
            key = make_key(str(n))
            memory.admit_request(key, DIGEST, "a", 0.0, WALL)
            memory.mark_not_run(key)
        self.assertEqual(len(memory), 0)
        self.assertLess(len(memory._expiries), 100)
