"""Admission control: whether a request may queue at a server.

It weighs the benefit for the caller against the delay of the requests behind. The overload that it
handles is more requests than the servers can serve, either for seconds (a burst, a service that
lost servers) or at a single moment (callers that waited for entries which had all restarted).
"""

from collections.abc import Sequence

from briarspur.gateway.target import Target

__all__ = [
    "MAX_COPY_UTILIZATION",
    "MAX_LATE_WAIT_SHARE",
    "MAX_SPREAD_UTILIZATION",
    "may_queue",
    "utilization",
]

MAX_LATE_WAIT_SHARE = 1.0
"""Share of a route's goal that a request may queue when even an idle server can't meet the goal.
Without a bound, answers of restarted entries were late for 15 s."""
MAX_COPY_UTILIZATION = 0.6
"""Share of a service's slots in use up to which an object is warmed up at a second server to save
transfers between zones. Above it, each cold run takes slots from requests that would have met their
goal."""
MAX_SPREAD_UTILIZATION = 0.8
"""Share of a service's slots in use up to which a request whose warm servers are busy may go to a
cold server that isn't idle either. Without this bound objects spread over more servers than can
keep them, until all work is cold."""


def may_queue(wait: float, response_time: float, goal: float, idle_response_time: float) -> bool:
    """Return whether a request may be sent to a server where it would queue.

    A request that queues and is late nevertheless takes a slot from one that could have met its
    goal. With queues as long as the goal every answer stays late: in the third and fourth second
    after the loss of all entries 155 of 1,491 requests met their goal. A refused caller may retry
    and find a shorter queue.

    Parameters
    ----------
    wait, response_time : float
        Seconds until the work begins, and until the answer is complete.
    goal : float
        Seconds within which the answer is useful.
    idle_response_time : float
        Seconds that an idle server would take. If it exceeds the goal, refusing this request lets
        no other one meet its goal, so only the length of the wait is bounded.
    """
    if wait <= 0.0 or response_time <= goal:
        return True
    return idle_response_time > goal and wait <= MAX_LATE_WAIT_SHARE * goal


def utilization(targets: Sequence[Target]) -> float:
    """Return the requests at the servers of a service as a share of their slots."""
    slots = sum(target.registration.slots for target in targets)
    return sum(target.load for target in targets) / max(1, slots)
