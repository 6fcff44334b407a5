"""Simpler policies for choosing a target, as baselines in experiments; not for production."""

import random
from collections import deque
from collections.abc import Sequence
from enum import Enum

from briarspur.ownership import OwnerSlots, SlotRule
from briarspur.policy import Target
from briarspur.target import Chooser, LeastInFlight, OwnTarget

__all__ = ["Alternative", "DelayedLoads", "make_chooser", "make_slot_rule"]

REPORT_DELAY_S = 2.0


class Alternative(Enum):
    """Policy to use, as named in the settings of an experiment."""

    OWNERS = "owners"
    RANDOM = "random"
    TWO_CHOICES = "two-choices"
    STATIC = "static"


class AllTargets:
    """Slot rule by which every entry of a region may use all slots of all targets."""

    def slots_by_target(
        self, targets: Sequence[Target], members: Sequence[str], entry_id: str
    ) -> dict[str, int]:
        """Return all slots of all targets."""
        return {target.target_id: target.slots for target in targets}

    def targets_by_entry(
        self, targets: Sequence[Target], members: Sequence[str]
    ) -> dict[str, list[str]]:
        """Return every target for every entry."""
        return {entry_id: [target.target_id for target in targets] for entry_id in members}


class StaticShares:
    """Slot rule that distributes the slots of a service evenly, in fixed order, among entries."""

    def slots_by_target(
        self, targets: Sequence[Target], members: Sequence[str], entry_id: str
    ) -> dict[str, int]:
        """Return the slots assigned to ``entry_id``."""
        assigned = {target.target_id: 0 for target in targets}
        slots = [target.target_id for target in targets for _ in range(target.slots)]
        for number, target_id in enumerate(slots):
            if members[number % len(members)] == entry_id:
                assigned[target_id] += 1
        return {target_id: count for target_id, count in assigned.items() if count}

    def targets_by_entry(
        self, targets: Sequence[Target], members: Sequence[str]
    ) -> dict[str, list[str]]:
        """Return the targets of which each entry has a slot."""
        return {
            entry_id: sorted(assigned)
            for entry_id in members
            if (assigned := self.slots_by_target(targets, members, entry_id))
        }


class DelayedLoads:
    """In-flight counts that targets reported, visible ``REPORT_DELAY_S`` later."""

    def __init__(self) -> None:
        self._reports_by_target: dict[str, deque[tuple[float, int]]] = {}

    def report(self, target_id: str, in_flight: int, now: float) -> None:
        """Record a report."""
        self._reports_by_target.setdefault(target_id, deque(maxlen=64)).append((now, in_flight))

    def in_flight(self, target_id: str, now: float) -> int:
        """Return the newest count that is old enough, or 0 if there is none."""
        reports = self._reports_by_target.get(target_id, ())
        visible = [count for at, count in reports if at <= now - REPORT_DELAY_S]
        return visible[-1] if visible else 0


class RandomTarget:
    """Chooses a target at random."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[OwnTarget], now: float) -> OwnTarget:
        """Return a random candidate."""
        return self._rng.choice(candidates)


class TwoChoices:
    """Chooses the less loaded of two random targets, according to delayed reports."""

    def __init__(self, rng: random.Random, loads: DelayedLoads) -> None:
        self._rng = rng
        self._loads = loads

    def choose(self, candidates: Sequence[OwnTarget], now: float) -> OwnTarget:
        """Return the candidate with the lower reported load."""
        sampled = self._rng.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=lambda own: self._loads.in_flight(own.target.target_id, now))


def make_slot_rule(alternative: Alternative) -> SlotRule:
    """Return the slot rule of an alternative."""
    if alternative is Alternative.OWNERS:
        return OwnerSlots()
    return StaticShares() if alternative is Alternative.STATIC else AllTargets()


def make_chooser(alternative: Alternative, rng: random.Random, loads: DelayedLoads) -> Chooser:
    """Return the chooser of an alternative."""
    if alternative is Alternative.RANDOM:
        return RandomTarget(rng)
    if alternative is Alternative.TWO_CHOICES:
        return TwoChoices(rng, loads)
    return LeastInFlight(rng)
