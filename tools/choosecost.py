"""Print what a choice of a server costs, by the number of servers."""

import argparse
import gc
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
if __name__ == "__main__":
    sys.path.insert(0, str(ROOT))

from briarspur.gateway.configuration import (  # noqa: E402
    Configuration,
    Route,
    RouteKind,
    Service,
    SplitPart,
)
from briarspur.gateway.registration import Registration  # noqa: E402
from briarspur.gateway.steering import Steering  # noqa: E402
from briarspur.gateway.work import Arrival, Attempt, Bounds, Work  # noqa: E402

ZONES = {f"{region}-{n}": region for region in ("a", "b", "c") for n in range(2)}
OBJECTS = 400
ROUNDS = 20
"""Times that each object is asked for; the least time of a round counts."""


def steering(servers: int) -> Steering:
    """Return a steering with one route and a number of servers."""
    made = Steering("entry-1", "a-0", "a", ZONES, Bounds())
    route = Route(
        name="times",
        host="quay.example",
        prefix="/times/",
        kind=RouteKind.IDEMPOTENT,
        parts=(SplitPart("info", 1.0),),
        timeout=8.0,
        goal=1.0,
        attempts=2,
        priority=1,
        sticky=True,
    )
    made.apply_configuration(Configuration(1, (route,), {"info": Service("info", 100, 3.0, 5.0)}))
    zones = sorted(ZONES)
    for n in range(servers):
        registration = Registration(
            f"t-{n}", 1, "info", "127.0.0.1", 80, zones[n % len(zones)], 9, False, 0.0
        )
        made.targets.registered(registration, 0.0)
    return made


def choose_all(made: Steering, now: float) -> float:
    """Send a request for each object; return the mean seconds of a choice."""
    spent = 0.0
    for n in range(OBJECTS):
        work = made.begin(Arrival("r", "quay.example", "/times/x", b"%d" % n, 8.0), now)
        assert isinstance(work, Work)
        began = time.perf_counter()
        attempt = made.next_attempt(work, now)
        spent += time.perf_counter() - began
        if isinstance(attempt, Attempt):
            attempt.target.in_flight -= 1
    return spent / OBJECTS


def main() -> int:
    """Print a row for each number of servers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("servers", type=int, nargs="*", default=[30, 100, 315, 1000])
    gc.disable()
    print("servers  first choice of an object, us  later choices, us")
    for servers in parser.parse_args().servers:
        made = steering(servers)
        first = choose_all(made, 0.0)
        later = min(choose_all(made, 1.0 + n) for n in range(ROUNDS))
        print(f"{servers:7}  {first * 1e6:29.0f}  {later * 1e6:17.0f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
