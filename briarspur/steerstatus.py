"""The status page of ``briarspur-steer``, served at ``/status``."""

from pydantic import BaseModel, ConfigDict

__all__ = ["SteerStatus"]


class SteerStatus(BaseModel):
    """State of one ``briarspur-steer`` process.

    Attributes
    ----------
    headroom : dict
        Additional requests per second that could be served, by service and region.
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
