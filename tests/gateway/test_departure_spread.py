"""Tests how late entries learn that a backend server leaves, under injected faults.

An entry learns of a departure by its own watch or list of the store, by a pull from another entry
whose news report it, or at the end of a hold after an outage. Each fault below removes one or more
of these paths from entries that can still reach the store and the other entries.
"""

import asyncio
import logging
import unittest
from collections.abc import Callable
from typing import ClassVar

from tests.gateway.simulatedstore import STORE_PLACE
from tests.gateway.spreading import World
from tests.virtualtime import run_virtual

BOUND_S = 2.5
"""Time after the store's acknowledgement within which the last request may reach a leaving server:
the smallest bound of all deployments."""
MARGIN_S = 0.4
"""Part of the bound reserved for what is not simulated: network delay to the server, late timers
and event loops on half a core, and news that wait up to 0.5 s on a full link."""
MAX_DELAY_S = BOUND_S - MARGIN_S
"""A request for which the server was already chosen is not sent once the departure is known."""
STABLE_S = 3.0
"""Time after a disturbance of an entry from which it is considered undisturbed again."""
WARMUP_S = 12.0
"""Time after the start at which the faults begin. By then the store has dropped its initial
history, and connections that were only needed at the start have been idle for long."""
OFFSETS_S = (0.0, 0.3, 0.6)
"""Shifts of the departure relative to the period of the reads."""

LONGER_BOUNDS_S = (4.0, 8.0)
KNOWN_SHARE = 0.6
"""Share of a longer bound within which all entries know of a departure; the rest is for network
delay to the server and the body of a request on a slow link."""
MAX_WAIT_S = 6.0
"""Time after which an entry that has not learned of the departure is assumed never to do so."""

Fault = Callable[[World, list[str]], None]


def no_fault(world: World, readers: list[str]) -> None:
    """Inject no fault."""


def reader_frozen(world: World, readers: list[str]) -> None:
    """Stop one reader, as if killed: it neither reads nor sends news."""
    world.net.frozen.add(readers[0])


def every_reader_frozen(world: World, readers: list[str]) -> None:
    """Stop all readers."""
    world.net.frozen |= set(readers)


def reader_cut_from_store(world: World, readers: list[str]) -> None:
    """Let the calls of one reader to the store hang; it still sends news."""
    world.net.cut(readers[0], STORE_PLACE)


def every_reader_cut_from_store(world: World, readers: list[str]) -> None:
    """Let the calls of all readers to the store hang."""
    for reader in readers:
        world.net.cut(reader, STORE_PLACE)


def reader_rejected_by_store(world: World, readers: list[str]) -> None:
    """Let the store reject one reader and serve the others."""
    world.net.refused.add(readers[0])


def reader_news_lost(world: World, readers: list[str]) -> None:
    """Lose all messages that a reader sends to other entries."""
    for other in set(world.by_id) - {readers[0]}:
        world.net.dropped_paths.add((readers[0], other))


def reader_receives_nothing(world: World, readers: list[str]) -> None:
    """Let a reader's news arrive, but lose all messages and pulls to it."""
    for other in set(world.by_id) - {readers[0]}:
        world.net.dropped_paths.add((other, readers[0]))


def reader_reads_late(world: World, readers: list[str]) -> None:
    """Make a reader so busy that it handles incoming data 1.2 s late."""
    world.net.read_delays[readers[0]] = 1.2


def every_reader_reads_late(world: World, readers: list[str]) -> None:
    """Make all readers so busy that they handle incoming data 1.2 s late."""
    world.net.read_delays = dict.fromkeys(readers, 1.2)


def half_of_the_news_lost(world: World, readers: list[str]) -> None:
    """Lose every second datagram between entries."""
    world.net.news_loss_share = 0.5


def zone_isolated_from_others(world: World, readers: list[str]) -> None:
    """Cut one zone off from the other zones, but not from the store."""
    zone = world.by_id[readers[0]].record.zone
    inside = {entry_id for entry_id, entry in world.by_id.items() if entry.record.zone == zone}
    for one in inside:
        for other in set(world.by_id) - inside:
            world.net.cut(one, other)


