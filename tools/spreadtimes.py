"""Measure how long a change takes to reach all entries, and the load on the store.

Entries, store and peers run in one process in virtual time: a peer call takes 10 ms, and each entry
probes one random peer per second. CPU time is not measured.
"""

import asyncio
import logging
import sys

from tests.test_follow import Fleet
from tests.virtualtime import run_virtual

FAULTS = ("none", "pushes lost", "watches deaf", "watchers paused")
CHANGES = 5
IDLE_S = 60.0


async def measure(count: int, zones: int, fault: str) -> tuple[float, float]:
    """Return the longest propagation time in seconds, and the idle store calls per second."""
    fleet = Fleet(count, [f"zone-{n}" for n in range(zones)])
    probes = asyncio.create_task(fleet.probe())
    version = await fleet.store.put("policy", b"first", 0)
    for entry_id in list(fleet.zones):
        await fleet.add(entry_id)
    await fleet.wait_until_in_force(version, within=60.0)
    inject_fault(fleet, fault)
    fleet.store.calls_by_kind.clear()
    await asyncio.sleep(IDLE_S)
    calls_per_s = sum(fleet.store.calls_by_kind.values()) / IDLE_S
    longest_s = 0.0
    for n in range(CHANGES):
        version = await fleet.store.put("policy", b"change %d" % n, version)
        longest_s = max(longest_s, await fleet.wait_until_in_force(version, within=60.0))
        await asyncio.sleep(7.0)
    probes.cancel()
    for entry_id in list(fleet.follows):
        await fleet.remove(entry_id)
    return longest_s, calls_per_s


def inject_fault(fleet: Fleet, fault: str) -> None:
    """Inject a fault that lasts until the end of the simulation."""
    if fault == "pushes lost":
        fleet.pushes_fail = True
    elif fault == "watches deaf":
        fleet.silent_watches.update(fleet.follows)
    elif fault == "watchers paused":
        fleet.pause_watchers()


def main() -> int:
    """Measure the sizes given as ``entries:zones`` or ``entries:zones:fault``; default 30:3."""
    logging.getLogger("briarspur").setLevel(logging.ERROR)
    print("entries  zones  fault             longest of 5, s  store calls/s")
    for argument in sys.argv[1:] or ["30:3"]:
        count, zones, *faults = argument.split(":")
        for fault in faults or FAULTS:
            longest_s, calls_per_s = run_virtual(measure(int(count), int(zones), fault))
            print(
                f"{count:>7}  {zones:>5}  {fault:16}  {longest_s:15.1f}  {calls_per_s:.2f}",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
