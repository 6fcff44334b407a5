"""Tests of claims while the store returns from an older copy."""

import unittest

from briarspur.coord.claimhold import HOLD_NAME, ClaimHold
from briarspur.coord.claims import ClaimAcquired, Claims, ClaimTaken, ClaimWithheld
from briarspur.coord.errors import StoreUnavailableError
from briarspur.coord.heldclaims import HeldClaims
from briarspur.coord.keys import Key
from briarspur.coord.memorystore import MemoryStore
from briarspur.coord.store import StoredObject

KEY = Key("a-key-of-the-caller")
OTHER_KEY = Key("another-key-of-the-caller")
DIGEST = b"digest"
LIFETIME_S = 600.0
FIRST_HOLD_S = 5.0
UNIX_TIME = 1e9


class ReturningStore(MemoryStore):
    """A store that returns from a copy after its next create, before its answer arrives."""

    def __init__(self) -> None:
        super().__init__()
        self.lost_before_answer: int | None = None

    async def put(self, name: str, value: bytes, expected_version: int) -> int:
        version = await super().put(name, value, expected_version)
        if self.lost_before_answer is not None and name != HOLD_NAME:
            self.restore(self.lost_before_answer)
            self.lost_before_answer = None
        return version


class ReturnTest(unittest.IsolatedAsyncioTestCase):
    """A key is given out only where nobody can have held its claim before."""

    def setUp(self) -> None:
        self.store = ReturningStore()
        self.wall = UNIX_TIME

    def make_hold(self, open_era: int | None = 0) -> ClaimHold:
        return ClaimHold(
            self.store,
            lambda: LIFETIME_S,
            open_era,
            skew=0.0,
            read_interval=lambda: 0.0,
            wall=lambda: self.wall,
        )

    def make_claims(self, incarnation: str, hold: ClaimHold | None = None) -> Claims:
        tokens = iter(range(100))
        return Claims(
            self.store,
            incarnation,
            lambda: f"{incarnation}{next(tokens)}",
            retry_delay=0.0,
            hold=hold or self.make_hold(),
            held=HeldClaims(self.store),
        )

    async def test_a_late_acknowledgement_of_an_earlier_era_is_not_relied_on(self) -> None:
        """Guards against a claim that was lost before its acknowledgement arrived."""
        hold = self.make_hold()
        claims = self.make_claims("a", hold)
        self.store.lost_before_answer = 1
        self.assertIsInstance(await claims.claim(KEY, DIGEST), ClaimWithheld)
        self.assertTrue(await hold.reopen())
        self.assertEqual(ClaimAcquired(), await claims.claim(KEY, DIGEST))

    async def test_a_claim_begun_before_its_era_was_open_is_confirmed_by_a_write(self) -> None:
        """Guards against a stale read that shows a claim which its holder has replaced."""
        hold = self.make_hold()
        claims = self.make_claims("b", hold)
        self.store.lost_before_answer = 0
        self.assertIsInstance(await claims.claim(KEY, DIGEST), ClaimWithheld)
        [own] = await self.store.list("claims/")
        holder_record = own.value.replace(b'"b', b'"a')
        await self.store.put(own.name, holder_record, own.version)
        await hold.reopen()
        get = self.store.get

        async def get_stale(name: str) -> StoredObject | None:
            return own if name == own.name else await get(name)

        self.store.get = get_stale  # type: ignore[method-assign]
        self.assertIsInstance(await claims.claim(KEY, DIGEST), ClaimWithheld)
        self.store.get = get  # type: ignore[method-assign]
        self.assertEqual(ClaimTaken("a", DIGEST), await claims.claim(KEY, DIGEST))

    async def test_a_repeat_finds_a_claim_that_the_copy_has(self) -> None:
        """Guards against refusing repeats whose outcome is known while new keys are withheld."""
        await self.make_claims("a").claim(KEY, DIGEST)
        self.store.restore(0)
        second = self.make_claims("b")
        self.assertIsInstance(await second.claim(OTHER_KEY, DIGEST), ClaimWithheld)
        self.assertEqual(ClaimTaken("a", DIGEST), await second.claim(KEY, DIGEST))

    async def test_a_first_start_at_a_store_that_returned_long_ago_waits_briefly(self) -> None:
        """Guards against new deployments that refuse callers' own keys for minutes."""
        self.store.restore(0)
        claims = self.make_claims("a", self.make_hold(open_era=None))
        self.assertIsInstance(await claims.claim(KEY, DIGEST), ClaimWithheld)
        self.wall += FIRST_HOLD_S
        self.assertEqual(ClaimAcquired(), await claims.claim(KEY, DIGEST))

    async def test_a_first_start_at_a_store_that_never_returned_waits_for_nothing(self) -> None:
        """Guards against a price without a return."""
        claims = self.make_claims("a", self.make_hold(open_era=None))
        self.assertEqual(ClaimAcquired(), await claims.claim(KEY, DIGEST))
        self.wall -= 20.0
        with_a_slow_clock = self.make_claims("b", self.make_hold(open_era=None))
        self.assertEqual(ClaimAcquired(), await with_a_slow_clock.claim(OTHER_KEY, DIGEST))

    async def test_an_entry_that_knows_of_the_return_replaces_a_short_hold(self) -> None:
        """Guards against a new process that finds no record since the store lost it."""
        known = self.make_hold()
        self.store.restore(0)
        started = self.make_hold(open_era=None)
        self.assertFalse(await started.is_open())
        self.assertFalse(await known.is_open())
        self.wall += LIFETIME_S - 1.0
        self.assertFalse(await started.is_open())
        self.assertFalse(await known.is_open())
        self.wall += 1.0
        self.assertTrue(await started.is_open())

    async def test_a_malformed_record_withholds_claims(self) -> None:
        """Guards against claims given out since the record can't be read."""
        await self.store.put(HOLD_NAME, b"{}", 0)
        hold = self.make_hold(open_era=None)
        self.assertFalse(await hold.is_open())
        self.wall += LIFETIME_S
        self.assertTrue(await hold.is_open())

    async def test_a_store_that_is_down_does_not_end_the_hold(self) -> None:
        """Guards against claims given out since the record can't be read in an outage."""
        hold = self.make_hold()
        self.store.restore(0)
        self.store.stop()
        self.wall += 2 * LIFETIME_S
        self.assertFalse(await hold.is_open())
        with self.assertRaises(StoreUnavailableError):
            await hold.reopen()
