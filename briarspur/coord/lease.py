"""A lease on an object of the store, with terms that fence off a paused holder.

A holder can be paused past its lease and not know it; no local check defeats that, since the
pause may come after the check. What defeats it is the order in which a contender takes over:

1. It watches the lease's version unchanged for the lease's duration and a margin, on its own clock.
2. It rewrites each protected object with a higher term. From here on the old holder's conditional
   writes fail, because the object's version has changed, and it may not write over a higher term.
3. It takes the lease, conditionally on the version that it watched.

Fencing before taking means that no write of the old holder can come between: by the time the
lease has changed hands, every write that the old holder based on its own term is void. A contender
that fences and then fails at step 3 leaves a holder whose term is too low; that holder sees the
higher term at its next write and gives the lease up.
"""

import contextlib
import json
import math
from collections.abc import Callable
from dataclasses import dataclass

from briarspur.coord.envelope import Envelope, open_envelope
from briarspur.coord.errors import StoreError
from briarspur.coord.invariants import invariants
from briarspur.coord.store import ABSENT, ObjectStore, StoredObject
from briarspur.coord.writer import ConditionalWriter, Conflict, Unsettled, WriteOutcome, Written

__all__ = ["FenceReport", "FencedOff", "FencedWriter", "Lease", "LeaseRecord", "NotHeld"]

DEFAULT_MARGIN_SHARE = 0.25
FENCE_TRIES = 4


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The body of a lease object.

    Attributes
    ----------
    holder : str
        Unique to one process, so that a restarted process does not take itself for the holder.
    duration : float
        Seconds the holder may act after each renewal.
    released : bool
        The holder has given it up: no need to wait.
    """

    holder: str
    duration: float
    released: bool = False

    def encode(self) -> str:
        """Return the stored form."""
        fields = {"holder": self.holder, "duration": self.duration, "released": self.released}
        return json.dumps(fields, separators=(",", ":"))

    @classmethod
    def decode(cls, body: str) -> "LeaseRecord":
        """Return the record of a stored form."""
        fields = json.loads(body)
        return cls(str(fields["holder"]), float(fields["duration"]), bool(fields["released"]))


@dataclass(slots=True)
class _Watched:
    """What a contender has seen, and since when; a change of any part begins the wait anew."""

    version: int
    highest_term: int
    since: float


@dataclass(frozen=True, slots=True)
class FenceReport:
    """The protected objects as a contender left them, with its term."""

    stored_by_name: dict[str, StoredObject]


class Lease:
    """One process's part in a lease.

    Call :meth:`step` about three times in a duration, one call at a time; it renews or contends
    once.

    Parameters
    ----------
    store : ObjectStore
    name : str
        The lease object is ``leases/<name>``.
    holder : str
        Unique to this process.
    duration : float
        Seconds.
    protects : tuple of str
        Objects written under this lease only, through :class:`FencedWriter`.
    clock : callable
        Monotonic seconds.
    writer : ConditionalWriter
    margin : float or None
        Seconds added to a foreign holder's duration, for clocks of unlike rate.
    """

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        holder: str,
        duration: float,
        protects: tuple[str, ...],
        clock: Callable[[], float],
        writer: ConditionalWriter,
        margin: float | None = None,
    ) -> None:
        self.name = f"leases/{name}"
        self.holder = holder
        self.duration = duration
        self.protects = protects
        self.term = 0
        self.fenced: FenceReport | None = None
        self._store = store
        self._clock = clock
        self._writer = writer
        self._margin = duration * DEFAULT_MARGIN_SHARE if margin is None else margin
        self._held_until = -math.inf
        self._base: StoredObject | None = None
        self._unsettled: Unsettled | None = None
        self._watched: _Watched | None = None

    def held(self, now: float) -> bool:
        """Whether this process may act under the lease at ``now``."""
        return now < self._held_until

    @property
    def not_known_lost(self) -> bool:
        """Whether this process took the lease and has not learnt that it lost it.

        It may be lost all the same: only for work that does no harm when two do it at once.
        """
        return self._base is not None

    async def step(self) -> bool:
        """Renew the lease or contend for it, once; return whether it is held afterwards.

        A store that is down changes nothing here: the lease runs out by the clock.
        """
        with contextlib.suppress(StoreError):
            if self._base is not None:
                await self._renew(self._base)
            else:
                await self._contend()
        return self.held(self._clock())

    async def release(self) -> None:
        """Give the lease up at a planned stop, so that the next holder need not wait."""
        base = self._base
        self.give_up()
        if base is None:
            return
        record = LeaseRecord(self.holder, self.duration, released=True)
        with contextlib.suppress(StoreError):
            await self._writer.write(self.name, record.encode(), base, self.term)

    def give_up(self) -> None:
        """Stop acting under the lease; contend for it again from the next step on."""
        self._held_until = -math.inf
        self._base = None
        self._unsettled = None
        self._watched = None
        self.fenced = None

    async def _renew(self, base: StoredObject) -> None:
        # The lease counts from before the renewal was sent: a contender saw the new version
        # later than that, so it waits until after this holder has stopped acting.
        sent_at = self._clock()
        record = LeaseRecord(self.holder, self.duration)
        outcome = await self._writer.write(self.name, record.encode(), base, self.term)
        # A fenced write may have given the lease up meanwhile; the renewal must not revive it.
        if self._base is base:
            self._settle(outcome, sent_at)

    def _settle(self, outcome: WriteOutcome, sent_at: float) -> None:
        if isinstance(outcome, Written) and outcome.version != ABSENT:
            self._base = outcome.stored
            self._unsettled = None
            self._held_until = max(self._held_until, sent_at + self.duration)
        elif isinstance(outcome, Unsettled):
            self._unsettled = outcome
        elif isinstance(outcome, Conflict) and self._is_ours(outcome.current):
            # Our own renewal, whose answer was lost, took effect after all: still the holder,
            # but how long the lease counts is not known, so it is not extended.
            self._base = outcome.current
            self._unsettled = None
        else:
            self.give_up()

    def _is_ours(self, current: StoredObject | None) -> bool:
        envelope = _envelope(current)
        return bool(envelope and self._unsettled and envelope.token == self._unsettled.token)

    async def _contend(self) -> None:
        found = await self._store.get(self.name)
        envelope = _envelope(found)
        record = LeaseRecord.decode(envelope.body) if envelope else None
        if not await self._is_lapsed(found, record):
            return
        assert self._watched is not None
        term = self._watched.highest_term + 1
        fenced = await self._fence(term)
        if fenced is None:
            self._watched = None
            return
        sent_at = self._clock()
        mine = LeaseRecord(self.holder, self.duration).encode()
        outcome = await self._writer.write(self.name, mine, found, term)
        self._watched = None
        if isinstance(outcome, Written) and outcome.version != ABSENT:
            self.term = term
            self.fenced = fenced
            self._settle(outcome, sent_at)

    async def _is_lapsed(self, found: StoredObject | None, record: LeaseRecord | None) -> bool:
        """Whether nothing has moved for as long as the holder may have acted."""
        version = found.version if found else ABSENT
        envelope = _envelope(found)
        # Another contender fences before it takes the lease. Its higher term on an object must
        # begin the wait anew, else contenders would fence one another off for ever.
        terms = [await self._term_of(name) for name in self.protects]
        highest = max([envelope.term if envelope else 0, *terms])
        now = self._clock()
        watched = self._watched
        if watched is None or (watched.version, watched.highest_term) != (version, highest):
            self._watched = watched = _Watched(version, highest, now)
        # Our own lease that we have given up needs no wait either: nobody acts under it.
        if record is not None and (record.released or record.holder == self.holder):
            return True
        duration = record.duration if record else self.duration
        return now - watched.since >= duration + self._margin

    async def _term_of(self, name: str) -> int:
        envelope = _envelope(await self._store.get(name))
        return envelope.term if envelope else 0

    async def _fence(self, term: int) -> FenceReport | None:
        """Rewrite every protected object with ``term``; None if another is ahead."""
        stored_by_name = {}
        for name in self.protects:
            stored = await self._fence_object(name, term)
            if stored is None:
                return None
            stored_by_name[name] = stored
        return FenceReport(stored_by_name)

    async def _fence_object(self, name: str, term: int) -> StoredObject | None:
        base = await self._store.get(name)
        for _ in range(FENCE_TRIES):
            envelope = _envelope(base)
            if envelope is not None and envelope.term >= term:
                return None
            body = envelope.body if envelope else ""
            outcome = await self._writer.write(name, body, base, term)
            if isinstance(outcome, Written):
                return outcome.stored if outcome.version != ABSENT else None
            if not isinstance(outcome, Conflict) or outcome.current is None:
                return None
            base = outcome.current
        return None


@dataclass(frozen=True, slots=True)
class NotHeld:
    """The lease has run out on our own clock; nothing was sent."""


@dataclass(frozen=True, slots=True)
class FencedOff:
    """Another holder's term, or another write, is on the object; nothing of ours was written."""

    term: int


