"""Tests of the platform's list of VMs."""

import json
import unittest

from briarspur.coord.errors import StoreUnavailableError
from briarspur.coord.memorystore import MemoryStore
from briarspur.coord.store import ABSENT
from briarspur.objects import VMS_PREFIX, VmList, VmState

VM = {
    "host": "127.0.0.1",
    "zone": "a",
    "state": "leaving",
    "caller_port": 1,
    "forward_port": 2,
    "peer_port": 3,
}


class VmListTest(unittest.IsolatedAsyncioTestCase):
    """Reading the list, including malformed items."""

    async def test_vms_are_decoded_and_ordered(self) -> None:
        store = MemoryStore()
        for name in ("vm-2", "vm-1"):
            await store.put(VMS_PREFIX + name, json.dumps({**VM, "more": 1}).encode(), ABSENT)
        first, second = await VmList(store).read()
        self.assertEqual(("vm-1", "vm-2"), (first.vm_id, second.vm_id))
        self.assertEqual((VmState.LEAVING, 3), (first.state, first.peer_port))

    async def test_a_malformed_item_is_skipped_and_logged(self) -> None:
        """One malformed item in the list must not hide all other entries.

        The whole list was rejected if one item was malformed.
        """
        store = MemoryStore()
        bad = (b"", b"[]", b"{", json.dumps({**VM, "state": "asleep"}).encode(), b"\xff")
        for number, value in enumerate(bad):
            await store.put(f"{VMS_PREFIX}bad-{number}", value, ABSENT)
        await store.put(VMS_PREFIX + "vm-1", json.dumps(VM).encode(), ABSENT)
        with self.assertLogs("briarspur", "WARNING") as logged:
            found = await VmList(store).read()
        self.assertEqual(["vm-1"], [vm.vm_id for vm in found])
        self.assertEqual(len(bad), len(logged.records))

    async def test_a_failing_store_raises_store_unavailable(self) -> None:
        store = MemoryStore()
        store.stop()
        with self.assertRaises(StoreUnavailableError):
            await VmList(store).read()
