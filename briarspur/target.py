"""Filter: choose which of this entry's backend servers runs a request."""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from briarspur.coord.invariants import invariants
from briarspur.coord.ramp import Ramp
from briarspur.policy import Target, TargetState
from briarspur.work import Work

__all__ = ["Chooser", "LeastInFlight", "OwnTarget", "OwnTargets"]

MIN_LATENCY_S = 1e-4
"""Lower bound of the mean latency, so that the estimate of a waiting time is never zero."""

MAX_BACKOFF_S = 60.0
"""Upper bound of a requested backoff, so that no target is excluded for good."""

LATENCY_WEIGHT = 0.1
"""Weight of the latest answer in a service's mean latency (exponential moving average)."""


@dataclass(slots=True)
class OwnTarget:
    """A target that this entry may dispatch to.

    Attributes
    ----------
    slots : int
        Maximum number of concurrent requests from this entry.
    in_flight : int
        Requests that it is running for this entry.
    policy_leaving : bool
        Its state in the policy is leaving: it accepts no new work.
    reported_leaving_until : float
        Until then it accepts no new work, as reported by itself, the VM list or a peer.
    backoff_until : float
        Until then this entry sends it nothing, because it shed a request and asked for a pause.
    digests_by_attempt : dict of int to bytes
        Digests of the requests it is running: the suspects if it crashes.
    reserved : bool
        It runs a suspected request in isolation and gets no other one.
    """

    target: Target
    slots: int
    ramp: Ramp
    in_flight: int = 0
    policy_leaving: bool = False
    reported_leaving_until: float = 0.0
    backoff_until: float = 0.0
    reserved: bool = False
    digests_by_attempt: dict[int, bytes] = field(default_factory=dict)

    def is_leaving(self, now: float) -> bool:
        """Return whether the target accepts no new work."""
        return self.policy_leaving or now < self.reported_leaving_until

    def back_off(self, seconds: float, now: float) -> None:
        """Send nothing for the time that the target asked for; the latest end applies."""
        self.backoff_until = max(self.backoff_until, now + min(seconds, MAX_BACKOFF_S))

    def free_slots(self, now: float) -> int:
        """Return how many more requests the target may get now."""
        if self.reserved or self.is_leaving(now) or now < self.backoff_until:
            return 0
        return min(self.slots, self.ramp.limit(now)) - self.in_flight


class Chooser(Protocol):
    """Strategy that chooses one of several targets with a free slot."""

    def choose(self, candidates: Sequence[OwnTarget], now: float) -> OwnTarget:
        """Return one of ``candidates``, which is never empty."""


class LeastInFlight:
    """Choose the target with the smallest share of its slots in use; ties are broken at random."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[OwnTarget], now: float) -> OwnTarget:
        """Return the candidate with the smallest share of its slots in use."""
        least = min(own.in_flight / own.slots for own in candidates)
        best = [own for own in candidates if own.in_flight / own.slots == least]
        return best[0] if len(best) == 1 else self._rng.choice(best)


class OwnTargets:
    """The targets of one service that this entry may dispatch to.

    A target that is assigned to another entry keeps its record until its last request has ended, so
    that requests in flight stay counted.
    """

    def __init__(self, service: str, chooser: Chooser) -> None:
        self.service = service
        self.by_id: dict[str, OwnTarget] = {}
        self.mean_latency = 0.0
        self._chooser = chooser

    def assign(self, targets: Sequence[Target], slots_by_target: dict[str, int]) -> set[str]:
        """Apply a new assignment; return the ids of the targets that are new to this entry."""
        new = set()
        for target in targets:
            slots = slots_by_target.get(target.target_id, 0)
            own = self.by_id.get(target.target_id)
            if own is None and slots > 0:
                own = OwnTarget(target, slots, Ramp(target.slots))
                self.by_id[target.target_id] = own
                new.add(target.target_id)
            elif own is not None:
                if own.slots == 0 and slots > 0:
                    new.add(target.target_id)
                own.target, own.slots = target, slots
            if own is not None:
                own.policy_leaving = target.state is TargetState.LEAVING
        self._remove_unused({target.target_id for target in targets})
        return new

    def _remove_unused(self, known: set[str]) -> None:
        """Remove targets without requests that left the policy or belong to another entry."""
        for target_id, own in list(self.by_id.items()):
            if target_id not in known:
                own.slots = 0
            if own.slots == 0 and own.in_flight == 0:
                del self.by_id[target_id]

    def choose(self, work: Work, ejected: frozenset[str], now: float) -> OwnTarget | None:
        """Return a target with a free slot for this request, or None."""
        candidates = [
            own
            for own in self.by_id.values()
            if own.free_slots(now) > 0 and own.target.target_id not in work.failed_targets
        ]
        if work.isolated:
            candidates = [own for own in candidates if own.in_flight == 0]
        healthy = [own for own in candidates if own.target.target_id not in ejected]
        if not healthy:
            return None
        return self._chooser.choose(healthy, now)

    def started(self, own: OwnTarget, attempt_id: int, work: Work) -> None:
        """Count a dispatched request."""
        own.in_flight += 1
        own.reserved = work.isolated
        own.digests_by_attempt[attempt_id] = work.request.body_digest
        invariants.check("target-slots", own.in_flight <= max(own.slots, 1), own)

    def ended(self, own: OwnTarget, attempt_id: int) -> None:
        """Count the end of a dispatched request."""
        own.in_flight -= 1
        own.reserved = False
        own.digests_by_attempt.pop(attempt_id, None)
        invariants.check("target-in-flight", own.in_flight >= 0, own)

    def answered(self, own: OwnTarget, latency: float, now: float) -> None:
        """Update the ramp and the mean latency after an answer; ``latency`` in seconds."""
        own.ramp.set_reference(self.mean_latency or None)
        own.ramp.record_latency(latency, now)
        if self.mean_latency == 0.0:
            self.mean_latency = latency
        else:
            self.mean_latency += LATENCY_WEIGHT * (latency - self.mean_latency)

    def accepts_work(self, now: float, excluded: Collection[str] = ()) -> bool:
        """Return whether any target except those in ``excluded`` accepts new work."""
        return any(
            own.slots > 0 and not own.is_leaving(now) and target_id not in excluded
            for target_id, own in self.by_id.items()
        )

    def free_slots(self, now: float) -> int:
        """Return the number of free slots over all targets."""
        return sum(max(own.free_slots(now), 0) for own in self.by_id.values())

    def estimate_wait(self, ahead: int, now: float) -> float:
        """Estimate the seconds until a request with ``ahead`` others before it gets a slot."""
        accepting = [own for own in self.by_id.values() if own.slots and not own.is_leaving(now)]
        if not accepting:
            return float("inf")
        backoff = max(0.0, min(own.backoff_until for own in accepting) - now)
        slots = sum(own.slots for own in accepting if own.backoff_until <= now + backoff)
        return backoff + (ahead + 1) * max(self.mean_latency, MIN_LATENCY_S) / slots
