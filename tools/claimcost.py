"""Count what a return of the store costs: calls to the store, and how long new keys are refused.

``python -m tools.claimcost`` plays fleets of entries in memory, in virtual time.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from unittest import mock

from briarspur.coord.claimhold import HOLD_NAME
from briarspur.coord.claimholders import ClaimHolders, PendingHolders
from briarspur.coord.claimrecord import ClaimRecord
from briarspur.coord.claims import ClaimAcquired
from briarspur.coord.era import number_of, revision_in_era
from briarspur.coord.keys import Key
from briarspur.coord.store import ABSENT, StoredObject
from tests.test_claimrecovery import COPY_AGE_S, SETTLED_S, Entry, Fleet, TimedStore, now
from tests.virtualtime import run_virtual

__all__ = ["Cost", "CountingStore", "main", "play"]

PENDING = ClaimHolders.pending
CALL_S = 0.004
MAX_HOLD_S = 1_000.0
SHOWN_S = 4
"""Seconds after the return whose calls are shown one by one."""


class CountingStore(TimedStore):
    """Counts calls by second; loses the latest claims of all at once."""

    def __init__(self) -> None:
        super().__init__()
        self.returned_at = float("inf")
        self.reads_by_second: Counter[int] = Counter()
        self.writes_by_second: Counter[int] = Counter()

    async def get(self, name: str) -> StoredObject | None:
        """Return the object after the time of a call."""
        await self._count(self.reads_by_second)
        return await super().get(name)

    async def put(self, name: str, value: bytes, expected_version: int) -> int:
        """Write conditionally after the time of a call."""
        await self._count(self.writes_by_second)
        return await super().put(name, value, expected_version)

    async def _count(self, calls_by_second: Counter[int]) -> None:
        if now() >= self.returned_at:
            calls_by_second[int(now() - self.returned_at)] += 1
        await asyncio.sleep(CALL_S)

    def lose_claims(self, count: int) -> None:
        """Return from a copy without the latest ``count`` claims."""
        self.returned_at = now()
        self.era += 1
        by_version = sorted(self._objects_by_name.values(), key=lambda each: each.version)
        claims = [each.name for each in by_version if each.name != HOLD_NAME]
        lost = set(claims[len(claims) - count :])
        self._objects_by_name = {
            each.name: replace(each, version=revision_in_era(self.era, number_of(each.version)))
            for each in by_version
            if each.name not in lost
        }
        self.drop_history()


@dataclass(frozen=True, slots=True)
class Cost:
    """What one return cost.

    Attributes
    ----------
    refused_s : float
        Seconds until every entry gave out claims again; ``MAX_HOLD_S`` if that took longer.
    """

    refused_s: float
    writes: list[int]
    reads: list[int]
    total_writes: int


async def play(
    entry_count: int, held: int, lost: int, disturb: Callable[[Fleet, list[Entry]], None]
) -> Cost:
    """Play a return for a fleet whose entries hold ``held`` claims each, ``lost`` of them lost."""
    fleet = Fleet()
    store = fleet.store = CountingStore()
    entries = [Entry(fleet, number) for number in range(1, entry_count + 1)]
    fleet.entries_by_port = {entry.member.address.peer_port: entry for entry in entries}
    fleet.publish_view()
    await asyncio.sleep(SETTLED_S)
    for number in range(held):
        for entry in entries:
            name = f"claims/{entry.incarnation}-{number}"
            record = ClaimRecord(name, entry.incarnation, b"", fleet.wall())
            version = await TimedStore.put(store, name, record.encode(), ABSENT)
            store.drop_history()
            entry.held.add(name, record, version)
    disturb(fleet, entries)
    store.lose_claims(lost * entry_count)
    returned_at = now()
    living = list(fleet.entries_by_port.values())
    while now() - returned_at < MAX_HOLD_S:
        if all(entry.hold.open_era == store.era for entry in living):
            break
        await asyncio.sleep(0.1)
    refused_s = now() - returned_at
    outcome = await living[0].claim(Key("a-new-key"))
    assert refused_s >= MAX_HOLD_S or outcome == ClaimAcquired(), outcome
    for entry in living:
        entry.stop()
    writes, reads = store.writes_by_second, store.reads_by_second
    shown = range(SHOWN_S)
    return Cost(refused_s, [writes[s] for s in shown], [reads[s] for s in shown], writes.total())


def leave_alone(fleet: Fleet, entries: list[Entry]) -> None:
    """Let all entries live."""


def kill_one(fleet: Fleet, entries: list[Entry]) -> None:
    """Kill an entry just before the return."""
    fleet.kill(entries[0])


def pending_among_members(holders: ClaimHolders, era: int) -> PendingHolders | None:
    """Return the members that have not confirmed, as if no entry were gone."""
    pending = PENDING(holders, era)
    return None if pending is None else replace(pending, gone=frozenset())


def main() -> None:
    """Play the cases and print a table."""
    print(f"copies of up to {COPY_AGE_S:.0f} s; calls in the first {SHOWN_S} s after the return")
    print("| entries | claims held, lost by each | | refused for | writes | all writes | reads |")
    print("|---|---|---|---|---|---|---|")
    for count, held, lost, disturb in (
        (10, 0, 0, leave_alone),
        (10, 20, 20, leave_alone),
        (10, 1_000, 20, leave_alone),
        (10, 1_000, 1_000, leave_alone),
        (10, 1_000, 20, kill_one),
        (91, 20, 20, leave_alone),
        (300, 2, 2, leave_alone),
    ):
        show(count, held, lost, disturb, "")
    with mock.patch("briarspur.claimrecovery.COLLECTORS", 0):
        show(10, 1_000, 20, leave_alone, ", by time alone")
    with mock.patch.object(ClaimHolders, "pending", pending_among_members):
        show(10, 1_000, 20, kill_one, ", by living holders alone")


def show(
    count: int,
    held: int,
    lost: int,
    disturb: Callable[[Fleet, list[Entry]], None],
    way: str,
) -> None:
    """Play one case and print its row."""
    cost = run_virtual(play(count, held, lost, disturb))
    case = "one killed" if disturb is kill_one else "all live"
    print(
        f"| {count} | {held}, {lost} | {case}{way} | {cost.refused_s:.1f} s | "
        f"{', '.join(map(str, cost.writes))} | {cost.total_writes} | "
        f"{', '.join(map(str, cost.reads))} |",
        flush=True,
    )


if __name__ == "__main__":
    main()
