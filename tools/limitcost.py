"""Measure the cost of membership, ownership, escrow, shift budgets and peer calls.

``python -m tools.limitcost`` prints one table. Times are CPU time of this process, in microseconds.
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
US_PER_S = 1e6


def make_fleet(count: int) -> list[Member]:
    """Return members whose names have a realistic length."""
    members = []
    for n in range(count):
        region = f"region-{n % REGIONS:02d}"
        zone = f"{region}-{'abc'[n // REGIONS % ZONES_PER_REGION]}"
        host = f"10.{n >> 8}.{n & 255}.1"
        members.append(Member(f"entry-{n:04d}", f"{n:016x}", region, zone, host, 7001, 7002, 7003))
    return members


def mean_us(function: Callable[[], object], times: int) -> float:
    """Return the mean CPU time of one call in microseconds."""
    started = time.process_time()
    for _ in range(times):
        function()
    return (time.process_time() - started) / times * US_PER_S


def print_row(name: str, value: float, unit: str) -> None:
    """Print one row of the table."""
    print(f"{name:<58} {value:>12.1f} {unit}")


def measure_membership(count: int) -> None:
    """Measure the membership of one member in a fleet of ``count`` members."""
    members = make_fleet(count)
    tracemalloc.start()
    view = Membership(members[0], random.Random(1))
    view.apply([MemberUpdate(m, 1, MemberState.ALIVE) for m in members[1:]], 0.0)
    view.set_listed_addresses([m.address for m in members], 0.0)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    # A new fact is sent with several messages; without pending facts, the steady state is measured.
    view.table.pending_ids.clear()
    clock = iter(range(1, 10**9))

    def period() -> None:
        now = float(next(clock))
        for probe in view.tick(now):
            updates = view.on_probe(Probe(probe.receiver, probe.updates), now)
            view.on_reply(Reply(probe.receiver, probe.number, True, updates), now)

    print_row(
        f"membership, {count} members: one period, probe in and out", mean_us(period, 2_000), "us"
    )
    print_row(
        f"membership, {count} members: live() of one region",
        mean_us(lambda: view.live("region-00"), 50),
        "us",
    )
    print_row(f"membership, {count} members: memory of the view", memory / 1024, "KiB")
    probe = view.tick(0.0)[0]
    message = peerwire.probe_to_wire(
        PeerProbe("entry-0000", probe.receiver, 1, Gossip(updates=probe.updates))
    )
    print_row(f"membership, {count} members: facts in one message", message.ByteSize(), "bytes")


def measure_request_path() -> None:
    """Measure the calls made per request, and the assignment of owners."""
    account = Account("in-flight/north", 100)

    def acquire_and_release() -> None:
        account.acquire(0.0, 1.0)
        account.release(1.0)

    print_row(
        "escrow: acquire and release, nothing lent", mean_us(acquire_and_release, 20_000), "us"
    )
    budget = ShiftBudget({k: ShiftCap(10**6, 5.0) for k in ("planned", "emergency", "return")})
    print_row(
        "shift: admit",
        mean_us(lambda: budget.admit("times", "north", "south", "planned", 1.0), 20_000),
        "us",
    )
    for targets, members in ((10, 4), (60, 16), (240, 155)):
        keys = [f"target-{n}" for n in range(targets)]
        names = [f"entry-{n:04d}" for n in range(members)]
        cost = mean_us(partial(owners, keys, names), 5)
        print_row(f"rendezvous: owners of {targets} targets, {members} members", cost, "us")


class EchoHandler:
    """A peer handler that returns the facts of each probe to the sender."""

    def on_probe(self, probe: PeerProbe) -> PeerReply:
        """Return the facts of the probe."""
        return PeerReply("entry-1", probe.number, True, probe.gossip)

    async def on_probe_via(self, probe: PeerProbe) -> PeerReply:
        """Handle a relayed probe like a direct one."""
        return self.on_probe(probe)

    async def on_fetch(self, name: str, newer_than: int) -> ObjectCopy | None:
        """Return no object."""
        return None

    async def on_offer(self, copy: ObjectCopy) -> int:
        """Accept no object."""
        return 0

    def on_borrow(self, asked: PeerBorrowRequest) -> int:
        """Lend no capacity."""
        return 0


async def measure_peers(times: int = 300) -> None:
    """Measure a probe over gRPC on the loopback interface, with both ends in this process."""
    port = free_port("127.0.0.1")
    server = PeerServer(EchoHandler())
    await server.start("127.0.0.1", port)
    facts = tuple(MemberUpdate(m, 1, MemberState.ALIVE) for m in make_fleet(8))
    probe = PeerProbe("entry-0", "entry-1", 1, Gossip(updates=facts))
    address = Address("127.0.0.1", port)
    async with PeerClient() as client:
        await client.probe(address, probe)
        started = time.process_time()
        for _ in range(times):
            await client.probe(address, probe)
        reused_us = (time.process_time() - started) / times * US_PER_S
        started = time.process_time()
        for _ in range(times):
            client.close()
            await client.probe(address, probe)
        new_us = (time.process_time() - started) / times * US_PER_S
    await server.close()
    print_row("peers: probe and reply on a reused connection, both ends", reused_us, "us")
    print_row("peers: probe and reply on a new connection, both ends", new_us, "us")


def main() -> None:
    """Measure all costs and print the table."""
    for count in (10, 170, 1_700):
        measure_membership(count)
    measure_request_path()
    asyncio.run(measure_peers())


if __name__ == "__main__":
    main()
