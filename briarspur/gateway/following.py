"""Who asks the store, and who asks other entries instead."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable, Mapping

from briarspur import logs
from briarspur.coord.address import Address
from briarspur.errors import PeerError
from briarspur.gateway.availability import StoreAvailability
from briarspur.gateway.gossip import Gossip
from briarspur.gateway.loadview import News
from briarspur.gateway.pull import PullClient
from briarspur.gateway.readtimes import ReadTimes
from briarspur.gateway.replica import FOLLOWED, Kind
from briarspur.gateway.sync import Sync

__all__ = ["Following"]

MOST_PULLS = 2
"""Pulls of one kind at once. After a change all members of a group tell of it in the same tenth of
a second; a second pull is only for the case that the first one hangs."""
SETTLE = 0.35
"""Seconds after the other entries' addresses are known in which their news arrive; before, a
process that has just started can't tell whether it is a reader."""
START_WAIT = 1.0
MEMBER_START_WAIT = 2.5
"""Seconds after its start from which a process asks the store itself if nobody told it anything:
one that comes among the first of its group's recorded entries, and any other one. When a whole
fleet restarts, its members hear nobody for a moment; if each took itself for a reader then, all of
them would list everything."""
UNKNOWN_SENDER = 0.5
"""Seconds after news of an entry without a record here in which the records are read again."""
FIRST_STEP = 0.02
"""Seconds between two looks while the other entries are being listed, which takes about 0.02 s."""
GATE_STEP = 0.05
ROLE_STEP = 0.25
"""Seconds between two looks at whether the store may be asked: the shortest, and the longest, in
which a change of role is noticed."""
SELDOM = frozenset({Kind.CONFIGURATION, Kind.EVACUATIONS, Kind.ENTRIES})
"""Kinds that the second reader of a group follows through the first one's news. Registrations,
which change all the time, both read."""
FALLBACK_PAUSE = 1.5
"""Mean seconds between two questions of an entry that is no reader, while the store does not answer
it either. In an outage a fleet of 91 then makes 60 calls per second, of 6,000 allowed."""


