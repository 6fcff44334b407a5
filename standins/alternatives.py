"""Simpler ways of choosing a target, to measure the chosen one against; never for operators."""

import random
from collections import deque
from collections.abc import Sequence
from enum import Enum

from briarspur.ownership import OwnerSlots, SlotRule
from briarspur.policy import Target
from briarspur.target import Chooser, LeastInFlight, OwnTarget

__all__ = ["Alternative", "LaggingLoads", "chooser_of", "rule_of"]

REPORT_AGE_S = 2.0


class Alternative(Enum):
    """A value in an experiment's settings."""

    OWNERS = "owners"
    RANDOM = "random"
    TWO_CHOICES = "two-choices"
    STATIC = "static"


class AllTargets:
    """Every entry of a region may use every slot of its targets."""

    def slots_by_target(
        self, targets: Sequence[Target], members: Sequence[str], entry_id: str
    ) -> dict[str, int]:
        """Return all slots."""
        return {target.target_id: target.slots for target in targets}

    def targets_by_entry(
        self, targets: Sequence[Target], members: Sequence[str]
    ) -> dict[str, list[str]]:
        """Return every target for every entry."""
        return {entry_id: [target.target_id for target in targets] for entry_id in members}


class StaticShares:
    """The slots of a service are dealt out evenly, once, to the entries of the region."""

    def slots_by_target(
        self, targets: Sequence[Target], members: Sequence[str], entry_id: str
    ) -> dict[str, int]:
        """Return the slots dealt to ``entry_id``."""
        dealt = {target.target_id: 0 for target in targets}
        slots = [target.target_id for target in targets for _ in range(target.slots)]
        for number, target_id in enumerate(slots):
            if members[number % len(members)] == entry_id:
                dealt[target_id] += 1
        return {target_id: count for target_id, count in dealt.items() if count}

    def targets_by_entry(
        self, targets: Sequence[Target], members: Sequence[str]
    ) -> dict[str, list[str]]:
        """Return the targets each entry has a slot of."""
        return {
            entry_id: sorted(dealt)
            for entry_id in members
            if (dealt := self.slots_by_target(targets, members, entry_id))
        }


class LaggingLoads:
    """In-flight counts that targets reported, seen ``REPORT_AGE_S`` late."""

    def __init__(self) -> None:
        self._reports_by_target: dict[str, deque[tuple[float, int]]] = {}

    def report(self, target_id: str, in_flight: int, now: float) -> None:
        """Take a report."""
        self._reports_by_target.setdefault(target_id, deque(maxlen=64)).append((now, in_flight))

    def in_flight(self, target_id: str, now: float) -> int:
        """Return the newest count that is old enough, 0 if there is none."""
        reports = self._reports_by_target.get(target_id, ())
        seen = [count for at, count in reports if at <= now - REPORT_AGE_S]
        return seen[-1] if seen else 0


class RandomTarget:
    """Any target."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[OwnTarget], now: float) -> OwnTarget:
        """Return one at random."""
        return self._rng.choice(candidates)


class TwoChoices:
    """The less loaded of two targets taken at random, by lagging reports."""

    def __init__(self, rng: random.Random, loads: LaggingLoads) -> None:
        self._rng = rng
        self._loads = loads

    def choose(self, candidates: Sequence[OwnTarget], now: float) -> OwnTarget:
        """Return the one that reported less."""
        two = self._rng.sample(candidates, min(2, len(candidates)))
        return min(two, key=lambda own: self._loads.in_flight(own.target.target_id, now))


def rule_of(alternative: Alternative) -> SlotRule:
    """Return how an alternative gives out slots."""
    if alternative is Alternative.OWNERS:
        return OwnerSlots()
    return StaticShares() if alternative is Alternative.STATIC else AllTargets()


def chooser_of(alternative: Alternative, rng: random.Random, loads: LaggingLoads) -> Chooser:
    """Return how an alternative chooses among targets."""
    if alternative is Alternative.RANDOM:
        return RandomTarget(rng)
    if alternative is Alternative.TWO_CHOICES:
        return TwoChoices(rng, loads)
    return LeastInFlight(rng)
