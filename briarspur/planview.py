"""Reads the stored plan for the tools of operators."""

from briarspur.coord.envelope import open_envelope
from briarspur.coord.store import ObjectStore
from briarspur.errors import DocumentError, Fault
from briarspur.plan import PLAN_NAME, PlanDocument, parse_plan

__all__ = ["read_plan"]


async def read_plan(store: ObjectStore) -> PlanDocument | None:
    """Return the stored plan, or None if there is none.

    Raises
    ------
    DocumentError
        The stored object is not a valid plan.
    """
    found = await store.get(PLAN_NAME)
    if found is None:
        return None
    envelope = open_envelope(found.value)
    if envelope.is_error():
        raise DocumentError(PLAN_NAME, [Fault("(document)", envelope.error)])
    if not envelope.ok.body:
        # A new lease holder fences the object before it writes the first plan.
        return None
    return parse_plan(envelope.ok.body)
