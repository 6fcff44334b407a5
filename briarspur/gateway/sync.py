"""Keeps a replica of one kind up to date by listing and watching the store."""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from briarspur import logs
from briarspur.coord.era import format_revision
from briarspur.coord.errors import StoreError, StoreUnavailableError
from briarspur.gateway.objectsource import HistoryGoneError, ObjectSource, StoreReturnedError
from briarspur.gateway.replica import Batch, ChangeSource, Kind, Replica, StoredChange

__all__ = ["Pace", "Sync"]

FIRST_RETRY_DELAY_S = 0.15
MAX_RETRY_DELAY_S = 1.0
"""Time between two attempts while the store does not answer. Entries must apply a change within
2.5 s of its acknowledgement, even one made as soon as the store is reachable again."""
FAILURE_EXPIRY_S = 4.0
"""Time after which a failed call no longer means that the store does not answer. An entry that
reads the store calls it at least every 3.3 s, so an older failure is that of an entry that doesn't
read any more. Without the expiry, an entry that lost the store in a network partition and then left
reading to others considered the store failing for as long as it ran."""
REWRITE_S = {Kind.TARGETS: 2.2}
OTHER_REWRITE_S = 5.0
"""Time after the return of the store from an older copy within which the writers of its objects
have written again what the copy lacks. The platform specifies about 2 s for registrations, and no
time for what the operator writes: to hold an evacuation for too long costs only capacity."""
ANSWER_SLACK_S = 0.75
"""Time after the end of a watch and a pause within which the next answer follows, if the store
responds."""


class _RecheckError(Exception):
    """The call was cancelled by :meth:`Sync.recheck`, since the store may not answer it."""


@dataclass(frozen=True, slots=True)
class Pace:
    """Timing of the calls to the store, in seconds.

    Attributes
    ----------
    wait : float
        Maximum time for which a watch waits for a change.
    pause : float
        Time between two watches. With a pause, a kind that changes all the time is read in batches,
        since every call to the store is charged for.
    """

    wait: float
    pause: float

    def stretched(self, factor: float) -> "Pace":
        """Return the pace of a deployment with longer bounds."""
        return Pace(self.wait * factor, self.pause * factor)


