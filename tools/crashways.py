"""Compare how entries recognize a request that crashes servers, in a simulated fleet.

Copies of some requests come every 0.35 s to one entry after another, beside 60 sound requests a
second for few objects. The table has the crashes, the copies that reached servers later than 4 s
after the third crash of their request, and the sound requests that were refused as suspended.
"""

import argparse
import logging
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
if __name__ == "__main__":
    sys.path.insert(0, str(ROOT))

from tests.gateway.crashfleet import CrashFleet, Return  # noqa: E402

WARM_UP_S = 4.0
COPY_INTERVAL_S = 0.35
SOUND_PER_S = 60.0
NEWS_LOSS = 0.05
LATE_S = 4.0
SERVERS = 18
ALL = 1.0


def play(
    fleet: CrashFleet, contents: int, callers: int, all_crash_at: list[float], seconds: float
) -> tuple[int, int, int, int]:
    """Return the crashes, late copies, and sound requests refused as suspended and in all."""
    end = WARM_UP_S + seconds
    fleet.simulate(0.0, WARM_UP_S, SOUND_PER_S)
    fleet.repeat_crashing_request(WARM_UP_S, end, COPY_INTERVAL_S, contents, callers)
    for at in all_crash_at:
        fleet.crash_servers(at, ALL)
    fleet.simulate(WARM_UP_S, end, SOUND_PER_S)
    return len(fleet.crashes), fleet.arrivals_after(LATE_S), fleet.suspended_sound, fleet.sound


def show(options: argparse.Namespace, contents: int, callers: int, returns: Return) -> None:
    """Print one row for callers with keys and one for callers without."""
    for has_keys in (True, False):
        rows = []
        for seed in range(1, options.seeds + 1):
            fleet = CrashFleet(
                options.entries, options.servers, returns, has_keys, seed=seed, loss=NEWS_LOSS
            )
            rows.append(play(fleet, contents, callers, options.all_crash_at, options.seconds))
        crashes, late, refused, sound = (sorted(column) for column in zip(*rows, strict=True))
        print(
            f"{contents} requests, {callers} callers {'with' if has_keys else 'without'} keys, "
            f"{returns.name.lower()}: crashes {crashes[0]} to {crashes[-1]} (mean "
            f"{sum(crashes) / len(crashes):.1f}), late at most {late[-1]}, sound refused "
            f"{sum(refused)} of {sum(sound)}",
            flush=True,
        )


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=10)
    parser.add_argument("--servers", type=int, default=SERVERS)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--all-crash-at", type=float, nargs="*", default=[])
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    for returns in Return:
        show(options, 1, 1, returns)
    for contents, callers in ((1, 10), (3, 1), (3, 10), (10, 1), (10, 10)):
        show(options, contents, callers, Return.NEW_ID)


if __name__ == "__main__":
    main()
