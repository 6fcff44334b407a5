"""Other entries as sources and receivers of followed objects."""

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
    """Implements :class:`briarspur.follow.ObjectPeers` over the members known.

    Parameters
    ----------
    client : PeerClient
    address_of : callable
        Returns the address of an entry, None if it is not known.
    """

    def __init__(self, client: PeerClient, address_of: Callable[[str], Address | None]) -> None:
        self._client = client
        self._address_of = address_of

    async def fetch(self, entry: str, name: str, newer_than: int) -> ObjectCopy | None:
        """Return the object if its version in force there is above ``newer_than``."""
        return await self._client.fetch(self._known(entry), name, newer_than)

    async def offer(self, entry: str, copy: ObjectCopy) -> int:
        """Hand an object over; return the version in force there afterwards."""
        return await self._client.offer(self._known(entry), copy)

    def _known(self, entry: str) -> Address:
        address = self._address_of(entry)
        if address is None:
            raise PeerError(f"{entry} is not a member")
        return address


async def newest_copy(
    client: PeerClient, vms: VmReader, me: Address, name: str, asked: int, rng: random.Random
) -> ObjectCopy | None:
    """Return the newest copy of an object among some of the listed entries.

    A fresh process knows no members yet. One entry alone may itself be behind, so several are asked
    and the highest version is taken.

    Parameters
    ----------
    asked : int
        How many entries must have answered, or all that are listed if they are fewer.
    """
    try:
        listed = await vms.read()
    except StoreError:
        return None
    addresses = [Address(vm.host, vm.peer_port) for vm in listed]
    others = [address for address in addresses if address != me]
    rng.shuffle(others)
    copies = await _ask(client, others, name, asked)
    return max(copies, key=lambda copy: copy.version, default=None)


async def _ask(
    client: PeerClient, addresses: Sequence[Address], name: str, asked: int
) -> list[ObjectCopy]:
    copies: list[ObjectCopy] = []
    answered = 0
    for address in addresses:
        if answered >= asked:
            break
        try:
            copy = await client.fetch(address, name, 0)
        except PeerError:
            continue
        answered += 1
        if copy is not None:
            copies.append(copy)
    return copies
