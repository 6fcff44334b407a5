"""Pipeline filter that chooses the region of a request."""

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
"""Share of callers that each region serves, by service, home region and serving region."""

ShiftAdmission = Callable[[str, str, str, ShiftKind], bool]
"""Called with service, home, region and kind; returns False if the shift cap is reached."""


@dataclass(frozen=True, slots=True)
class RegionChoice:
    """The chosen region, and the kind of shift if it is not the home region."""

    region: str
    moved_by: ShiftKind | None


class RegionChooser:
    """Chooses regions by the split in force; spills to other regions within the shift caps.

    Parameters
    ----------
    policy : Policy
        The policy in force.
    rng : random.Random
        Draws a region from a split over several regions.
    previous : RegionChooser or None
        The chooser for the previous policy; its plan stays in force.
    """

    def __init__(
        self, policy: Policy, rng: random.Random, previous: "RegionChooser | None" = None
    ) -> None:
        self._policy = policy
        self._rng = rng
        self._planned: Splits = previous._planned if previous is not None else {}

    def apply_plan(self, splits: Splits) -> None:
        """Use the splits of a plan, by service and home, in preference to the policy's."""
        self._planned = splits

    def choose(
        self,
        service: Service,
        home: str,
        is_usable: Callable[[str], bool],
        admit_shift: ShiftAdmission,
    ) -> Result[RegionChoice, Refusal]:
        """Return the region for a request, or a refusal.

        Parameters
        ----------
        is_usable : callable
            Returns whether a region has an entry and a target for the service.
        admit_shift : callable
            Charges a shift to the shift budget; returns False if the cap is reached.
        """
        drawn = self._draw(self.split(service, home), home)
        if is_usable(drawn):
            choice = self._drawn_choice(service, home, drawn, is_usable, admit_shift)
            if choice is not None:
                return Ok(choice)
        return self._spill(service, home, drawn, is_usable, admit_shift)

    def split(self, service: Service, home: str) -> Mapping[str, float]:
        """Return the share of each region in serving callers of ``home``."""
        planned = self._planned.get(service.name, {}).get(home)
        return planned or service.split_by_home.get(home) or {home: 1.0}

    def spill_order(self, home: str) -> Sequence[str]:
        """Return the regions to spill to when ``home`` can't serve a request, nearest first."""
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
        is_usable: Callable[[str], bool],
        admit_shift: ShiftAdmission,
    ) -> RegionChoice | None:
        """Return the drawn region, else the home region, as the caps allow; None if neither."""
        if drawn == home:
            allowed = admit_shift(service.name, home, home, ShiftKind.RETURN)
            return RegionChoice(home, None) if allowed else None
        if admit_shift(service.name, home, drawn, ShiftKind.PLANNED):
            return RegionChoice(drawn, ShiftKind.PLANNED)
        if is_usable(home) and admit_shift(service.name, home, home, ShiftKind.RETURN):
            return RegionChoice(home, None)
        return None

    def _spill(
        self,
        service: Service,
        home: str,
        excluded: str,
        is_usable: Callable[[str], bool],
        admit_shift: ShiftAdmission,
    ) -> Result[RegionChoice, Refusal]:
        """Choose the nearest other region that the caps allow; return a refusal if none does."""
        capped = False
        for region in (home, *self.spill_order(home)):
            if region == excluded or not is_usable(region):
                continue
            moved_by = None if region == home else ShiftKind.EMERGENCY
            # Home traffic is counted too. Otherwise it would look like a return to home in the next
            # window, and what exceeds the cap on returns would be refused.
            if admit_shift(service.name, home, region, moved_by or ShiftKind.RETURN):
                return Ok(RegionChoice(region, moved_by))
            capped = True
        code = Code.SHIFT_CAPPED if capped else Code.NO_TARGET
        return Error(Refusal(code, service.name))