class FencedWriter:
    """Writes one protected object under a lease.

    The first write is based on the object as the lease's own fence left it, each later one on the
    write before. It never reads the object in order to write on top of it: a paused holder that
    did so would base its write on its successor's version, and the condition would hold.
    """

    def __init__(self, lease: Lease, name: str, writer: ConditionalWriter) -> None:
        if name not in lease.protects:
            raise ValueError(f"{lease.name} does not protect {name}")
        self.name = name
        self._lease = lease
        self._writer = writer
        self._fence: FenceReport | None = None
        self._base: StoredObject | None = None

    @property
    def base(self) -> StoredObject | None:
        """The object that the next write is based on; None without the lease."""
        fence = self._lease.fenced
        if fence is not self._fence:
            self._fence = fence
            self._base = fence.stored_by_name[self.name] if fence else None
        return self._base

    async def write(self, body: str, now: float) -> Written | Unsettled | NotHeld | FencedOff:
        """Write ``body`` under the lease.

        Raises
        ------
        StoreUnavailableError
            The write surely has no effect.
        """
        base = self.base
        if base is None or not self._lease.held(now):
            return NotHeld()
        term = self._lease.term
        envelope = _envelope(base)
        seen = envelope.term if envelope else 0
        if not invariants.check("lease.term_never_falls", seen <= term, (self.name, seen, term)):
            return FencedOff(seen)
        outcome = await self._writer.write(self.name, body, base, term)
        if isinstance(outcome, Written) and outcome.version != ABSENT:
            self._base = outcome.stored
            return outcome
        # After any other outcome the base is void, and so is this tenure: what is on the object
        # now was put there by a later holder, or cannot be known.
        self._lease.give_up()
        if isinstance(outcome, Conflict):
            current = _envelope(outcome.current)
            return FencedOff(current.term if current else 0)
        return outcome


def _envelope(stored: StoredObject | None) -> Envelope | None:
    return open_envelope(stored.value).default_value(None) if stored else None