class Sync:
    """Follows the objects of one kind.

    Parameters
    ----------
    read_delay : callable
        Returns 0 if the store may be read, else the seconds until the next check.
    on_changes : callable
        Called with the changes that the replica lacked, and their source.
    on_reachable : callable
        Called with whether the store answered the last call, before its answer is applied.
    on_current : callable
        Called with a time up to which all changes have been applied.
    on_returned : callable
        Called with the store's era when it has returned from an older copy.
    """

    def __init__(
        self,
        source: ObjectSource,
        replica: Replica,
        pace: Pace,
        rng: random.Random,
        read_delay: Callable[[Kind], float],
        on_changes: Callable[[Kind, Sequence[StoredChange], ChangeSource], None],
        on_reachable: Callable[[Kind, bool], None],
        on_current: Callable[[Kind, float], None],
        on_returned: Callable[[int], None],
        clock: Callable[[], float],
    ) -> None:
        self._source = source
        self.replica = replica
        self._pace = pace
        self._rng = rng
        self._read_delay = read_delay
        self._on_changes = on_changes
        self._on_reachable = on_reachable
        self._on_current = on_current
        self._on_returned = on_returned
        self._clock = clock
        self._failures = 0
        self._failed_at = float("-inf")
        self._lost_at: float | None = None
        self.current_at = float("-inf")
        # Time up to which the last answer includes all changes. The time at which it is read can't
        # be used: a busy process reads it late, and others regarded its copies as 1.2 s more
        # recent than they were.
        self._as_of = float("-inf")
        self._call: asyncio.Task[Batch] | None = None
        self.answered_calls = 0
        self.failed_calls = 0
        self._rechecking = False
        self._was_list = False
        self._hold_until = float("inf")

    @property
    def is_failing(self) -> bool:
        """Whether the store did not answer the last call, and the call was recent."""
        return self._failures > 0 and self._clock() - self._failed_at <= FAILURE_EXPIRY_S

    def is_current(self, now: float) -> bool:
        """Return whether the store was heard so recently that no change can be missing.

        An open watch proves nothing: its connection may have gone silent.
        """
        if self.is_failing or self.replica.revision == 0:
            return False
        return now - self.current_at <= self._pace.wait + self._pace.pause + ANSWER_SLACK_S

    async def run(self) -> None:
        """Follow until cancelled."""
        answered = False
        gone_revision = 0
        while True:
            pause = 0.0 if answered else self._read_delay(self.replica.kind)
            answered = False
            if pause > 0.0:
                await asyncio.sleep(pause)
                continue
            # A copy of another entry may have replaced the one whose history is gone.
            listing = self.replica.revision in (0, gone_revision)
            try:
                batch = await self._call_store(listing)
            except _RecheckError:
                continue
            except StoreReturnedError as error:
                # Only readers list at once: members get the copies of their readers.
                gone_revision = self.replica.revision
                self._record_success()
                self._on_returned(error.era)
                continue
            except HistoryGoneError:
                # The store answers, so list immediately. With a wait here, an entry that had been
                # cut off from the store was late by 1 s more, and by up to 2 s with its retry
                # delays.
                revision = format_revision(self.replica.revision)
                logs.event("history-gone", kind=self.replica.kind.name, revision=revision)
                gone_revision = self.replica.revision
                answered = True
                continue
            except StoreError as error:
                self._record_failure(error)
                await asyncio.sleep(self._retry_delay())
                continue
            source = ChangeSource.LIST if listing else ChangeSource.WATCH
            gone_revision = 0
            self._record_success()
            self.apply(batch, source)
            self._on_current(self.replica.kind, self._as_of)
            self._was_list = listing and self._pace.pause > 0.0
            if self._pace.pause and not self._was_list:
                await asyncio.sleep(self._pace.pause)

    def apply(self, batch: Batch, source: ChangeSource = ChangeSource.PULL) -> None:
        """Apply a batch from the store or from another entry."""
        if batch.whole and batch.revision < self.replica.revision:
            logs.event(
                "copy-dropped",
                kind=self.replica.kind.name,
                source=source.value,
                revision=format_revision(batch.revision),
                known=format_revision(self.replica.revision),
            )
        era = self.replica.era
        applied = self.replica.apply(batch)
        if self.replica.era > era:
            rewrite = REWRITE_S.get(self.replica.kind, OTHER_REWRITE_S)
            self._hold_until = self._clock() + rewrite
        if applied:
            self._on_changes(self.replica.kind, applied, source)

    def tick(self) -> None:
        """Apply what was held back for the objects' writers once their time is over."""
        if self._clock() >= self._hold_until:
            self._hold_until = float("inf")
            applied = self.replica.end_hold()
            if applied:
                self._on_changes(self.replica.kind, applied, ChangeSource.HOLD)

    def recheck(self) -> None:
        """Cancel a watch that may hang, and call the store again immediately.

        A store that stops responding never answers the watches that are open, not even once it is
        reachable again: a change made then would be received only when the watch times out, seconds
        late. The failed call of another kind is the first sign, so every other watch is cancelled
        and repeated until one is answered.
        """
        if not self._rechecking and self._failures == 0:
            self._rechecking = True
            if self._call is not None:
                self._call.cancel()

    async def _call_store(self, listing: bool) -> Batch:
        """Make the next call; :meth:`recheck` may cancel it."""
        self._call = asyncio.ensure_future(self._read(listing))
        try:
            return await self._call
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if not self._call.cancelled() or (task is not None and task.cancelling()):
                self._call.cancel()
                raise
            raise _RecheckError from None
        finally:
            self._call = None

    async def _read(self, listing: bool) -> Batch:
        requested_at = self._clock()
        if listing:
            known = self.replica.revision
            batch = await self._source.list(self.replica.kind)
            if batch.revision < known:
                # The replica can't apply it, and the next watch would fail like the last one.
                revision = format_revision(batch.revision)
                raise StoreUnavailableError(f"a list at {revision}, below what is known")
            self._as_of = requested_at
            return batch
        # While the store may be unreachable, a watch must not wait: waiting would hide whether the
        # store answers. After a list, it must not wait either: the list includes only the changes
        # made before its request, and a long one takes a second.
        wait = 0.0 if self._rechecking or self._failures or self._was_list else self._pace.wait
        batch = await self._source.watch(self.replica.kind, self.replica.revision, wait)
        # A watch without a change is answered at the end of its wait, one with a change at any
        # time. One that ends early without a change may have been cut off right after its request.
        waited = not batch.changes and self._clock() - requested_at >= wait
        self._as_of = requested_at + wait if waited else requested_at
        return batch

    def _record_failure(self, error: StoreError) -> None:
        self._failures += 1
        self._failed_at = self._clock()
        self.failed_calls += 1
        if self._lost_at is None:
            self._lost_at = self._clock()
            logs.event("store-lost", logging.WARNING, kind=self.replica.kind.name, error=str(error))
        self._on_reachable(self.replica.kind, False)

    def _record_success(self) -> None:
        self.answered_calls += 1
        self._failures = 0
        self._rechecking = False
        self.current_at = self._clock()
        if self._lost_at is not None:
            duration = self._clock() - self._lost_at
            logs.event("store-regained", kind=self.replica.kind.name, away_s=f"{duration:.3f}")
            self._lost_at = None
        self._on_reachable(self.replica.kind, True)

    def _retry_delay(self) -> float:
        delay = min(MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2.0 ** (self._failures - 1))
        return delay * self._rng.uniform(0.7, 1.0)
