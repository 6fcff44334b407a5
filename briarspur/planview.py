"""The plan in the store, as operators look at it."""

from briarspur.coord.envelope import open_envelope
from briarspur.coord.store import ObjectStore
from briarspur.errors import DocumentError, Fault
from briarspur.plan import PLAN_NAME, PlanDocument, parse_plan

__all__ = ["read_plan"]


async def read_plan(store: ObjectStore) -> PlanDocument | None:
    """Return the plan; None if there is none.

    Raises
    ------
    DocumentError
        What is stored is no plan.
    """
    found = await store.get(PLAN_NAME)
    if found is None:
        return None
    envelope = open_envelope(found.value)
    if envelope.is_error():
        raise DocumentError(PLAN_NAME, [Fault("(document)", envelope.error)])
    if not envelope.ok.body:
        # A lease's new holder fences the object off before there is a plan in it.
        return None
    return parse_plan(envelope.ok.body)
