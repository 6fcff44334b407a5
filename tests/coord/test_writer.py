"""Tests of the conditional writer and of claims when answers are lost."""

import itertools
import unittest

from briarspur.coord.claims import ClaimAcquired, Claims, ClaimTaken, ClaimUnsettled
from briarspur.coord.envelope import MAX_EARLIER_TOKENS, open_envelope
from briarspur.coord.errors import StoreUnavailableError
from briarspur.coord.keys import Key
from briarspur.coord.memorystore import MemoryStore, StoreFault
from briarspur.coord.store import StoredObject
from briarspur.coord.writer import ConditionalWriter, Conflict, Unsettled, WriteOutcome, Written

LOST_ANSWER = StoreFault.LOST_ANSWER
LOST_REQUEST = StoreFault.LOST_REQUEST
UNAVAILABLE = StoreFault.UNAVAILABLE


class WriterTest(unittest.IsolatedAsyncioTestCase):
    """The reported outcome of a write is true."""

    def setUp(self) -> None:
        self.store = MemoryStore()
        tokens = itertools.count()
        self.writer = ConditionalWriter(
            self.store, lambda: f"t{next(tokens)}", max_attempts=3, retry_delay=0.0
        )

    async def write(self, body: str, base: StoredObject | None) -> WriteOutcome:
        return await self.writer.write("policy", body, base)

    def body(self) -> str:
        found = self.store.peek("policy")
        assert found is not None
        return open_envelope(found.value).ok.body

    async def test_lost_answer_is_settled(self) -> None:
        for fault in (LOST_ANSWER, LOST_REQUEST):
            self.store.fail_next(fault)
            outcome = await self.write(fault.name, self.store.peek("policy"))
            assert isinstance(outcome, Written)
            self.assertEqual(outcome.stored, self.store.peek("policy"))
            self.assertEqual(self.body(), fault.name)

    async def test_late_write_of_two_operators_is_a_conflict(self) -> None:
        """Two operators edit the same policy; the second one must see the first one's change."""
        first = await self.write("first", None)
        assert isinstance(first, Written)
        await self.write("second", first.stored)
        late = await self.write("third", first.stored)
        assert isinstance(late, Conflict)
        self.assertEqual(late.current, self.store.peek("policy"))
        self.assertEqual(self.body(), "second")

    async def test_overwritten_write_is_reported_as_written(self) -> None:
        """A change that took effect must not be reported as a conflict and be made twice.

        The answer is lost after the write took effect, and another operator replaces it before the
        read. The chain of tokens still contains the first write.
        """
        await self.write("base", None)
        base = self.store.peek("policy")
        self.store.fail_next(LOST_ANSWER)
        original = self.store.put
        calls = itertools.count()

        async def put(name: str, value: bytes, expected_version: int) -> int:
            if next(calls) == 1:
                self.store.put = original  # type: ignore[method-assign]
                await self.write("another", self.store.peek("policy"))
            return await original(name, value, expected_version)

        self.store.put = put  # type: ignore[method-assign]
        outcome = await self.write("ours", base)
        self.assertIsInstance(outcome, Written)
        self.assertEqual(self.body(), "another")

    async def test_lost_request_followed_by_another_write_is_a_conflict(self) -> None:
        await self.write("base", None)
        base = self.store.peek("policy")
        self.store.fail_next(LOST_REQUEST, LOST_REQUEST, UNAVAILABLE, UNAVAILABLE)
        unsettled = await self.write("ours", base)
        self.assertIsInstance(unsettled, Unsettled)
        for n in range(MAX_EARLIER_TOKENS + 2):
            await self.write(f"other {n}", self.store.peek("policy"))
        self.store.fail_next(LOST_REQUEST)
        self.assertIsInstance(await self.write("ours", base), Unsettled)
        base = self.store.peek("policy")
        await self.write("other", base)
        self.store.fail_next(LOST_REQUEST)
        self.assertIsInstance(await self.write("ours", base), Conflict)

    async def test_stale_read_does_not_determine_the_outcome(self) -> None:
        await self.write("base", None)
        base = self.store.peek("policy")
        self.store.fail_next(LOST_ANSWER)
        self.store.stale_by = 1
        self.assertIsInstance(await self.write("ours", base), Unsettled)

    async def test_outage_raises(self) -> None:
        self.store.stop()
        with self.assertRaises(StoreUnavailableError):
            await self.write("ours", None)


class ClaimsTest(unittest.IsolatedAsyncioTestCase):
    """At most one entry holds the claim of a foreign key."""

    def setUp(self) -> None:
        self.store = MemoryStore()
        self.tokens = itertools.count()
        self.key = Key("a-key-of-the-caller")
        self.a = self.make_claims("a")
        self.b = self.make_claims("b")

    def make_claims(self, incarnation: str, max_queued: int = 10) -> Claims:
        return Claims(
            self.store,
            incarnation,
            lambda: f"t{next(self.tokens)}",
            1,
            max_queued,
            max_attempts=2,
            retry_delay=0.0,
        )

    async def test_second_entry_finds_the_claim_of_the_first(self) -> None:
        self.assertEqual(await self.a.claim(self.key, b"x"), ClaimAcquired())
        self.assertEqual(await self.b.claim(self.key, b"x"), ClaimTaken("a", b"x"))
        self.assertEqual(await self.a.claim(self.key, b"x"), ClaimTaken("a", b"x"))

    async def test_claim_with_a_lost_answer_is_settled(self) -> None:
        self.store.fail_next(LOST_ANSWER)
        self.assertEqual(await self.a.claim(self.key, b"x"), ClaimAcquired())

    async def test_unsettled_claim_is_recognised_on_a_repeat(self) -> None:
        """An order that was not run must not be refused at every entry from then on.

        The claim takes effect, its answer is lost and the store goes down; the entry refuses the
        order as not run. The repeat must recognise the entry's own claim and run.
        """
        self.store.fail_next(LOST_ANSWER, UNAVAILABLE)
        self.assertIsInstance(await self.a.claim(self.key, b"x"), ClaimUnsettled)
        self.assertEqual(await self.b.claim(self.key, b"x"), ClaimTaken("a", b"x"))
        self.assertEqual(await self.a.claim(self.key, b"x"), ClaimAcquired())

    async def test_claim_during_an_outage_is_unsettled(self) -> None:
        self.store.stop()
        self.assertIsInstance(await self.a.claim(self.key, b"x"), ClaimUnsettled)

    async def test_claim_with_a_stale_read_is_unsettled(self) -> None:
        await self.a.claim(self.key, b"x")
        self.store.stale_by = 1
        self.assertIsInstance(await self.b.claim(self.key, b"x"), ClaimUnsettled)

    async def test_queue_is_bounded(self) -> None:
        full = self.make_claims("c", max_queued=-1)
        self.assertIsInstance(await full.claim(self.key, b"x"), ClaimUnsettled)
