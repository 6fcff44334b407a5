"""Compare strategies to enforce a customer's quota across all entries, in a simulated fleet.

One customer sends at its usual rate for some seconds and then at a multiple of it, evenly over all
entries. The table has the largest number of requests admitted in a window with the number allowed,
the requests refused at the usual rate, and the rate admitted under overload, as a share of the
customer's limit.
"""

import argparse
import random
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
if __name__ == "__main__":
    sys.path.insert(0, str(ROOT))

from briarspur.gateway.customers import Customer  # noqa: E402
from briarspur.gateway.quotas import Quotas  # noqa: E402
from briarspur.gateway.tokens import TokenBucket  # noqa: E402

WINDOW_S, OVERAGE_SHARE, SLACK_REQUESTS = 5.0, 0.1, 20.0
"""Length of a window, and the tolerance over the limit in it: a share and a number of requests."""
LIMIT_FACTOR = 1.6
"""The rate limit of a customer, as a multiple of its usual rate."""
NEWS_PERIOD_S, NEWS_DELAY_S = 0.1, 0.35
"""Time between two reports, and until a report has reached all entries."""
USUAL_RATE_S, OVERLOAD_S = 6.0, 12.0

AdmitFunction = Callable[[int, str, float], bool]
AdvertiseFunction = Callable[[float], None]


def equal_shares(customer: Customer, entries: int) -> tuple[AdmitFunction, AdvertiseFunction]:
    """Give each entry a token bucket with an equal share of the customer's rate."""
    per_s, burst = customer.per_s / entries, max(1.0, customer.burst / entries)
    buckets = [TokenBucket(per_s, burst, 0.0) for _ in range(entries)]
    return lambda entry, request_id, now: buckets[entry].take(now), lambda now: None


def reported_usage(customer: Customer, entries: int) -> tuple[AdmitFunction, AdvertiseFunction]:
    """Make each entry admit requests according to the usage that the others report."""
    quotas_by_entry = [Quotas(WINDOW_S, lambda number: 0) for _ in range(entries)]
    for quotas in quotas_by_entry:
        quotas.configured([customer])
    in_transit: list[tuple[float, list[Counter[int]]]] = []
    applied = [Counter[int]() for _ in range(entries)]

    def advertise(now: float) -> None:
        in_transit.append((now + NEWS_DELAY_S, [quotas.counts(now) for quotas in quotas_by_entry]))
        if in_transit[0][0] > now:
            return
        counts = in_transit.pop(0)[1]
        total = quotas_by_entry[0].worth_reporting(sum(counts, Counter()))
        for entry, quotas in enumerate(quotas_by_entry):
            others = total - counts[entry]
            for number in others.keys() | applied[entry].keys():
                quotas.received(number, others[number] - applied[entry][number])
            applied[entry] = others

    def admits(entry: int, request_id: str, now: float) -> bool:
        return quotas_by_entry[entry].check(customer, request_id, now) is None

    return admits, advertise


STRATEGIES = {"equal shares": equal_shares, "told use": reported_usage}


def max_in_window(times: list[float]) -> int:
    """Return the largest number of the sorted times in one window."""
    highest = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_S:
            first += 1
        highest = max(highest, last - first + 1)
    return highest


def simulate(strategy: str, entries: int, usual: float, factor: float, seed: int) -> str:
    """Simulate one customer; return the table row."""
    rng = random.Random(seed)
    per_s = LIMIT_FACTOR * usual
    customer = Customer("alpha", per_s=per_s, burst=per_s)
    admits, advertise = STRATEGIES[strategy](customer, entries)
    admitted: list[float] = []
    offered = refused = 0
    now = next_news = 0.0
    while now < USUAL_RATE_S + OVERLOAD_S:
        now += rng.expovariate(usual if now < USUAL_RATE_S else factor * usual)
        while next_news <= now:
            advertise(next_news)
            next_news += NEWS_PERIOD_S
        is_admitted = admits(rng.randrange(entries), f"r-{rng.random()}", now)
        if is_admitted:
            admitted.append(now)
        if now < USUAL_RATE_S:
            offered, refused = offered + 1, refused + (not is_admitted)
    admitted_share = (
        sum(at > USUAL_RATE_S + WINDOW_S for at in admitted) / (OVERLOAD_S - WINDOW_S) / per_s
    )
    allowed = (per_s * WINDOW_S + customer.burst) * (1.0 + OVERAGE_SHARE) + SLACK_REQUESTS
    highest = max_in_window(admitted)
    broken = " BROKEN" if highest > allowed else ""
    return (
        f"| {strategy} | {entries} | {usual:g} | {factor:g} | {highest} of {allowed:.0f}{broken} | "
        f"{refused} of {offered} | {admitted_share:.2f} |"
    )


def main() -> int:
    """Print one row per strategy, fleet size and customer."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, nargs="*", default=[27, 89, 300, 1700])
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print("| way | entries | usual/s | times it | worst window | refused as usual | of its rate |")
    print("|---|---|---|---|---|---|---|")
    for strategy in STRATEGIES:
        for entries in arguments.entries:
            for usual, factor in ((11.0, 7.5), (100.0, 7.5), (100.0, 1.6)):
                print(simulate(strategy, entries, usual, factor, arguments.seed), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
