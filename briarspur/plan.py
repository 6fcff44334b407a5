"""The plan: which share of each home region's callers every region serves, as steer wrote it."""

from typing import Annotated

from pydantic import Field

from briarspur.coord.invariants import invariants
from briarspur.documents import Document, parse
from briarspur.messages import ShiftKind
from briarspur.region import Splits

__all__ = ["PLAN_NAME", "PlanDocument", "PlanOrder", "PlanSplit", "parse_plan"]

PLAN_NAME = "plan"
"""The plan's object; it is written under the lease of ``briarspur-steer`` only."""

Share = Annotated[float, Field(ge=0.0, le=1.0)]


class PlanSplit(Document):
    """Where one service's callers of one home go, and what moved them last."""

    shares: dict[str, Share] = Field(min_length=1, description="by region; they add up to 1")
    moved_by: ShiftKind = ShiftKind.PLANNED


class PlanDocument(Document):
    """One plan.

    The higher ``(term, number)`` replaces the lower: a holder whose lease lapsed while it was
    paused has a lower term than its successor, whatever it still writes or sends.
    """

    term: int = Field(ge=0)
    number: int = Field(ge=0, description="rises with each plan of a term")
    holder: str
    policy_version: int = Field(ge=0)
    splits: dict[str, dict[str, PlanSplit]] = Field(
        default={}, description="by service and home region; what is missing follows the policy"
    )

    def as_splits(self) -> Splits:
        """Return the shares by service, home and region."""
        return {
            service: {home: split.shares for home, split in by_home.items()}
            for service, by_home in self.splits.items()
        }


def parse_plan(text: str | bytes) -> PlanDocument:
    """Check a plan.

    Raises
    ------
    DocumentError
        With every fault found.
    """
    return parse(PlanDocument, text, PLAN_NAME)


class PlanOrder:
    """Lets only newer plans come into force in one process."""

    def __init__(self) -> None:
        self.in_force: PlanDocument | None = None
        self.rejected = 0

    def accept(self, plan: PlanDocument) -> bool:
        """Take a plan if it is newer than the one in force.

        A plan that is replayed, or written by a holder that lost its lease, would move traffic back
        and forth; it has a lower term or number, whichever way it came.
        """
        held = self.in_force
        if held is not None and (plan.term, plan.number) <= (held.term, held.number):
            self.rejected += (plan.term, plan.number) < (held.term, held.number)
            return False
        self.in_force = plan
        invariants.check(
            "plan.only-rises",
            held is None or (plan.term, plan.number) > (held.term, held.number),
            (held, plan),
        )
        return True
