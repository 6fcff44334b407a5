"""A lease on an object in the store, with terms that fence off a paused holder.

A holder can be paused beyond the end of its lease without noticing. No local check prevents this,
since the pause may come after the check. What prevents it is the order in which a contender takes
over:

1. It observes that the version of the lease does not change for the duration of the lease plus a
   margin, by its own clock.
2. It rewrites each protected object with a higher term. From then on the conditional writes of the
   old holder fail, because the version of the object has changed, and the old holder may not
   replace a higher term.
3. It takes the lease, conditional on the version that it observed.

Because fencing comes before taking, no write of the old holder can come in between: when the lease
changes hands, all writes that the old holder based on its own term are void. If a contender fences
and then fails in step 3, the term of the current holder is too low; that holder finds the higher
term at its next write and gives up the lease.
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
MAX_FENCE_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The body of a lease object.

    Attributes
    ----------
    holder : str
        Unique to one process, so that a restarted process does not consider itself the holder.
    duration : float
        Seconds for which the holder may act after each renewal.
    released : bool
        Whether the holder has released the lease, so that contenders need not wait.
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
class _Observation:
    """The state that a contender observes, and since when; any change restarts the wait."""

    version: int
    highest_term: int
    since: float


@dataclass(frozen=True, slots=True)
class FenceReport:
    """The protected objects after a contender rewrote them with its term."""

    stored_by_name: dict[str, StoredObject]


class Lease:
    """A lease as seen by one process.

    Call :meth:`renew_or_acquire` about three times in each duration, never concurrently.

    Parameters
    ----------
    store : ObjectStore
    name : str
        The lease object is ``leases/<name>``.
    holder : str
        Unique to this process.
    duration : float
        Seconds.
    protected_names : tuple of str
        Objects that are written only under this lease, through :class:`FencedWriter`.
    clock : callable
        Monotonic seconds.
    writer : ConditionalWriter
    margin : float or None
        Seconds added to the duration of another holder, because clock rates differ.
    """

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        holder: str,
        duration: float,
        protected_names: tuple[str, ...],
        clock: Callable[[], float],
        writer: ConditionalWriter,
        margin: float | None = None,
    ) -> None:
        self.name = f"leases/{name}"
        self.holder = holder
        self.duration = duration
        self.protected_names = protected_names
        self.term = 0
        self.fence_report: FenceReport | None = None
        self._store = store
        self._clock = clock
        self._writer = writer
        self._margin = duration * DEFAULT_MARGIN_SHARE if margin is None else margin
        self._held_until = -math.inf
        self._base: StoredObject | None = None
        self._unsettled: Unsettled | None = None
        self._observed: _Observation | None = None

    def is_held(self, now: float) -> bool:
        """Whether this process may act under the lease at ``now``."""
        return now < self._held_until

    @property
    def may_be_held(self) -> bool:
        """Whether this process took the lease and does not know that it has lost it.

        The lease may be lost nevertheless, so use this only for work that two processes may do at
        the same time without conflict.
        """
        return self._base is not None

    async def renew_or_acquire(self) -> bool:
        """Renew the lease or try to acquire it; return whether it is held afterwards.

        Store errors are ignored: during an outage the lease expires by the clock.
        """
        with contextlib.suppress(StoreError):
            if self._base is not None:
                await self._renew(self._base)
            else:
                await self._try_acquire()
        return self.is_held(self._clock())

    async def release(self) -> None:
        """Release the lease at a planned stop, so that the next holder need not wait."""
        base = self._base
        self.give_up()
        if base is None:
            return
        record = LeaseRecord(self.holder, self.duration, released=True)
        with contextlib.suppress(StoreError):
            await self._writer.write(self.name, record.encode(), base, self.term)

    def give_up(self) -> None:
        """Stop acting under the lease; the next ``renew_or_acquire`` contends for it again."""
        self._held_until = -math.inf
        self._base = None
        self._unsettled = None
        self._observed = None
        self.fence_report = None

    async def _renew(self, base: StoredObject) -> None:
        # The duration counts from before the renewal was sent: a contender sees the new version
        # later than that, so its wait ends after this holder has stopped acting.
        sent_at = self._clock()
        record = LeaseRecord(self.holder, self.duration)
        outcome = await self._writer.write(self.name, record.encode(), base, self.term)
        # A fenced-off write may have given up the lease meanwhile; the renewal must not revive it.
        if self._base is base:
            self._apply_outcome(outcome, sent_at)

    def _apply_outcome(self, outcome: WriteOutcome, sent_at: float) -> None:
        if isinstance(outcome, Written) and outcome.version != ABSENT:
            self._base = outcome.stored
            self._unsettled = None
            self._held_until = max(self._held_until, sent_at + self.duration)
        elif isinstance(outcome, Unsettled):
            self._unsettled = outcome
        elif isinstance(outcome, Conflict) and self._is_own_write(outcome.current):
            # An earlier renewal of this process whose answer was lost did take effect. The process
            # is still the holder, but when that happened is unknown, so the lease is not extended.
            self._base = outcome.current
            self._unsettled = None
        else:
            self.give_up()

    def _is_own_write(self, current: StoredObject | None) -> bool:
        envelope = _envelope(current)
        return bool(envelope and self._unsettled and envelope.token == self._unsettled.token)

    async def _try_acquire(self) -> None:
        found = await self._store.get(self.name)
        envelope = _envelope(found)
        record = LeaseRecord.decode(envelope.body) if envelope else None
        if not await self._has_lapsed(found, record):
            return
        assert self._observed is not None
        term = self._observed.highest_term + 1
        fence_report = await self._fence(term)
        if fence_report is None:
            self._observed = None
            return
        sent_at = self._clock()
        own_record = LeaseRecord(self.holder, self.duration).encode()
        outcome = await self._writer.write(self.name, own_record, found, term)
        self._observed = None
        if isinstance(outcome, Written) and outcome.version != ABSENT:
            self.term = term
            self.fence_report = fence_report
            self._apply_outcome(outcome, sent_at)

    async def _has_lapsed(self, found: StoredObject | None, record: LeaseRecord | None) -> bool:
        """Whether nothing has changed for as long as the holder may have been acting."""
        version = found.version if found else ABSENT
        envelope = _envelope(found)
        # Other contenders also fence before they take the lease. A higher term on an object must
        # restart the wait, otherwise contenders would fence each other off forever.
        terms = [await self._read_term(name) for name in self.protected_names]
        highest = max([envelope.term if envelope else 0, *terms])
        now = self._clock()
        observed = self._observed
        if observed is None or (observed.version, observed.highest_term) != (version, highest):
            self._observed = observed = _Observation(version, highest, now)
        # A lease of this process that it gave up needs no wait either: nobody acts under it.
        if record is not None and (record.released or record.holder == self.holder):
            return True
        duration = record.duration if record else self.duration
        return now - observed.since >= duration + self._margin

    async def _read_term(self, name: str) -> int:
        envelope = _envelope(await self._store.get(name))
        return envelope.term if envelope else 0

    async def _fence(self, term: int) -> FenceReport | None:
        """Rewrite all protected objects with ``term``; None if another contender is ahead."""
        stored_by_name = {}
        for name in self.protected_names:
            stored = await self._fence_object(name, term)
            if stored is None:
                return None
            stored_by_name[name] = stored
        return FenceReport(stored_by_name)

    async def _fence_object(self, name: str, term: int) -> StoredObject | None:
        base = await self._store.get(name)
        for _ in range(MAX_FENCE_ATTEMPTS):
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
    """The lease has expired by this process's clock; nothing was sent."""


