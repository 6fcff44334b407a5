"""What ``briarspur-steer`` says of itself at ``/status``."""

from pydantic import BaseModel, ConfigDict

__all__ = ["SteerStatus"]


class SteerStatus(BaseModel):
    """What one ``briarspur-steer`` knows of itself.

    Attributes
    ----------
    headroom : dict
        By service and region, the requests per second that could be taken beyond the present ones.
    """

    model_config = ConfigDict(frozen=True)

    holder_id: str
    ready: bool
    holds_lease: bool
    term: int
    plan_term: int = 0
    plan_number: int = 0
    policy_version: int = 0
    entries_reporting: int = 0
    headroom: dict[str, dict[str, float]] = {}
    invariant_violations: dict[str, int] = {}
