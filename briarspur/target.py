"""Filter: which backend server of our own runs a request."""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from briarspur.coord.invariants import invariants
from briarspur.coord.ramp import Ramp
from briarspur.policy import Target, TargetState
from briarspur.work import Work

__all__ = ["Chooser", "LeastInFlight", "OwnTarget", "OwnTargets"]

MIN_LATENCY = 1e-4
"""Seconds; a floor for the mean, so that an estimate of waiting time never divides to nothing."""

MOST_REST = 60.0
"""Seconds; a longer rest is taken as this long, so that no target is shut out for good."""
LATENCY_WEIGHT = 0.1
"""Weight of the newest answer in the mean latency of a service."""


@dataclass(slots=True)
class OwnTarget:
    """A target that this entry may dispatch to.

    Attributes
    ----------
    slots : int
        How many requests of ours it may run at once.
    in_flight : int
        How many it runs for us now.
    policy_leaving : bool
        The policy says that it takes no new work.
    signal_until : float
        Until then it takes no new work, because it said so itself, or the VM list or a peer did.
    rest_until : float
        Until then it wants nothing from this entry, which it turned away.
    digests_by_attempt : dict of int to bytes
        What it runs, so that a crash leaves its suspects known.
    reserved : bool
        It runs a suspect alone and takes nothing beside it.
    """

    target: Target
    slots: int
    ramp: Ramp
    in_flight: int = 0
    policy_leaving: bool = False
    signal_until: float = 0.0
    rest_until: float = 0.0
    reserved: bool = False
    digests_by_attempt: dict[int, bytes] = field(default_factory=dict)

    def leaving(self, now: float) -> bool:
        """Tell whether it takes no new work."""
        return self.policy_leaving or now < self.signal_until

    def rest(self, seconds: float, now: float) -> None:
        """Take a rest that it asks for; of several the latest end counts."""
        self.rest_until = max(self.rest_until, now + min(seconds, MOST_REST))

    def free(self, now: float) -> int:
        """Return how many more requests it may take now."""
        if self.reserved or self.leaving(now) or now < self.rest_until:
            return 0
        return min(self.slots, self.ramp.limit(now)) - self.in_flight


class Chooser(Protocol):
    """How one of several targets with a free slot is chosen."""

    def choose(self, candidates: Sequence[OwnTarget], now: float) -> OwnTarget:
        """Return one of ``candidates``, which are never empty."""


class LeastInFlight:
    """The target with the fewest requests of ours; chance decides between equals."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[OwnTarget], now: float) -> OwnTarget:
        """Return the candidate with the smallest part of its slots in use."""
        least = min(own.in_flight / own.slots for own in candidates)
        best = [own for own in candidates if own.in_flight / own.slots == least]
        return best[0] if len(best) == 1 else self._rng.choice(best)


class OwnTargets:
    """The targets of one service that this entry may dispatch to.

    A target that is no longer ours keeps its record until its last request has ended, so that
    requests in flight stay counted.
    """

    def __init__(self, service: str, chooser: Chooser) -> None:
        self.service = service
        self.by_id: dict[str, OwnTarget] = {}
        self.mean_latency = 0.0
        self._chooser = chooser

    def assign(self, targets: Sequence[Target], slots_by_target: dict[str, int]) -> set[str]:
        """Take a new assignment; return the ids of the targets that are new to this entry."""
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
        self._forget({target.target_id for target in targets})
        return new

    def _forget(self, known: set[str]) -> None:
        """Drop targets that are gone from the policy or not ours, once nothing runs on them."""
        for target_id, own in list(self.by_id.items()):
            if target_id not in known:
                own.slots = 0
            if own.slots == 0 and own.in_flight == 0:
                del self.by_id[target_id]

    def choose(self, work: Work, ejected: frozenset[str], now: float) -> OwnTarget | None:
        """Return a target with a free slot for this request; None if there is none now."""
        candidates = [
            own
            for own in self.by_id.values()
            if own.free(now) > 0 and own.target.target_id not in work.failed_targets
        ]
        if work.alone:
            candidates = [own for own in candidates if own.in_flight == 0]
        healthy = [own for own in candidates if own.target.target_id not in ejected]
        if not healthy:
            return None
        return self._chooser.choose(healthy, now)

    def started(self, own: OwnTarget, attempt_id: int, work: Work) -> None:
        """Count a dispatched request."""
        own.in_flight += 1
        own.reserved = work.alone
        own.digests_by_attempt[attempt_id] = work.request.body_digest
        invariants.check("target-slots", own.in_flight <= max(own.slots, 1), own)

    def ended(self, own: OwnTarget, attempt_id: int) -> None:
        """Count the end of a dispatched request."""
        own.in_flight -= 1
        own.reserved = False
        own.digests_by_attempt.pop(attempt_id, None)
        invariants.check("target-in-flight", own.in_flight >= 0, own)

    def answered(self, own: OwnTarget, latency: float, now: float) -> None:
        """Learn from a whole answer; ``latency`` in seconds."""
        own.ramp.set_reference(self.mean_latency or None)
        own.ramp.record_latency(latency, now)
        if self.mean_latency == 0.0:
            self.mean_latency = latency
        else:
            self.mean_latency += LATENCY_WEIGHT * (latency - self.mean_latency)

    def taking(self, now: float, without: Collection[str] = ()) -> bool:
        """Tell whether any target of ours takes new work, those named ``without`` left aside."""
        return any(
            own.slots > 0 and not own.leaving(now) and target_id not in without
            for target_id, own in self.by_id.items()
        )

    def free(self, now: float) -> int:
        """Return the free slots of all targets of ours."""
        return sum(max(own.free(now), 0) for own in self.by_id.values())

    def wait_for(self, ahead: int, now: float) -> float:
        """Estimate the seconds until a request with ``ahead`` others before it gets a slot."""
        staying = [own for own in self.by_id.values() if own.slots and not own.leaving(now)]
        if not staying:
            return float("inf")
        rest = max(0.0, min(own.rest_until for own in staying) - now)
        slots = sum(own.slots for own in staying if own.rest_until <= now + rest)
        return rest + (ahead + 1) * max(self.mean_latency, MIN_LATENCY) / slots
