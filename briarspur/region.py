"""Filter: which region serves a request."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from expression import Error, Ok, Result

from briarspur.codes import Code
from briarspur.messages import ShiftKind
from briarspur.policy import Policy, Service
from briarspur.refusal import Refusal

__all__ = ["RegionChoice", "RegionChooser", "Splits"]

Splits = Mapping[str, Mapping[str, Mapping[str, float]]]
"""By service and home region, the share of its callers that each region serves."""

ShiftGate = Callable[[str, str, str, ShiftKind], bool]
"""Called with service, home, region and kind; False if the cap on shifts forbids the move."""


@dataclass(frozen=True, slots=True)
class RegionChoice:
    """The region chosen, and what moved the request there if it is not at home."""

    region: str
    moved_by: ShiftKind | None


class RegionChooser:
    """Chooses by the split in force; moves on to other regions only where a cap allows it.

    Parameters
    ----------
    policy : Policy
        The policy in force.
    rng : random.Random
        Draws the region where a split gives shares to several.
    before : RegionChooser or None
        The chooser of the former policy; its plan stays in force.
    """

    def __init__(
        self, policy: Policy, rng: random.Random, before: "RegionChooser | None" = None
    ) -> None:
        self._policy = policy
        self._rng = rng
        self._planned: Splits = before._planned if before is not None else {}

    def follow_plan(self, splits: Splits) -> None:
        """Let the splits of a plan, by service and home, go before those of the policy."""
        self._planned = splits

    def choose(
        self, service: Service, home: str, usable: Callable[[str], bool], gate: ShiftGate
    ) -> Result[RegionChoice, Refusal]:
        """Return the region for a request.

        Parameters
        ----------
        usable : callable
            Tells whether a region has an entry and a target for the service.
        gate : callable
            Takes a move from the shift budget; False if the cap is reached.
        """
        drawn = self._draw(self.split(service, home), home)
        if usable(drawn):
            choice = self._drawn_choice(service, home, drawn, usable, gate)
            if choice is not None:
                return Ok(choice)
        return self._spill(service, home, drawn, usable, gate)

    def split(self, service: Service, home: str) -> Mapping[str, float]:
        """Return the share of each region for callers of ``home``."""
        planned = self._planned.get(service.name, {}).get(home)
        return planned or service.split_by_home.get(home) or {home: 1.0}

    def spill_order(self, home: str) -> Sequence[str]:
        """Return the regions to move to when ``home`` can't serve, nearest first."""
        return self._policy.regions_by_name[home].spill_to

    def _draw(self, split: Mapping[str, float], home: str) -> str:
        if len(split) == 1:
            return next(iter(split))
        point = self._rng.random() * sum(split.values())
        for region, share in split.items():
            point -= share
            if point < 0:
                return region
        return home

    def _drawn_choice(
        self,
        service: Service,
        home: str,
        drawn: str,
        usable: Callable[[str], bool],
        gate: ShiftGate,
    ) -> RegionChoice | None:
        """Return the drawn region if it is home or the cap allows the move; home if it can."""
        if drawn == home:
            allowed = gate(service.name, home, home, ShiftKind.RETURN)
            return RegionChoice(home, None) if allowed else None
        if gate(service.name, home, drawn, ShiftKind.PLANNED):
            return RegionChoice(drawn, ShiftKind.PLANNED)
        if usable(home) and gate(service.name, home, home, ShiftKind.RETURN):
            return RegionChoice(home, None)
        return None

    def _spill(
        self,
        service: Service,
        home: str,
        tried: str,
        usable: Callable[[str], bool],
        gate: ShiftGate,
    ) -> Result[RegionChoice, Refusal]:
        """Move to the nearest other region that a cap allows; refuse if there is none."""
        capped = False
        for region in (home, *self.spill_order(home)):
            if region == tried or not usable(region):
                continue
            moved_by = None if region == home else ShiftKind.EMERGENCY
            # Home traffic is counted too: uncounted, it would look like a return to home in the
            # next window and be refused beyond the cap on returns.
            if gate(service.name, home, region, moved_by or ShiftKind.RETURN):
                return Ok(RegionChoice(region, moved_by))
            capped = True
        code = Code.SHIFT_CAPPED if capped else Code.NO_TARGET
        return Error(Refusal(code, service.name))
