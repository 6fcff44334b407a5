"""Tests of the number of calls to the store when all entries of a fleet start together."""

import asyncio
import logging
import unittest
from collections import Counter

from briarspur.gateway.replica import Kind
from tests.gateway.spreading import Entry, World
from tests.virtualtime import run_virtual

SIZE, ZONES = 63, 3
MAX_START_S = 4.0
"""Time in which all entries must have the data that they need."""
MAX_MEMBER_CALLS = 2.0
"""Mean calls of an entry that is not a reader: its list of the entries, and one more."""


class StartTest(unittest.TestCase):
    """All entries start at the same time, as after a power failure."""

    def setUp(self) -> None:
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_members_get_the_data_in_force_from_the_readers(self) -> None:
        """Guards against a fleet in which every entry reads the whole store at its start."""

        async def work() -> tuple[Counter[bool], Counter[bool], list[Entry]]:
            world = World(SIZE, ZONES, targets=200)
            world.start()
            await asyncio.sleep(MAX_START_S)
            calls: Counter[bool] = Counter()
            entries: Counter[bool] = Counter()
            for entry in world.by_id.values():
                is_reader = entry.gossip.groups.is_reader
                entries[is_reader] += 1
                calls[is_reader] += entry.source.calls
            needed = (Kind.TARGETS, Kind.CONFIGURATION)
            incomplete = [
                entry
                for entry in world.by_id.values()
                if not all(entry.syncs[kind].replica.revision for kind in needed)
            ]
            await world.stop()
            return calls, entries, incomplete

        calls, entries, incomplete = run_virtual(work())
        self.assertEqual([], [entry.record.entry_id for entry in incomplete])
        self.assertEqual(2 * ZONES, entries[True])
        self.assertLessEqual(calls[False] / entries[False], MAX_MEMBER_CALLS)
