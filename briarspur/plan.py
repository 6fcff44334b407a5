"""The plan: the share of each home region's callers that every region serves."""

from typing import Annotated

from pydantic import Field

from briarspur.coord.invariants import invariants
from briarspur.documents import Document, parse
from briarspur.messages import ShiftKind
from briarspur.region import Splits

__all__ = ["PLAN_NAME", "PlanDocument", "PlanOrder", "PlanSplit", "parse_plan"]

PLAN_NAME = "plan"
"""Name of the plan's object, which is written only by the holder of ``briarspur-steer``'s lease."""

Share = Annotated[float, Field(ge=0.0, le=1.0)]


class PlanSplit(Document):
    """The split of one service's callers of one home region, and the kind of the last shift."""

    shares: dict[str, Share] = Field(min_length=1, description="by region; their sum is 1")
    moved_by: ShiftKind = ShiftKind.PLANNED


class PlanDocument(Document):
    """One plan.

    A plan with a higher ``(term, number)`` replaces one with a lower. A holder whose lease expired
    while it was paused has a lower term than its successor, whatever it still writes or sends.
    """

    term: int = Field(ge=0)
    number: int = Field(ge=0, description="increases with each plan of a term")
    holder: str
    policy_version: int = Field(ge=0)
    splits: dict[str, dict[str, PlanSplit]] = Field(
        default={}, description="by service and home region; the policy applies to those left out"
    )

    def as_splits(self) -> Splits:
        """Return the shares by service, home and region."""
        return {
            service: {home: split.shares for home, split in by_home.items()}
            for service, by_home in self.splits.items()
        }


def parse_plan(text: str | bytes) -> PlanDocument:
    """Parse and validate a plan.

    Raises
    ------
    DocumentError
        With all errors found.
    """
    return parse(PlanDocument, text, PLAN_NAME)


class PlanOrder:
    """Puts only newer plans into force in one process."""

    def __init__(self) -> None:
        self.in_force: PlanDocument | None = None
        self.rejected = 0

    def accept(self, plan: PlanDocument) -> bool:
        """Put a plan into force if it is newer than the one in force; return whether it is.

        A plan that is replayed, or written by a holder that lost its lease, would move traffic back
        and forth. Such a plan has a lower term or number, whatever its source.
        """
        current = self.in_force
        if current is not None and (plan.term, plan.number) <= (current.term, current.number):
            self.rejected += (plan.term, plan.number) < (current.term, current.number)
            return False
        self.in_force = plan
        invariants.check(
            "plan.only-rises",
            current is None or (plan.term, plan.number) > (current.term, current.number),
            (current, plan),
        )
        return True
