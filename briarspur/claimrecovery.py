"""Recovers claims of keys after the store returned from an older copy.

Each entry writes the claims that it holds again. A few entries ask all others whether they have
done so, and let claims be given out again once all have. If an entry that may have held claims is
gone, they are withheld until no caller repeats a key from before the return.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from briarspur import logs
from briarspur.coord.address import Address
from briarspur.coord.claimhold import ClaimHold
from briarspur.coord.claimholders import ClaimHolders
from briarspur.coord.era import era_of, revision_in_era
from briarspur.coord.errors import StoreError
from briarspur.coord.heldclaims import HeldClaims
from briarspur.errors import PeerError
from briarspur.gossip import ObjectCopy
from briarspur.members import MemberView, ViewedMember

__all__ = ["RESTORED_CLAIMS_NAME", "ClaimRecovery", "ObjectFetcher"]

RESTORED_CLAIMS_NAME = "restored-claims"
"""Name under which entries ask one another through which era their claims are in the store. The
store has no object of this name."""
STEP_S = 0.5
"""Minimum seconds between two steps, and between two reads of the hold's record."""
STORE_READS_PER_S = 200.0
"""Reads a second that all entries together may add to the load of the store."""
STORE_WRITES_PER_S = 300.0
"""Claims that all entries together may write again a second; new ones are withheld meanwhile."""
COLLECTORS = 3
"""Mean number of entries that ask all others in a step."""
MAX_STEP_S = 5.0
ASK_TIMEOUT_S = 1.0
MAX_QUESTIONS = 32
"""Maximum number of entries that are asked at the same time."""
LOST_AFTER_S = 8.0
"""Seconds after which an entry that left is taken for gone: longer than members need to find that a
silent one is back."""


class ObjectFetcher(Protocol):
    """Fetches objects from other entries; raises :class:`~briarspur.errors.PeerError`."""

    async def fetch(self, address: Address, name: str, newer_than: int) -> ObjectCopy | None:
        """Return an object if the entry has a version above ``newer_than``, or None."""


class ClaimRecovery:
    """Recovers the claims of one entry, and takes part in recovering those of all.

    Parameters
    ----------
    incarnation : str
        This process.
    hold : ClaimHold
        Withholds new claims during the recovery.
    held : HeldClaims
        The claims of this entry.
    holders : ClaimHolders
        The entries that may have lost claims.
    peers : ObjectFetcher
    clock : callable
        Returns monotonic seconds.
    rng : random.Random
        Seeded differently in each process; otherwise all would ask at the same moment.
    sleep : callable
        Waits for a number of seconds; replaced in tests.
    """

    def __init__(
        self,
        incarnation: str,
        hold: ClaimHold,
        held: HeldClaims,
        holders: ClaimHolders,
        peers: ObjectFetcher,
        clock: Callable[[], float],
        rng: random.Random,
        sleep: Callable[[float], Coroutine[Any, Any, None]] = asyncio.sleep,
    ) -> None:
        self._incarnation = incarnation
        self._hold = hold
        self._held = held
        self._holders = holders
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._sleep = sleep
        self._members_by_incarnation: dict[str, ViewedMember] = {}
        self._began_at: float | None = None
        self._questions = asyncio.Semaphore(MAX_QUESTIONS)

    @property
    def read_interval(self) -> float:
        """Seconds between two reads of the hold's record by one entry."""
        return max(STEP_S, self._store_read_interval)

    @property
    def _store_read_interval(self) -> float:
        return len(self._members_by_incarnation) / STORE_READS_PER_S

    @property
    def write_interval(self) -> float:
        """Seconds between two claims that one entry writes again."""
        return max(1, len(self._members_by_incarnation)) / STORE_WRITES_PER_S

    def view_changed(self, view: MemberView) -> None:
        """Record the members of a new view."""
        self._members_by_incarnation = {m.incarnation: m for m in view.by_id.values()}
        self._holders.set_members(self._members_by_incarnation, self._clock())

    def describe(self, newer_than: int) -> ObjectCopy:
        """Return through which era this entry's claims are in the store, to an entry that asks."""
        self._hold.record_era(era_of(newer_than))
        version = revision_in_era(self._held.restored_era, 1)
        return ObjectCopy(RESTORED_CLAIMS_NAME, version, b"", self._incarnation.encode())

    async def run(self) -> None:
        """Read the hold's record at the start, and recover claims after each return of the store.

        Runs until cancelled.
        """
        while True:
            await self._step()
            await self._sleep(self._delay())

    def _delay(self) -> float:
        if self._began_at is None:
            return STEP_S
        duration = self._clock() - self._began_at
        return max(self.read_interval, min(MAX_STEP_S, duration / 10.0))

    async def _step(self) -> None:
        if not self._hold.is_active:
            self._end()
            return
        if self._hold.open_era is not None and self._began_at is None:
            self._begin()
            # All entries may notice the return at the same moment.
            await self._sleep(self._rng.random() * self._store_read_interval)
        era = self._hold.era
        # An entry that has claims to write is asked later, so it doesn't matter that this may fail.
        if self._held.restored_era < era and await self._held.restore(era):
            self._holders.record_restored(self._incarnation, era)
            logs.event("claims-restored", era=era, held=len(self._held), lost=self._held.rewritten)
        if await self._hold.is_open():
            self._end()
        elif self._began_at is not None and self._is_collector():
            await self._collect(era)

    def _begin(self) -> None:
        self._began_at = self._clock()
        self._holders.begin_recovery(self._began_at)
        logs.event("claims-withheld", era=self._hold.era)

    def _end(self) -> None:
        if self._began_at is not None:
            duration = self._clock() - self._began_at
            logs.event("claims-given-out", era=self._hold.era, withheld_s=round(duration, 1))
            self._began_at = None
            self._holders.end_recovery(self._clock())

    def _is_collector(self) -> bool:
        return self._rng.random() * len(self._members_by_incarnation) < COLLECTORS

    async def _collect(self, era: int) -> None:
        """Ask the other entries; end the hold if the store has all claims."""
        pending = self._holders.pending(era)
        if pending is None:
            return
        await asyncio.gather(*(self._ask(i, era) for i in pending.present))
        pending = self._holders.pending(era)
        if pending is None or self._hold.era != era:
            return
        try:
            if not pending.present and not pending.gone:
                await self._hold.reopen()
            elif pending.gone and self._has_waited():
                await self._hold.record_lost_holders()
        except StoreError as error:
            logs.event("store-unavailable", object="claims-hold", error=str(error))

    def _has_waited(self) -> bool:
        return self._began_at is not None and self._clock() - self._began_at >= LOST_AFTER_S

    async def _ask(self, incarnation: str, era: int) -> None:
        member = self._members_by_incarnation.get(incarnation)
        if member is None or incarnation == self._incarnation:
            return
        address = Address(member.address.host, member.address.peer_port)
        newer_than = revision_in_era(era, 0)
        try:
            async with self._questions, asyncio.timeout(ASK_TIMEOUT_S):
                copy = await self._peers.fetch(address, RESTORED_CLAIMS_NAME, newer_than)
        except (PeerError, TimeoutError):
            return
        if copy is not None and copy.value == incarnation.encode():
            self._holders.record_restored(incarnation, era_of(copy.version))