def connections_broken(world: World, readers: list[str]) -> None:
    """Break all connections that were opened some time ago; new ones work."""
    now = asyncio.get_running_loop().time()
    world.net.connections_died_at = dict.fromkeys(world.by_id, now - STABLE_S)


def connections_broken_and_reader_frozen(world: World, readers: list[str]) -> None:
    """Break connections, and stop a reader."""
    connections_broken(world, readers)
    reader_frozen(world, readers)


def connections_broken_and_every_reader_frozen(world: World, readers: list[str]) -> None:
    """Break connections, and stop all readers."""
    connections_broken(world, readers)
    every_reader_frozen(world, readers)


FAULTS: tuple[Fault, ...] = (
    no_fault,
    reader_frozen,
    every_reader_frozen,
    reader_cut_from_store,
    every_reader_cut_from_store,
    reader_rejected_by_store,
    reader_news_lost,
    reader_receives_nothing,
    reader_reads_late,
    every_reader_reads_late,
    half_of_the_news_lost,
    zone_isolated_from_others,
    connections_broken,
    connections_broken_and_reader_frozen,
    connections_broken_and_every_reader_frozen,
)


def disturbed_entries(world: World) -> set[str]:
    """Return the entries that can't reach the store or are themselves slowed down."""
    net = world.net
    cut = {entry_id for entry_id in world.by_id if (entry_id, STORE_PLACE) in net.dropped_paths}
    return net.frozen | net.refused | set(net.read_delays) | cut


async def max_delay(
    size: int, zones: int, fault: Fault, offset: float, renewals: bool, bound: float = BOUND_S
) -> float:
    """Return the delay in seconds until the last undisturbed entry learns of a departure."""
    world = World(size, zones, renewals=renewals, bound=bound)
    world.start()
    await asyncio.sleep(WARMUP_S + offset)
    readers = [reader for zone in range(zones) for reader in world.readers(f"z-{zone}")]
    fault(world, readers)
    ages = await world.departure_delays("t-1", MAX_WAIT_S)
    await world.stop()
    undisturbed = set(world.by_id) - disturbed_entries(world)
    return max(ages.get(entry_id, float("inf")) for entry_id in undisturbed)


class DepartureSpreadTest(unittest.TestCase):
    """No single fault, and none of the listed pairs, delays the news of a departure too long."""

    sizes: ClassVar[tuple[tuple[int, int], ...]] = ((10, 6), (27, 3))

    def setUp(self) -> None:
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def check(self, fault: Fault, renewals: bool = False) -> None:
        for size, zones in self.sizes:
            for offset in OFFSETS_S:
                with self.subTest(fault=fault.__name__, size=size, offset=offset):
                    age = run_virtual(max_delay(size, zones, fault, offset, renewals))
                    self.assertLessEqual(age, MAX_DELAY_S)

    def test_all_entries_know_a_departure_in_time_under_any_listed_fault(self) -> None:
        """Guards against requests to a server 3.17 s after the store acknowledged its departure.

        Entries without fresh news for 1.6 s call the store themselves; this happened to whole zones
        at the same time even without faults, since the news of one reader were that old. If such an
        entry relies on its own call alone, it copies nothing from others while the call hangs for
        1.5 s.
        """
        for fault in FAULTS:
            self.check(fault)

    def test_longer_bounds_are_kept_with_longer_read_intervals(self) -> None:
        """Guards against read intervals that grow faster than the bound."""
        for bound in LONGER_BOUNDS_S:
            for fault in (no_fault, every_reader_frozen, every_reader_cut_from_store):
                for offset in OFFSETS_S[::2]:
                    with self.subTest(bound=bound, fault=fault.__name__, offset=offset):
                        age = run_virtual(max_delay(27, 3, fault, offset, False, bound))
                        self.assertLessEqual(age, KNOWN_SHARE * bound)

    def test_renewals_reported_as_changes_make_no_difference(self) -> None:
        for fault in (no_fault, reader_frozen, connections_broken_and_reader_frozen):
            self.check(fault, renewals=True)
