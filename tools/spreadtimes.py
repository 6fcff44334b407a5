"""Print how long a change takes to be in force everywhere, and what it costs the store.

Entries, store and peers are in one process in virtual time: a peer call takes 10 ms and each
entry probes one random peer a second. Processor time is not measured here.
"""

import asyncio
import logging
import sys

from tests.test_follow import Fleet
from tests.virtualtime import run_virtual

FAULTS = ("none", "pushes lost", "watches deaf", "watchers paused")
CHANGES = 5
QUIET = 60.0


async def measure(count: int, zones: int, fault: str) -> tuple[float, float]:
    """Return the longest time to be everywhere, and store calls a second while nothing changes."""
    fleet = Fleet(count, [f"zone-{n}" for n in range(zones)])
    probes = asyncio.create_task(fleet.probe())
    version = await fleet.store.put("policy", b"first", 0)
    for me in list(fleet.zones):
        await fleet.add(me)
    await fleet.wait_until_in_force(version, within=60.0)
    inject(fleet, fault)
    fleet.store.calls_by_kind.clear()
    await asyncio.sleep(QUIET)
    calls = sum(fleet.store.calls_by_kind.values()) / QUIET
    longest = 0.0
    for n in range(CHANGES):
        version = await fleet.store.put("policy", b"change %d" % n, version)
        longest = max(longest, await fleet.wait_until_in_force(version, within=60.0))
        await asyncio.sleep(7.0)
    probes.cancel()
    for me in list(fleet.follows):
        await fleet.remove(me)
    return longest, calls


def inject(fleet: Fleet, fault: str) -> None:
    """Begin a fault that lasts to the end."""
    if fault == "pushes lost":
        fleet.pushes_fail = True
    elif fault == "watches deaf":
        fleet.silent_watches.update(fleet.follows)
    elif fault == "watchers paused":
        fleet.pause_watchers()


def main() -> int:
    """Measure the sizes given as ``entries:zones`` or ``entries:zones:fault``, else 30 in 3."""
    logging.getLogger("briarspur").setLevel(logging.ERROR)
    print("entries  zones  fault             longest of 5, s  store calls/s")
    for argument in sys.argv[1:] or ["30:3"]:
        count, zones, *faults = argument.split(":")
        for fault in faults or FAULTS:
            longest, calls = run_virtual(measure(int(count), int(zones), fault))
            print(f"{count:>7}  {zones:>5}  {fault:16}  {longest:15.1f}  {calls:.2f}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
