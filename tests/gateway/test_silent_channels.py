"""Tests how late entries apply changes when open channels to the store go silent."""

import asyncio
import logging
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from tests.gateway.spreading import World
from tests.virtualtime import run_virtual

BOUND_S = 2.5
"""Time after the acknowledgement within which a change must be in force everywhere."""
EVACUATION_BOUND_S = 5.0
"""Time within which nothing more may be sent to an evacuated zone."""
MARGIN_S = 0.3
"""Part of the bound reserved for what is not simulated: late timers and event loops."""
WARMUP_S = 12.0
OFFSETS_S = (0.0, 0.35, 0.7)
"""Moments of the silence relative to the period of the reads."""
SIZES = ((3, 1), (10, 6))
"""Entries and zones."""
WRITTEN_AFTER_S = 0.05
MAX_WAIT_S = 8.0


Change = Callable[[World], Awaitable[dict[str, float]]]


@dataclass(frozen=True)
class Silence:
    """Which readers' channels go silent, and for how long these were idle before."""

    share: float
    idle_s: float


SILENCES = (Silence(1.0, 0.0), Silence(1.0, 0.3), Silence(1.0, 0.9), Silence(0.5, 0.9))
OTHER_SILENCES = SILENCES[1:3]


class SilentChannelTest(unittest.TestCase):
    """Channels die without an error at some readers; new ones work at once."""

    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def latest(self, size: int, zones: int, fault: Silence, offset: float) -> float:
        """Return when the last entry has a configuration that was written after the silence."""
        return await self.latest_change(
            size, zones, fault, offset, lambda world: world.configuration_delays(2, MAX_WAIT_S)
        )

    async def latest_change(
        self, size: int, zones: int, fault: Silence, offset: float, change: Change
    ) -> float:
        """Return when the last entry has a change that is made after the silence."""
        world = World(size, zones)
        world.start()
        await asyncio.sleep(WARMUP_S + offset)
        readers = [reader for n in range(zones) for reader in world.readers(f"z-{n}")]
        silent = readers[: round(fault.share * len(readers))]
        now = asyncio.get_running_loop().time()
        world.net.connections_died_at = dict.fromkeys(silent, now - fault.idle_s)
        await asyncio.sleep(WRITTEN_AFTER_S)
        delays = await change(world)
        await world.stop()
        self.assertEqual(set(world.by_id), set(delays))
        return max(delays.values())

    def check_other(self, change: Change, bound: float) -> None:
        for size, zones in SIZES:
            for fault in OTHER_SILENCES:
                latest = [
                    run_virtual(self.latest_change(size, zones, fault, at, change))
                    for at in OFFSETS_S
                ]
                with self.subTest(size=size, fault=fault):
                    self.assertLessEqual(max(latest), bound - MARGIN_S)

    def test_a_departure_is_known_in_time_at_all_entries(self) -> None:
        """Guards against requests to a server that has left, for want of a watch that answers."""
        self.check_other(lambda world: world.departure_delays("t-7", MAX_WAIT_S), BOUND_S)

    def test_an_evacuation_is_known_in_time_at_all_entries(self) -> None:
        """Guards against requests to an evacuated zone, for want of a watch that answers."""
        self.check_other(
            lambda world: world.evacuation_delays("z-9", MAX_WAIT_S), EVACUATION_BOUND_S
        )

    def test_a_configuration_is_in_force_in_time_at_all_entries(self) -> None:
        """Guards against an old configuration in use while a watch waits on a dead channel."""
        for size, zones in SIZES:
            for fault in SILENCES:
                latest = [run_virtual(self.latest(size, zones, fault, at)) for at in OFFSETS_S]
                with self.subTest(size=size, fault=fault):
                    self.assertLessEqual(max(latest), BOUND_S - MARGIN_S)
