"""Decides when an entry reads the store itself, and when it copies from other entries instead."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable, Mapping

from briarspur import logs
from briarspur.coord.address import Address
from briarspur.coord.era import era_of
from briarspur.errors import PeerError
from briarspur.gateway.availability import StoreAvailability
from briarspur.gateway.gossip import Gossip
from briarspur.gateway.loadview import News
from briarspur.gateway.pull import PullClient
from briarspur.gateway.readtimes import ReadTimes
from briarspur.gateway.replica import FOLLOWED, Kind
from briarspur.gateway.sync import Sync

__all__ = ["Following"]

MAX_PULLS = 2
"""Simultaneous pulls of one kind. After a change, all members of a group advertise it within the
same tenth of a second; the second pull is needed only if the first one hangs."""
NEWS_WAIT_S = 0.35
"""Time for the news of the other entries to arrive once their addresses are known. Before that, a
process that has just started can't determine whether it is a reader."""
START_WAIT_S = 1.0
MEMBER_START_WAIT_S = 2.5
"""Time after its start from which a process that received no news reads the store itself: the first
value if it is among the first recorded entries of its group, the second one otherwise. When a whole
fleet restarts, its members receive no news for a moment; if each of them then considered itself a
reader, all of them would list all objects in the store."""
UNKNOWN_SENDER_S = 0.5
"""Time for which the entry records may be read again after news from an entry without a record."""
STARTUP_POLL_S = 0.02
"""Time between two checks while the other entries are being listed, which takes about 0.02 s."""
MIN_POLL_S = 0.05
MAX_POLL_S = 0.25
"""Limits on the time between two checks of whether the store may be read. The upper limit is the
time within which a change of role is noticed."""
RARELY_CHANGING = frozenset({Kind.CONFIGURATION, Kind.EVACUATIONS, Kind.ENTRIES, Kind.RESERVATIONS})
"""Kinds that the second reader of a group follows through the news of the first reader.
Registrations change all the time, so both readers read them."""
RETURN_WAIT_S = 2.0
"""Time after the store's return from an older copy for which members of a group wait for the copies
of their readers, instead of all listing everything at the same moment."""
FALLBACK_INTERVAL_S = 1.5
"""Mean time between two calls to the store by an entry that is not a reader, while its calls fail
like those of the readers. In an outage, a fleet of 91 entries then makes 60 calls per second, of
6,000 allowed."""