@dataclass(frozen=True, slots=True)
class FencedOff:
    """The object has another holder's term or was written by another; nothing was written."""

    term: int


class FencedWriter:
    """Writes one protected object under a lease.

    The first write is based on the object as fenced by this lease, and each later write on the
    previous one. The writer never reads the object to get a base: a paused holder that did so would
    base its write on the version of its successor, and the condition would be met.
    """

    def __init__(self, lease: Lease, name: str, writer: ConditionalWriter) -> None:
        if name not in lease.protected_names:
            raise ValueError(f"{lease.name} does not protect {name}")
        self.name = name
        self._lease = lease
        self._writer = writer
        self._fence_report: FenceReport | None = None
        self._base: StoredObject | None = None

    @property
    def base(self) -> StoredObject | None:
        """The object that the next write is based on, or None if the lease is not held."""
        report = self._lease.fence_report
        if report is not self._fence_report:
            self._fence_report = report
            self._base = report.stored_by_name[self.name] if report else None
        return self._base

    async def write(self, body: str, now: float) -> Written | Unsettled | NotHeld | FencedOff:
        """Write ``body`` under the lease.

        Raises
        ------
        StoreUnavailableError
            The write certainly has no effect.
        """
        base = self.base
        if base is None or not self._lease.is_held(now):
            return NotHeld()
        term = self._lease.term
        envelope = _envelope(base)
        stored_term = envelope.term if envelope else 0
        if not invariants.check(
            "lease.term_never_falls", stored_term <= term, (self.name, stored_term, term)
        ):
            return FencedOff(stored_term)
        outcome = await self._writer.write(self.name, body, base, term)
        if isinstance(outcome, Written) and outcome.version != ABSENT:
            self._base = outcome.stored
            return outcome
        # After any other outcome neither the base nor the lease is valid: the current object was
        # written by a later holder, or is unknown.
        self._lease.give_up()
        if isinstance(outcome, Conflict):
            current = _envelope(outcome.current)
            return FencedOff(current.term if current else 0)
        return outcome


def _envelope(stored: StoredObject | None) -> Envelope | None:
    return open_envelope(stored.value).default_value(None) if stored else None
