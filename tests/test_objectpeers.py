"""Tests of how a new process gets the policy from other entries."""

import random
import unittest
from types import SimpleNamespace
from typing import Any, cast

from briarspur.coord.address import Address
from briarspur.coord.errors import StoreUnavailableError
from briarspur.errors import PeerError
from briarspur.gossip import ObjectCopy
from briarspur.objectpeers import MemberPeers, newest_copy
from briarspur.peers import PeerClient

OWN_ADDRESS = Address("127.0.0.1", 1)


class Entries:
    """Entries by port with the version that each has; None for one that does not respond."""

    def __init__(self, *versions: int | None) -> None:
        self.versions_by_port = dict(enumerate(versions, 1))
        self.asked: list[int] = []
        self.is_list_unavailable = False

    async def read(self) -> list[Any]:
        if self.is_list_unavailable:
            raise StoreUnavailableError("out")
        return [
            SimpleNamespace(host=OWN_ADDRESS.host, peer_port=port) for port in self.versions_by_port
        ]

    async def fetch(self, address: Address, name: str, newer_than: int) -> ObjectCopy | None:
        version = self.versions_by_port[address.port]
        if version is None:
            raise PeerError("gone")
        self.asked.append(address.port)
        return ObjectCopy(name, version, b"", b"") if version > newer_than else None


class NewestCopyTest(unittest.IsolatedAsyncioTestCase):
    """Several entries are asked, since a single one may be out of date."""

    async def newest(self, entries: Entries) -> int | None:
        client = cast(PeerClient, entries)
        found = await newest_copy(client, entries, OWN_ADDRESS, "policy", 3, random.Random(1))
        return found.version if found is not None else None

    async def test_highest_version_of_three_responses_is_returned(self) -> None:
        entries = Entries(9, 4, 5, None, 4, None, 4)
        self.assertIn(await self.newest(entries), (4, 5))
        self.assertEqual(len(entries.asked), 3)
        self.assertNotIn(OWN_ADDRESS.port, entries.asked)
        self.assertEqual(await self.newest(Entries(0, 4, 5, None)), 5)

    async def test_none_if_no_entry_has_a_copy_or_the_list_is_unavailable(self) -> None:
        self.assertIsNone(await self.newest(Entries(0, 0, None)))
        entries = Entries(0, 4)
        entries.is_list_unavailable = True
        self.assertIsNone(await self.newest(entries))

    async def test_unknown_member_raises_peer_error(self) -> None:
        peers = MemberPeers(cast(PeerClient, Entries(0)), lambda entry: None)
        with self.assertRaises(PeerError):
            await peers.fetch("gone", "policy", 0)
