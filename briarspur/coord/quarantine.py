"""Quarantine: a request that crashes the servers it runs on is found and not run again.

A request in flight on a server when it crashes becomes a suspect. Suspects run alone on a server,
and one at a time, so the next crash names one of them; a suspect that is alone at its second crash
is quarantined. A complete answer removes one suspicion. Verdicts spread between members and expire
on each receiver's own clock.

The bound: let a request crash every server that runs it, and let ``c(e)`` be the most copies of it
that member ``e`` had running at once before ``e`` first saw or learnt of a crash. Until the
verdicts expire, it crashes at most::

    sum over the members e it was sent to, until e learns the verdict, of  1 + c(e)

servers: the ``c(e)`` copies that ran before the first crash was seen, then one run alone. A caller
that waits for its answer before it repeats has ``c(e) = 1``, so at most two servers for each member
that it reaches before the verdict does; and two in all if verdicts arrive before the repeats. An
innocent answer between two crashes allows one crash more.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from briarspur.coord.invariants import invariants

__all__ = ["Admission", "Quarantine", "QuarantineSettings", "Verdict"]


class Admission(Enum):
    """How a request may run."""

    RUN = "run"
    RUN_ALONE = "run alone"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Settings of a quarantine.

    Attributes
    ----------
    crashes : int
        Crashes after which a request that was alone at the last one is quarantined.
    lifetime : float
        Seconds after which a suspicion or a quarantine ends.
    remembered : int
        Most requests remembered; the oldest mere suspicion goes first.
    """

    crashes: int = 2
    lifetime: float = 600.0
    remembered: int = 10_000


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a member thinks of a request; ``age`` and ``lifetime`` in seconds.

    A verdict carries its age rather than a time, because clocks of members can't be compared.
    """

    digest: bytes
    crashes: int
    quarantined: bool
    age: float
    lifetime: float


@dataclass(slots=True)
class Record:
    """What is known of one request, until ``expires_at``."""

    crashes: int
    quarantined: bool
    began_at: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class AloneRun:
    """A suspect running on a target that it has for itself."""

    digest: bytes
    target: str


class Quarantine:
    """Suspects and quarantined requests, as one member knows them."""

    def __init__(self, settings: QuarantineSettings | None = None) -> None:
        self._settings = settings or QuarantineSettings()
        self._record_by_digest: dict[bytes, Record] = {}
        self._alone: AloneRun | None = None

    @property
    def alone_target(self) -> str | None:
        """The target that a suspect has for itself now; nothing else may be sent there."""
        return None if self._alone is None else self._alone.target

    def admit(self, digest: bytes, now: float) -> Admission:
        """Return how a request may run."""
        record = self._record(digest, now)
        if record is None:
            return Admission.RUN
        return Admission.REFUSE if record.quarantined else Admission.RUN_ALONE

    def begin_alone(self, digest: bytes, target: str, now: float) -> bool:
        """Take this member's one place for suspects; False if it is taken or the request refused.

        Two copies of a suspect that ran side by side on two servers could crash both. The place is
        kept until the run on ``target`` ends: another copy's crash or answer does not free it.
        """
        if self._alone is not None or self.admit(digest, now) is Admission.REFUSE:
            return False
        self._alone = AloneRun(digest, target)
        return True

    def end_alone(self, digest: bytes, target: str) -> None:
        """Give the place back, however the run ended."""
        if self._alone == AloneRun(digest, target):
            self._alone = None

    def crashed(self, target: str, suspects: Collection[bytes], now: float) -> list[Verdict]:
        """Suspect the requests that were in flight on a target when it crashed.

        Returns
        -------
        list of Verdict
            Of these requests, to be spread at once.
        """
        distinct = set(suspects)
        for digest in distinct:
            record = self._suspect(digest, now)
            if len(distinct) == 1 and record.crashes >= self._settings.crashes:
                record.quarantined = True
            self.end_alone(digest, target)
        kept = sorted(distinct & self._record_by_digest.keys())
        return [self._verdict(digest, now) for digest in kept]

    def innocent(self, digest: bytes) -> None:
        """Remove one suspicion, because the request was answered completely."""
        record = self._record_by_digest.get(digest)
        if record is None or record.quarantined:
            return
        record.crashes -= 1
        if record.crashes <= 0:
            del self._record_by_digest[digest]

    def verdicts(self, now: float) -> list[Verdict]:
        """Return what may be told to other members, the newest first."""
        self._expire(now)
        records = self._record_by_digest.items()
        newest = sorted(records, key=lambda item: item[1].began_at, reverse=True)
        return [self._verdict(digest, now) for digest, _ in newest]

    def learn(self, verdict: Verdict, now: float) -> None:
        """Take another member's verdict; the higher count stands, and it never lasts longer."""
        left = min(verdict.lifetime, self._settings.lifetime) - verdict.age
        if left <= 0.0 or verdict.crashes <= 0:
            return
        record = self._record(verdict.digest, now)
        if record is None:
            self._remember(
                verdict.digest,
                Record(verdict.crashes, verdict.quarantined, now - verdict.age, now + left),
            )
            return
        if verdict.crashes > record.crashes or verdict.quarantined > record.quarantined:
            record.crashes = max(record.crashes, verdict.crashes)
            record.quarantined = record.quarantined or verdict.quarantined
            record.expires_at = max(record.expires_at, now + left)

    def _suspect(self, digest: bytes, now: float) -> Record:
        record = self._record(digest, now)
        expires_at = now + self._settings.lifetime
        if record is None:
            record = Record(0, False, now, expires_at)
            self._remember(digest, record)
        record.crashes += 1
        record.began_at = now
        record.expires_at = expires_at
        return record

    def _verdict(self, digest: bytes, now: float) -> Verdict:
        record = self._record_by_digest[digest]
        age = now - record.began_at
        lifetime = record.expires_at - record.began_at
        return Verdict(digest, record.crashes, record.quarantined, age, lifetime)

    def _record(self, digest: bytes, now: float) -> Record | None:
        record = self._record_by_digest.get(digest)
        if record is not None and record.expires_at <= now:
            del self._record_by_digest[digest]
            return None
        return record

    def _expire(self, now: float) -> None:
        ended = [d for d, record in self._record_by_digest.items() if record.expires_at <= now]
        for digest in ended:
            del self._record_by_digest[digest]

    def _remember(self, digest: bytes, record: Record) -> None:
        if len(self._record_by_digest) >= self._settings.remembered:
            oldest = min(
                self._record_by_digest,
                key=lambda d: (
                    self._record_by_digest[d].quarantined,
                    self._record_by_digest[d].began_at,
                ),
            )
            del self._record_by_digest[oldest]
        self._record_by_digest[digest] = record
        invariants.check(
            "quarantine.bounded-memory",
            len(self._record_by_digest) <= self._settings.remembered,
            len(self._record_by_digest),
        )
