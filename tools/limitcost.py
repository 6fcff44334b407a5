"""Measure what membership, ownership, allotments and the planner cost; prints one table.

Run ``python -m tools.limitcost``. Times are processor time of this process, in microseconds.
"""

import asyncio
import random
import time
import tracemalloc
from collections.abc import Callable
from functools import partial

from briarspur import peerwire
from briarspur.coord.address import Address
from briarspur.coord.escrow import Account
from briarspur.coord.members import Member, MemberState, MemberUpdate, Probe, Reply
from briarspur.coord.membership import Membership
from briarspur.coord.rendezvous import owners
from briarspur.coord.shift import ShiftBudget, ShiftCap
from briarspur.gossip import Gossip, ObjectCopy, PeerBorrowRequest, PeerProbe, PeerReply
from briarspur.peers import PeerClient, PeerServer
from standins.ports import free_port

__all__ = ["main"]

REGIONS = 11
ZONES_PER_REGION = 3
MICRO = 1e6


def fleet(count: int) -> list[Member]:
    """Return members with names as long as real ones."""
    made = []
    for n in range(count):
        region = f"region-{n % REGIONS:02d}"
        zone = f"{region}-{'abc'[n // REGIONS % ZONES_PER_REGION]}"
        host = f"10.{n >> 8}.{n & 255}.1"
        made.append(Member(f"entry-{n:04d}", f"{n:016x}", region, zone, host, 7001, 7002, 7003))
    return made


def micros(work: Callable[[], object], times: int) -> float:
    """Return the mean processor time of one call."""
    began = time.process_time()
    for _ in range(times):
        work()
    return (time.process_time() - began) / times * MICRO


def show(name: str, value: float, unit: str) -> None:
    """Print one row."""
    print(f"{name:<58} {value:>12.1f} {unit}")


def measure_membership(count: int) -> None:
    """Measure one member's view of ``count`` members."""
    members = fleet(count)
    tracemalloc.start()
    view = Membership(members[0], random.Random(1))
    view.apply([MemberUpdate(m, 1, MemberState.ALIVE) for m in members[1:]], 0.0)
    view.set_listed_addresses([m.address for m in members], 0.0)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    # A fact is new until it was sent often enough; what is measured is the usual period after that.
    view.table.pending_ids.clear()
    clock = iter(range(1, 10**9))

    def period() -> None:
        now = float(next(clock))
        for probe in view.tick(now):
            updates = view.on_probe(Probe(probe.receiver, probe.updates), now)
            view.on_reply(Reply(probe.receiver, probe.number, True, updates), now)

    show(f"membership, {count} members: one period, probe in and out", micros(period, 2_000), "us")
    show(
        f"membership, {count} members: live() of one region",
        micros(lambda: view.live("region-00"), 50),
        "us",
    )
    show(f"membership, {count} members: memory of the view", memory / 1024, "KiB")
    probe = view.tick(0.0)[0]
    message = peerwire.probe_to_wire(
        PeerProbe("entry-0000", probe.receiver, 1, Gossip(updates=probe.updates))
    )
    show(f"membership, {count} members: facts on one message", message.ByteSize(), "bytes")


def measure_parts() -> None:
    """Measure the calls made for each request, and ownership."""
    account = Account("in-flight/north", 100)

    def take_and_release() -> None:
        account.acquire(0.0, 1.0)
        account.release(1.0)

    show("escrow: take and release, nothing lent", micros(take_and_release, 20_000), "us")
    budget = ShiftBudget({k: ShiftCap(10**6, 5.0) for k in ("planned", "emergency", "return")})
    show(
        "shift: take",
        micros(lambda: budget.admit("times", "north", "south", "planned", 1.0), 20_000),
        "us",
    )
    for targets, members in ((10, 4), (60, 16), (240, 155)):
        keys = [f"target-{n}" for n in range(targets)]
        names = [f"entry-{n:04d}" for n in range(members)]
        cost = micros(partial(owners, keys, names), 5)
        show(f"rendezvous: owners of {targets} targets, {members} members", cost, "us")


class Echo:
    """Answers each probe with its own facts."""

    def on_probe(self, probe: PeerProbe) -> PeerReply:
        """Answer."""
        return PeerReply("entry-1", probe.number, True, probe.gossip)

    async def on_probe_via(self, probe: PeerProbe) -> PeerReply:
        """Answer."""
        return self.on_probe(probe)

    async def on_fetch(self, name: str, newer_than: int) -> ObjectCopy | None:
        """Have nothing."""
        return None

    async def on_offer(self, copy: ObjectCopy) -> int:
        """Take nothing."""
        return 0

    def on_borrow(self, asked: PeerBorrowRequest) -> int:
        """Lend nothing."""
        return 0


async def measure_peers(times: int = 300) -> None:
    """Measure a probe over gRPC on loopback, both ends in this process."""
    port = free_port("127.0.0.1")
    server = PeerServer(Echo())
    await server.start("127.0.0.1", port)
    facts = tuple(MemberUpdate(m, 1, MemberState.ALIVE) for m in fleet(8))
    probe = PeerProbe("entry-0", "entry-1", 1, Gossip(updates=facts))
    address = Address("127.0.0.1", port)
    async with PeerClient() as client:
        await client.probe(address, probe)
        began = time.process_time()
        for _ in range(times):
            await client.probe(address, probe)
        kept = (time.process_time() - began) / times * MICRO
        began = time.process_time()
        for _ in range(times):
            client.close()
            await client.probe(address, probe)
        new = (time.process_time() - began) / times * MICRO
    await server.close()
    show("peers: probe and reply on a kept connection, both ends", kept, "us")
    show("peers: probe and reply on a new connection, both ends", new, "us")


def main() -> None:
    """Print the table."""
    for count in (10, 170, 1_700):
        measure_membership(count)
    measure_parts()
    asyncio.run(measure_peers())


if __name__ == "__main__":
    main()
