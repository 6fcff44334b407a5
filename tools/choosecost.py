"""Measure the time to choose a server, by number of servers."""

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

REGION_BY_ZONE = {f"{region}-{n}": region for region in ("a", "b", "c") for n in range(2)}
OBJECTS = 400
ROUNDS = 20
"""Number of requests for each object; the fastest round is reported."""


def make_steering(servers: int) -> Steering:
    """Return a Steering with one route and the given number of servers."""
    steering = Steering("entry-1", "a-0", "a", REGION_BY_ZONE, Bounds())
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
    steering.apply_configuration(
        Configuration(1, (route,), {"info": Service("info", 100, 3.0, 5.0)})
    )
    zones = sorted(REGION_BY_ZONE)
    for n in range(servers):
        registration = Registration(
            f"t-{n}", 1, "info", "127.0.0.1", 80, zones[n % len(zones)], 9, False, 0.0
        )
        steering.targets.registered(registration, 0.0)
    return steering


def choose_all(steering: Steering, now: float) -> float:
    """Choose a server for one request per object; return the mean time of a choice in seconds."""
    total_s = 0.0
    for n in range(OBJECTS):
        work = steering.begin(Arrival("r", "quay.example", "/times/x", b"%d" % n, 8.0), now)
        assert isinstance(work, Work)
        started = time.perf_counter()
        attempt = steering.next_attempt(work, now)
        total_s += time.perf_counter() - started
        if isinstance(attempt, Attempt):
            attempt.target.in_flight -= 1
    return total_s / OBJECTS


def main() -> int:
    """Print one row per number of servers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("servers", type=int, nargs="*", default=[30, 100, 315, 1000])
    gc.disable()
    print("servers  first choice of an object, us  later choices, us")
    for servers in parser.parse_args().servers:
        steering = make_steering(servers)
        first = choose_all(steering, 0.0)
        later = min(choose_all(steering, 1.0 + n) for n in range(ROUNDS))
        print(f"{servers:7}  {first * 1e6:29.0f}  {later * 1e6:17.0f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