class Following:
    """Controls when each kind is read from the store, and pulls changes from other entries.

    Parameters
    ----------
    seeds : iterable of Address
        Entries to pull from if the store does not answer at the start.
    on_read : callable
        Called after this entry has read the store, so that the read can be advertised.

    Attributes
    ----------
    store_era : int
        The latest era of the store that this entry knows of.
    """

    def __init__(
        self,
        gossip: Gossip,
        puller: PullClient,
        clock: Callable[[], float],
        rng: random.Random,
        address_of: Callable[[str], Address | None],
        seeds: Iterable[Address],
        availability: StoreAvailability,
        on_read: Callable[[], None],
        times: ReadTimes,
    ) -> None:
        self.syncs: Mapping[Kind, Sync] = {}
        self._gossip = gossip
        self._puller = puller
        self._clock = clock
        self._rng = rng
        self._address_of = address_of
        self._seeds = tuple(seeds)
        self._availability = availability
        self._on_read = on_read
        self._times = times
        self._started_at = clock()
        self._news_complete_at = float("inf")
        self._reread_entries_until = float("-inf")
        self._confirmed_at = float("-inf")
        self._rarely_changing_confirmed_at = float("-inf")
        self._read_at = float("-inf")
        self._next_fallback = float("-inf")
        # Keyed by sender: a hanging pull from one entry must not block pulls from another one.
        self._pulling: set[tuple[Address, Kind]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._was_reading = False
        self.store_era = 0
        self._returned_at = float("-inf")

    def store_age(self) -> float:
        """Return the seconds since the store itself confirmed this entry's copies.

        Confirmations that other entries received do not count. The transit delay would be lost at
        each hop of such news, and entries that exchange news every few milliseconds would keep the
        last confirmation before an outage recent forever: none of them would read the store again.
        """
        return self._clock() - self._read_at

    def confirmed_age(self) -> float:
        """Return the seconds since the store confirmed these copies, to this entry or a reader."""
        return self._clock() - self._confirmed_at

    def significant_revisions(self) -> dict[Kind, int]:
        """Return the latest significant revision of each kind."""
        return {kind: sync.replica.significant_revision for kind, sync in self.syncs.items()}

    def read_delay(self, kind: Kind) -> float:
        """Return 0 if a kind may be read from the store, else the seconds until the next check."""
        now = self._clock()
        sync = self.syncs[kind]
        if kind is Kind.RESERVATIONS and not self._reads_reservations(now):
            return MAX_POLL_S
        if sync.replica.revision == 0:
            entries_known = self.syncs[Kind.ENTRIES].replica.revision > 0
            if kind is Kind.ENTRIES or (entries_known and self._gossip.in_one_group()):
                # Every caller is refused until the first copy is complete. In a small fleet, the
                # calls of all entries that restart together are few, so none of them waits for the
                # news of others: waiting took 0.55 s of the first second after a loss of power.
                return 0.0
            if not entries_known:
                return STARTUP_POLL_S
        if kind is Kind.ENTRIES and now < self._reread_entries_until:
            return 0.0
        if not self._may_read(now):
            return self._poll_delay(now)
        if kind in RARELY_CHANGING and sync.replica.revision > 0 and self._relies_on_first(now):
            return self._poll_delay(now)
        failing = self.syncs[Kind.TARGETS].is_failing
        if failing and kind is not Kind.TARGETS:
            return MIN_POLL_S
        if failing and not self._gossip.groups.is_reader:
            if now < self._next_fallback:
                return MIN_POLL_S
            self._next_fallback = now + FALLBACK_INTERVAL_S * self._rng.uniform(0.5, 1.5)
        return 0.0

    def record_call(self, kind: Kind, reachable: bool) -> None:
        """Record whether the store answered a call."""
        now = self._clock()
        if not reachable:
            for other, sync in self.syncs.items():
                if other is not kind:
                    sync.recheck()
            return
        if kind is Kind.TARGETS:
            self._availability.answered(now, now)
        if kind is Kind.ENTRIES and self._news_complete_at == float("inf"):
            self._news_complete_at = now + NEWS_WAIT_S

    def record_read(self, kind: Kind, as_of: float) -> None:
        """Record that all changes of a kind up to a time were read from the store."""
        now = self._clock()
        self.record_era(self.syncs[kind].replica.era)
        if kind is not Kind.TARGETS:
            return
        relies = self._relies_on_first(now)
        read_here = (
            sync
            for other, sync in self.syncs.items()
            if other is not Kind.RESERVATIONS and not (relies and other in RARELY_CHANGING)
        )
        if all(sync.is_current(now) and sync.replica.era == self.store_era for sync in read_here):
            as_of = min(as_of, self._rarely_changing_confirmed_at) if relies else as_of
            self._read_at = as_of
            self._confirmed_at = max(self._confirmed_at, as_of)
            self._on_read()

    def record_era(self, era: int) -> None:
        """Record an era of the store; in a later one, everything must be read again."""
        if era <= self.store_era:
            return
        self.store_era = era
        outdated = [s for s in self.syncs.values() if s.replica.revision and s.replica.era < era]
        if outdated:
            self._returned_at = self._clock()
            self._on_read()
        for sync in outdated:
            sync.recheck()

    def received(self, news: News) -> None:
        """Handle news of another entry: pull the changes that this entry lacks."""
        self.record_era(news.store_era)
        # The news of a sender that hasn't read the store for long say nothing about its present
        # state; a sender that has just started reports an infinite age.
        if news.store_age <= self._times.fresh:
            now = self._clock()
            self._availability.answered(now - news.store_age, now)
        # A copy is complete up to its revision, so only a later change can be missing. The latest
        # significant revision of the copy can't be compared: it may be that of a renewal that
        # brought an earlier change along, and would hide a change of another server between them.
        behind = [
            kind
            for kind, sync in self.syncs.items()
            if news.revisions.get(kind, 0) > sync.replica.revision
        ]
        if not behind:
            if self._is_of_own_era(news) and all(
                news.revisions.get(kind, 0) for kind in (Kind.TARGETS, Kind.CONFIGURATION)
            ):
                as_of = self._clock() - news.store_age
                self._confirmed_at = max(self._confirmed_at, as_of)
                if news.entry_id == self._gossip.groups.first_id:
                    self._rarely_changing_confirmed_at = max(
                        self._rarely_changing_confirmed_at, as_of
                    )
            return
        address = self._address_of(news.entry_id)
        if address is None:
            # Its record was written after this entry listed the records.
            self._reread_entries_until = self._clock() + UNKNOWN_SENDER_S
            return
        # An entry that reads the store itself needs no copies of registrations as long as the store
        # answers: they change often, and it has just read them or is about to. Without the check
        # of whether the store answers, an entry whose call hung pulled no copies. It sent requests
        # to servers that had left until the call timed out 1.5 s later, and in a network partition
        # for as long as that lasted. The other kinds change rarely, and their watches may
        # hang unnoticed for 5 s.
        reads_itself = self._is_reading() and self._store_answers()
        for kind in behind:
            if kind is not Kind.TARGETS or not reads_itself:
                self._start_pull(address, kind)

    def tick(self) -> None:
        """Log a change of role; pull from the seeds if the store is unreachable at the start."""
        for sync in self.syncs.values():
            sync.tick()
        reading = self._is_reading()
        if reading != self._was_reading:
            self._was_reading = reading
            logs.event(
                "store-reader",
                reading="yes" if reading else "no",
                why="reads for its group" if self._gossip.groups.is_reader else "news are old",
                confirmed_s=f"{self.confirmed_age():.3f}",
            )
        entries = self.syncs[Kind.ENTRIES]
        if entries.replica.revision == 0 and entries.is_failing:
            for address in self._seeds:
                for kind in self.syncs:
                    self._start_pull(address, kind)

    def close(self) -> None:
        """Cancel the pulls in progress."""
        for task in list(self._tasks):
            task.cancel()

    def _may_read(self, now: float) -> bool:
        expected = self._gossip.groups.is_expected_reader
        role_known = now >= self._news_complete_at and expected
        if not role_known and now - self._started_at < self._start_wait():
            return False
        return self._is_reading()

    def _start_wait(self) -> float:
        expected = self._gossip.groups.is_expected_reader
        return START_WAIT_S if expected else MEMBER_START_WAIT_S

    def _is_reading(self) -> bool:
        if self._gossip.groups.is_reader:
            return True
        now = self._clock()
        if now - self._returned_at <= RETURN_WAIT_S:
            return False
        if now - max(self._started_at, self._confirmed_at) <= self._times.fresh:
            return now - self._started_at > self._start_wait() and self._confirmed_at == float(
                "-inf"
            )
        return True

    def _reads_reservations(self, now: float) -> bool:
        """Return whether this entry reads for its group.

        The others only copy reservations, so an outage of the store costs no calls for them.
        """
        return now >= self._news_complete_at and self._gossip.groups.is_reader

    def _relies_on_first(self, now: float) -> bool:
        """Return whether this is the second reader and the first one's news are recent."""
        groups = self._gossip.groups
        if not groups.is_reader or groups.is_first:
            return False
        return now - self._rarely_changing_confirmed_at <= self._times.fresh

    def _poll_delay(self, now: float) -> float:
        """Return the seconds until the received news may be too old, or the role may change."""
        if self._confirmed_at == float("-inf"):
            return MIN_POLL_S
        left = self._times.fresh - (now - self._confirmed_at)
        return min(MAX_POLL_S, max(MIN_POLL_S, left))

    def _store_answers(self) -> bool:
        return not self.syncs[Kind.TARGETS].is_failing and self.store_age() <= self._times.own_read

    def _start_pull(self, address: Address, kind: Kind) -> None:
        senders = [sender for sender, pulled in self._pulling if pulled is kind]
        if address not in senders and len(senders) < MAX_PULLS:
            self._pulling.add((address, kind))
            self._start(self._pull(address, kind))

    async def _pull(self, address: Address, kind: Kind) -> None:
        sync = self.syncs[kind]
        try:
            pulled = await self._puller.pull(address, kind, sync.replica.revision)
        except PeerError as error:
            logs.event("peer-unavailable", logging.WARNING, kind=kind.name, error=str(error))
            return
        finally:
            self._pulling.discard((address, kind))
        if pulled is not None:
            sync.apply(pulled.batch)
            self.record_era(sync.replica.era)

    def _is_of_own_era(self, news: News) -> bool:
        """Return whether the sender has followed the store as far as this entry in every kind.

        Its copies of an earlier era say nothing about the store as it is now.
        """
        return all(
            era_of(revision) == self.store_era
            for kind, revision in news.revisions.items()
            if revision and kind in FOLLOWED
        ) and all(
            sync.replica.era == self.store_era
            for kind, sync in self.syncs.items()
            if kind in FOLLOWED
        )

    def _start(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
