"""Compare ways to keep a customer's quota over all entries, in a played fleet.

One customer sends at its usual rate for some seconds and then many times as much, over all entries
alike. Printed are the most requests admitted in a window, beside what is allowed, what was refused
at the usual rate, and what was admitted under the load, as a share of the customer's rate.
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

WINDOW, OVERAGE, SLACK = 5.0, 0.1, 20.0
"""Seconds of a window, and what it may exceed the limit by: a share, and requests."""
LIMIT_FACTOR = 1.6
"""A customer's rate, as a multiple of its usual one."""
NEWS_PERIOD, NEWS_DELAY = 0.1, 0.35
"""Seconds between two news, and until they have reached all entries."""
USUAL_S, LOAD_S = 6.0, 12.0

Admits = Callable[[int, str, float], bool]
Tells = Callable[[float], None]


def equal_shares(customer: Customer, entries: int) -> tuple[Admits, Tells]:
    """Give each entry a bucket with an equal part of the customer's rate."""
    per_s, burst = customer.per_s / entries, max(1.0, customer.burst / entries)
    buckets = [TokenBucket(per_s, burst, 0.0) for _ in range(entries)]
    return lambda entry, request_id, now: buckets[entry].take(now), lambda now: None


def told_use(customer: Customer, entries: int) -> tuple[Admits, Tells]:
    """Let each entry admit by the use that the others tell."""
    made = [Quotas(WINDOW, lambda number: 0) for _ in range(entries)]
    for quotas in made:
        quotas.configured([customer])
    under_way: list[tuple[float, list[Counter[int]]]] = []
    known = [Counter[int]() for _ in range(entries)]

    def tell(now: float) -> None:
        under_way.append((now + NEWS_DELAY, [quotas.counts(now) for quotas in made]))
        if under_way[0][0] > now:
            return
        counts = under_way.pop(0)[1]
        total = made[0].worth_reporting(sum(counts, Counter()))
        for entry, quotas in enumerate(made):
            others = total - counts[entry]
            for number in others.keys() | known[entry].keys():
                quotas.received(number, others[number] - known[entry][number])
            known[entry] = others

    def admits(entry: int, request_id: str, now: float) -> bool:
        return made[entry].check(customer, request_id, now) is None

    return admits, tell


WAYS = {"equal shares": equal_shares, "told use": told_use}


def worst_window(times: list[float]) -> int:
    """Return the most of some times in order that lie in one window."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW:
            first += 1
        most = max(most, last - first + 1)
    return most


def play(way: str, entries: int, usual: float, factor: float, seed: int) -> str:
    """Play one customer; return the row."""
    rng = random.Random(seed)
    per_s = LIMIT_FACTOR * usual
    customer = Customer("alpha", per_s=per_s, burst=per_s)
    admits, tell = WAYS[way](customer, entries)
    admitted: list[float] = []
    asked = refused = 0
    now = next_news = 0.0
    while now < USUAL_S + LOAD_S:
        now += rng.expovariate(usual if now < USUAL_S else factor * usual)
        while next_news <= now:
            tell(next_news)
            next_news += NEWS_PERIOD
        taken = admits(rng.randrange(entries), f"r-{rng.random()}", now)
        if taken:
            admitted.append(now)
        if now < USUAL_S:
            asked, refused = asked + 1, refused + (not taken)
    settled = sum(at > USUAL_S + WINDOW for at in admitted) / (LOAD_S - WINDOW) / per_s
    allowed = (per_s * WINDOW + customer.burst) * (1.0 + OVERAGE) + SLACK
    worst = worst_window(admitted)
    broken = " BROKEN" if worst > allowed else ""
    return (
        f"| {way} | {entries} | {usual:g} | {factor:g} | {worst} of {allowed:.0f}{broken} | "
        f"{refused} of {asked} | {settled:.2f} |"
    )


def main() -> int:
    """Print a row for each way, fleet and customer."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, nargs="*", default=[27, 89, 300, 1700])
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print("| way | entries | usual/s | times it | worst window | refused as usual | of its rate |")
    print("|---|---|---|---|---|---|---|")
    for way in WAYS:
        for entries in arguments.entries:
            for usual, factor in ((11.0, 7.5), (100.0, 7.5), (100.0, 1.6)):
                print(play(way, entries, usual, factor, arguments.seed), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
