"""Tests of the objects in force."""

import unittest
from dataclasses import replace

from briarspur.coord.store import StoredObject
from briarspur.inforce import InForce


class InForceTest(unittest.TestCase):
    """Versions only rise, whichever way they come."""

    def setUp(self) -> None:
        self.taken: list[int] = []
        self.in_force = InForce({"policy": self.take})

    def take(self, stored: StoredObject) -> bool:
        self.taken.append(stored.version)
        return stored.value != b"bad"

    def test_late_read_does_not_revert(self) -> None:
        """An operator drains a server, and seconds later it gets work again.

        A read of the store that shows the past, or a copy from an entry that was cut off, comes
        after the newer version. Taken, it would undo the drain.
        """
        for version in (1, 3, 2, 3, 1):
            self.in_force.take(StoredObject("policy", version, b"v%d" % version))
        self.assertEqual(self.taken, [1, 3])
        self.assertEqual(self.in_force.version("policy"), 3)
        self.assertEqual(self.in_force.old_versions_ignored, 2)

    def test_invalid_version_is_not_handed_on(self) -> None:
        self.in_force.take(StoredObject("policy", 1, b"good"))
        self.in_force.take(StoredObject("policy", 2, b"bad"))
        copy = self.in_force.copy("policy", 0)
        assert copy is not None
        self.assertEqual((copy.version, copy.value), (1, b"good"))

    def test_damaged_copy_is_not_taken(self) -> None:
        self.in_force.take(StoredObject("policy", 1, b"good"))
        copy = self.in_force.copy("policy", 0)
        assert copy is not None
        self.assertEqual(self.in_force.offered(replace(copy, version=2, value=b"cut")), 1)
        self.assertEqual(self.in_force.offered(replace(copy, version=2)), 2)
