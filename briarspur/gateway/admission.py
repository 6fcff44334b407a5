"""Whether a server may take a request: what its caller gains, and what those behind it lose.

The load this answers: more requests than the servers bear, for seconds (a burst, a service that
lost servers) or at once (callers who waited for entries that had all restarted).
"""

from collections.abc import Sequence

from briarspur.gateway.target import Target

__all__ = ["LONGEST_WAIT", "COPY_PRESSURE", "SPREAD_PRESSURE", "may_queue", "pressure"]

LONGEST_WAIT = 1.0
"""Share of a route's goal that a request may wait for its turn where the goal is out of reach. Over
the five heavy days of each of two deployments, one run each: at 0.4 the mean worth was 0.627 and
0.502, at 1.0 0.639 and 0.582; unbounded, entries that had restarted stayed late for 15 s."""
COPY_PRESSURE = 0.6
"""Share of a service's slots up to which objects are made warm once more to save their way. Above,
each cold run keeps slots from requests that would have met their goal."""
SPREAD_PRESSURE = 0.8
"""Share of a service's slots up to which a request whose warm servers are busy may go to another
one that is not idle either. Without this bound objects spread over more servers than keep them,
until all work was cold: the share of worth earned on a heavy day was 0.56 instead of 0.81 on one
deployment and 0.43 instead of 0.89 on a second one. At 0.6 three days gave 0.748, 0.706 and 0.745,
at 0.8 they gave 0.750, 0.710 and 0.753, with fewer refusals; a fourth
day gave 0.593 and 0.583, with more (one run each)."""


def may_queue(wait: float, finish: float, goal: float, soonest: float) -> bool:
    """Tell whether a request may be sent to a server where it would wait.

    A request that waits and is late all the same takes a slot, when its turn comes, from one that
    could have met its goal. With queues as long as the goal every answer was late, and stayed so:
    after the loss of all entries 155 of 1,491 requests met their goal in the third and fourth
    second, 840 with this rule; over the burst of that day 3,100 of 4,623 instead of 2,510 (one run
    each). Who is refused may come back and find a shorter queue.

    Parameters
    ----------
    wait, finish : float
        Seconds until the work begins, and until the answer is there.
    goal : float
        Seconds within which the answer is useful.
    soonest : float
        Seconds that an idle server would take. If that is beyond the goal, nobody's goal can be met
        by refusing others, and only the length of the wait counts.
    """
    if wait <= 0.0 or finish <= goal:
        return True
    return soonest > goal and wait <= LONGEST_WAIT * goal


def pressure(targets: Sequence[Target]) -> float:
    """Return the requests that the servers of a service have, as a share of their slots."""
    slots = sum(target.registration.slots for target in targets)
    return sum(target.load for target in targets) / max(1, slots)