class Following:
    """Opens and closes the way to the store for each kind, and pulls from other entries.

    Parameters
    ----------
    seeds : iterable of Address
        Entries to ask when the store does not answer at the start.
    on_read : callable
        Told when this entry has read the store: it may tell the others.
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
        self._began = clock()
        self._settled_at = float("inf")
        self._unknown_until = float("-inf")
        self._confirmed_at = float("-inf")
        self._seldom_confirmed_at = float("-inf")
        self._read_at = float("-inf")
        self._next_fallback = float("-inf")
        # By sender: a pull from one entry that hangs must not keep back what another one knows.
        self._pulling: set[tuple[Address, Kind]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._was_reading = False

    def store_age(self) -> float:
        """Return the seconds since the store itself confirmed to this entry what it knows.

        What others said does not count. Each hop of such news would lose the time of its way, and
        entries that hear one another every few milliseconds would keep an outage's last
        confirmation young for ever: none of them would ask the store again.
        """
        return self._clock() - self._read_at

    def confirmed_age(self) -> float:
        """Return the seconds since the store confirmed this knowledge, here or to a reader."""
        return self._clock() - self._confirmed_at

    def significant(self) -> dict[Kind, int]:
        """Return the latest significant revision of each kind."""
        return {kind: sync.replica.significant for kind, sync in self.syncs.items()}

    def gate(self, kind: Kind) -> float:
        """Return 0 if the store may be asked about a kind, else the seconds until the next look."""
        now = self._clock()
        sync = self.syncs[kind]
        if sync.replica.revision == 0:
            entries_known = self.syncs[Kind.ENTRIES].replica.revision > 0
            if kind is Kind.ENTRIES or (entries_known and self._gossip.in_one_group()):
                # Every caller is refused until the first copy is there. In a small fleet the calls
                # of all entries that restart together are few, so none waits for another's news:
                # that took 0.55 s of the first second after a loss of power.
                return 0.0
            if not entries_known:
                return FIRST_STEP
        if kind is Kind.ENTRIES and now < self._unknown_until:
            return 0.0
        if not self._may_read(now):
            return self._next_look(now)
        if kind in SELDOM and sync.replica.revision > 0 and self._first_reader_tells(now):
            return self._next_look(now)
        failing = self.syncs[Kind.TARGETS].failing
        if failing and kind is not Kind.TARGETS:
            return GATE_STEP
        if failing and not self._gossip.groups.is_reader:
            if now < self._next_fallback:
                return GATE_STEP
            self._next_fallback = now + FALLBACK_PAUSE * self._rng.uniform(0.5, 1.5)
        return 0.0

    def store_answered(self, kind: Kind, reachable: bool) -> None:
        """Take the end of a call to the store."""
        now = self._clock()
        if not reachable:
            for other, sync in self.syncs.items():
                if other is not kind:
                    sync.doubt()
            return
        if kind is Kind.TARGETS:
            self._availability.answered(now, now)
        if kind is Kind.ENTRIES and self._settled_at == float("inf"):
            self._settled_at = now + SETTLE

    def read(self, kind: Kind, as_of: float) -> None:
        """Note that all changes of a kind up to a moment were taken from the store."""
        now = self._clock()
        if kind is not Kind.TARGETS:
            return
        told = self._first_reader_tells(now)
        own = (s for k, s in self.syncs.items() if not (told and k in SELDOM))
        if all(sync.is_current(now) for sync in own):
            as_of = min(as_of, self._seldom_confirmed_at) if told else as_of
            self._read_at = as_of
            self._confirmed_at = max(self._confirmed_at, as_of)
            self._on_read()

    def heard(self, news: News) -> None:
        """Take another entry's knowledge: what it has beyond this one's is pulled."""
        # A sender that has not read for long says nothing about the store of now: one that has just
        # started names an age without end.
        if news.store_age <= self._times.fresh:
            now = self._clock()
            self._availability.answered(now - news.store_age, now)
        # A copy is complete up to its revision, so only a later change can be missing. The latest
        # significant revision here is no measure: it may be that of a renewal which brought an
        # earlier change along, and would hide another server's change between the two.
        behind = [
            kind
            for kind, sync in self.syncs.items()
            if news.revisions.get(kind, 0) > sync.replica.revision
        ]
        if not behind:
            if all(news.revisions.get(kind, 0) for kind in (Kind.TARGETS, Kind.CONFIGURATION)):
                as_of = self._clock() - news.store_age
                self._confirmed_at = max(self._confirmed_at, as_of)
                if news.entry_id == self._gossip.groups.first_id:
                    self._seldom_confirmed_at = max(self._seldom_confirmed_at, as_of)
            return
        address = self._address_of(news.entry_id)
        if address is None:
            # Its record was written after this entry had listed them.
            self._unknown_until = self._clock() + UNKNOWN_SENDER
            return
        # An entry that follows the store itself needs no copies of registrations as long as the
        # store answers it; they change often, and it has just read them or is about to. One whose
        # own call hung took none of what the others told it: it sent to servers that had left until
        # the call timed out, 1.5 s later, and in a cut for as long as that lasted. The other kinds
        # change seldom, and their watches may hang unnoticed for 5 s.
        own = self._is_reading() and self._store_answers_me()
        for kind in behind:
            if kind is not Kind.TARGETS or not own:
                self._start_pull(address, kind)

    def tick(self) -> None:
        """Note a change of role, and ask the seeds if the store is silent at the start."""
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
        if entries.replica.revision == 0 and entries.failing:
            for address in self._seeds:
                for kind in FOLLOWED:
                    self._start_pull(address, kind)

    def close(self) -> None:
        """End the pulls in progress."""
        for task in list(self._tasks):
            task.cancel()

    def _may_read(self, now: float) -> bool:
        expected = self._gossip.groups.is_expected_reader
        settled = now >= self._settled_at and expected
        if not settled and now - self._began < self._start_wait():
            return False
        return self._is_reading()

    def _start_wait(self) -> float:
        expected = self._gossip.groups.is_expected_reader
        return START_WAIT if expected else MEMBER_START_WAIT

    def _is_reading(self) -> bool:
        if self._gossip.groups.is_reader:
            return True
        now = self._clock()
        if now - max(self._began, self._confirmed_at) <= self._times.fresh:
            return now - self._began > self._start_wait() and self._confirmed_at == float("-inf")
        return True

    def _first_reader_tells(self, now: float) -> bool:
        """Return whether this is the second reader, and the first one told of all kinds lately."""
        groups = self._gossip.groups
        if not groups.is_reader or groups.is_first:
            return False
        return now - self._seldom_confirmed_at <= self._times.fresh

    def _next_look(self, now: float) -> float:
        """Return the seconds until the knowledge of others may be too old, or the role another."""
        if self._confirmed_at == float("-inf"):
            return GATE_STEP
        left = self._times.fresh - (now - self._confirmed_at)
        return min(ROLE_STEP, max(GATE_STEP, left))

    def _store_answers_me(self) -> bool:
        return not self.syncs[Kind.TARGETS].failing and self.store_age() <= self._times.own_read

    def _start_pull(self, address: Address, kind: Kind) -> None:
        senders = [sender for sender, pulled in self._pulling if pulled is kind]
        if address not in senders and len(senders) < MOST_PULLS:
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
            sync.take(pulled.batch)

    def _start(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
