"""Quarantine: detect a request that crashes the servers it runs on, and stop running it.

Requests that are in flight on a server when it crashes become suspects. Suspects run isolated on a
server, and one at a time, so that the next crash identifies one of them; a suspect that ran alone
at its second crash is quarantined. A complete answer removes one suspicion. Verdicts spread between
members and expire by each receiver's own clock.

Bound on the damage: assume that a request crashes every server that runs it, and let ``c(e)`` be
the maximum number of copies of it that member ``e`` had running at the same time before ``e``
detected or was informed of a crash. Until the verdicts expire, the request crashes at most::

    sum over the members e that it was sent to, until e receives the verdict, of  1 + c(e)

servers: the ``c(e)`` copies that ran before the first crash was detected, and one isolated run. A
caller that waits for its answer before it repeats has ``c(e) = 1``, so it crashes at most two
servers for each member that it reaches before the verdict does, and two in total if verdicts arrive
before the repeats. Each complete answer between two crashes allows one more crash.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from briarspur.coord.invariants import invariants

__all__ = ["Admission", "Quarantine", "QuarantineSettings", "Verdict"]


class Admission(Enum):
    """How a request may run."""

    RUN = "run"
    RUN_ISOLATED = "run alone"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Settings of a quarantine.

    Attributes
    ----------
    crash_threshold : int
        Number of crashes after which a request is quarantined, if it ran alone at the last one.
    lifetime : float
        Seconds after which a suspicion or a quarantine expires.
    max_requests : int
        Maximum number of recorded requests. The oldest suspect is removed first, and a
        quarantined request only if there is no suspect.
    """

    crash_threshold: int = 2
    lifetime: float = 600.0
    max_requests: int = 10_000


@dataclass(frozen=True, slots=True)
class Verdict:
    """A member's assessment of a request; ``age`` and ``lifetime`` are in seconds.

    A verdict carries its age and not a time, because the clocks of members differ.
    """

    digest: bytes
    crashes: int
    quarantined: bool
    age: float
    lifetime: float


@dataclass(slots=True)
class SuspectRecord:
    """The suspicion against one request, valid until ``expires_at``."""

    crashes: int
    quarantined: bool
    suspected_at: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class IsolatedRun:
    """A suspect that is the only request on its target."""

    digest: bytes
    target: str


class Quarantine:
    """Suspects and quarantined requests that one member knows of."""

    def __init__(self, settings: QuarantineSettings | None = None) -> None:
        self._settings = settings or QuarantineSettings()
        self._record_by_digest: dict[bytes, SuspectRecord] = {}
        self._isolated_run: IsolatedRun | None = None

    @property
    def isolated_target(self) -> str | None:
        """The target reserved for an isolated run; no other request may be sent to it."""
        return None if self._isolated_run is None else self._isolated_run.target

    def admit(self, digest: bytes, now: float) -> Admission:
        """Return how a request may run."""
        record = self._current_record(digest, now)
        if record is None:
            return Admission.RUN
        return Admission.REFUSE if record.quarantined else Admission.RUN_ISOLATED

    def begin_isolated_run(self, digest: bytes, target: str, now: float) -> bool:
        """Reserve this member's only slot for isolated runs.

        Returns False if the slot is in use or the request is refused. There is only one slot
        because two copies of a suspect that run on two servers could crash both. The slot is
        reserved until the run on ``target`` ends: a crash or answer of another copy does not free
        it.
        """
        if self._isolated_run is not None or self.admit(digest, now) is Admission.REFUSE:
            return False
        self._isolated_run = IsolatedRun(digest, target)
        return True

    def end_isolated_run(self, digest: bytes, target: str) -> None:
        """Free the slot for isolated runs, regardless of the result of the run."""
        if self._isolated_run == IsolatedRun(digest, target):
            self._isolated_run = None

    def record_crash(self, target: str, suspects: Collection[bytes], now: float) -> list[Verdict]:
        """Add a suspicion against each request that was in flight on a target when it crashed.

        Returns
        -------
        list of Verdict
            Verdicts on these requests, to be sent to the other members immediately.
        """
        suspect_digests = set(suspects)
        for digest in suspect_digests:
            record = self._add_suspicion(digest, now)
            if len(suspect_digests) == 1 and record.crashes >= self._settings.crash_threshold:
                record.quarantined = True
            self.end_isolated_run(digest, target)
        recorded = sorted(suspect_digests & self._record_by_digest.keys())
        return [self._verdict(digest, now) for digest in recorded]

    def record_answer(self, digest: bytes) -> None:
        """Remove one suspicion, because the request received a complete answer."""
        record = self._record_by_digest.get(digest)
        if record is None or record.quarantined:
            return
        record.crashes -= 1
        if record.crashes <= 0:
            del self._record_by_digest[digest]

    def verdicts(self, now: float) -> list[Verdict]:
        """Return the verdicts to report to other members, newest first."""
        self._expire(now)
        records = self._record_by_digest.items()
        newest_first = sorted(records, key=lambda item: item[1].suspected_at, reverse=True)
        return [self._verdict(digest, now) for digest, _ in newest_first]

    def merge_verdict(self, verdict: Verdict, now: float) -> None:
        """Merge a verdict of another member.

        The higher crash count wins. A verdict never lasts longer than this member's own lifetime
        setting, and a verdict that adds nothing does not extend a record.
        """
        remaining = min(verdict.lifetime, self._settings.lifetime) - verdict.age
        if remaining <= 0.0 or verdict.crashes <= 0:
            return
        record = self._current_record(verdict.digest, now)
        if record is None:
            self._add_record(
                verdict.digest,
                SuspectRecord(
                    verdict.crashes, verdict.quarantined, now - verdict.age, now + remaining
                ),
            )
            return
        if verdict.crashes > record.crashes or verdict.quarantined > record.quarantined:
            record.crashes = max(record.crashes, verdict.crashes)
            record.quarantined = record.quarantined or verdict.quarantined
            record.expires_at = max(record.expires_at, now + remaining)

    def _add_suspicion(self, digest: bytes, now: float) -> SuspectRecord:
        record = self._current_record(digest, now)
        expires_at = now + self._settings.lifetime
        if record is None:
            record = SuspectRecord(0, False, now, expires_at)
            self._add_record(digest, record)
        record.crashes += 1
        record.suspected_at = now
        record.expires_at = expires_at
        return record

    def _verdict(self, digest: bytes, now: float) -> Verdict:
        record = self._record_by_digest[digest]
        age = now - record.suspected_at
        lifetime = record.expires_at - record.suspected_at
        return Verdict(digest, record.crashes, record.quarantined, age, lifetime)

    def _current_record(self, digest: bytes, now: float) -> SuspectRecord | None:
        record = self._record_by_digest.get(digest)
        if record is not None and record.expires_at <= now:
            del self._record_by_digest[digest]
            return None
        return record

    def _expire(self, now: float) -> None:
        expired = [d for d, record in self._record_by_digest.items() if record.expires_at <= now]
        for digest in expired:
            del self._record_by_digest[digest]

    def _add_record(self, digest: bytes, record: SuspectRecord) -> None:
        if len(self._record_by_digest) >= self._settings.max_requests:
            oldest = min(
                self._record_by_digest,
                key=lambda d: (
                    self._record_by_digest[d].quarantined,
                    self._record_by_digest[d].suspected_at,
                ),
            )
            del self._record_by_digest[oldest]
        self._record_by_digest[digest] = record
        invariants.check(
            "quarantine.bounded-memory",
            len(self._record_by_digest) <= self._settings.max_requests,
            len(self._record_by_digest),
        )
