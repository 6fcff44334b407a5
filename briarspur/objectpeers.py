"""Exchange of followed objects with other entries."""

import random
from collections.abc import Callable, Sequence

from briarspur.coord.address import Address
from briarspur.coord.errors import StoreError
from briarspur.errors import PeerError
from briarspur.gossip import ObjectCopy
from briarspur.peering import VmReader
from briarspur.peers import PeerClient

__all__ = ["MemberPeers", "newest_copy"]


class MemberPeers:
    """Implements :class:`briarspur.follow.ObjectPeers` for the known members.

    Parameters
    ----------
    client : PeerClient
    address_of : callable
        Returns the address of an entry; None if it is unknown.
    """

    def __init__(self, client: PeerClient, address_of: Callable[[str], Address | None]) -> None:
        self._client = client
        self._address_of = address_of

    async def fetch(self, entry: str, name: str, newer_than: int) -> ObjectCopy | None:
        """Fetch an object from an entry if its version there is above ``newer_than``."""
        return await self._client.fetch(self._get_address(entry), name, newer_than)

    async def offer(self, entry: str, copy: ObjectCopy) -> int:
        """Offer an object to an entry; return the version in force there afterwards."""
        return await self._client.offer(self._get_address(entry), copy)

    def _get_address(self, entry: str) -> Address:
        address = self._address_of(entry)
        if address is None:
            raise PeerError(f"{entry} is not a member")
        return address


async def newest_copy(
    client: PeerClient,
    vms: VmReader,
    own_address: Address,
    name: str,
    min_responses: int,
    rng: random.Random,
) -> ObjectCopy | None:
    """Fetch an object from several of the listed entries, and return the newest copy.

    A new process does not know any members yet. A single entry may be out of date, so several are
    asked and the copy with the highest version is returned.

    Parameters
    ----------
    min_responses : int
        Number of entries that must respond; if fewer are listed, all are asked.
    """
    try:
        listed = await vms.read()
    except StoreError:
        return None
    addresses = [Address(vm.host, vm.peer_port) for vm in listed]
    others = [address for address in addresses if address != own_address]
    rng.shuffle(others)
    copies = await _fetch_copies(client, others, name, min_responses)
    return max(copies, key=lambda copy: copy.version, default=None)


async def _fetch_copies(
    client: PeerClient, addresses: Sequence[Address], name: str, min_responses: int
) -> list[ObjectCopy]:
    copies: list[ObjectCopy] = []
    response_count = 0
    for address in addresses:
        if response_count >= min_responses:
            break
        try:
            copy = await client.fetch(address, name, 0)
        except PeerError:
            continue
        response_count += 1
        if copy is not None:
            copies.append(copy)
    return copies
