"""Client address blocks: a sorted table that maps each block to its home region."""

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Mapping

__all__ = ["ADDRESS_BITS", "BlockTable", "parse_block"]

ADDRESS_BITS = 32
LAST_ADDRESS = 2**ADDRESS_BITS - 1


def parse_block(text: str) -> int | None:
    """Return the block number of an address; None if the text is not an address.

    The number of an IPv4 address is its integer value, that of an IPv6 address its first 32 bits.
    """
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        return None
    number = int(address)
    return number if address.version == 4 else number >> (128 - ADDRESS_BITS)


class BlockTable:
    """Home regions by block, in six bytes per block.

    Parameters
    ----------
    starts : array of 'I'
        First address of each block, in ascending order; the first is 0.
    homes : array of 'H'
        Index into ``names`` of each block's home region.
    names : list of str
        Region names.
    """

    def __init__(self, starts: "array[int]", homes: "array[int]", names: list[str]) -> None:
        self._starts = starts
        self._homes = homes
        self._names = names

    def __len__(self) -> int:
        return len(self._starts)

    def home(self, block: int) -> str:
        """Return the home region of a block."""
        return self._names[self._homes[bisect_right(self._starts, block) - 1]]

    @classmethod
    def from_prefixes(cls, default: str, homes_by_prefix: Mapping[str, str]) -> "BlockTable":
        """Build a table from IPv4 prefixes; the longest matching prefix applies."""
        networks = [(ipaddress.IPv4Network(p), home) for p, home in homes_by_prefix.items()]
        networks.sort(key=lambda item: (int(item[0].network_address), item[0].prefixlen))
        return cls.from_runs(_runs(default, networks))

    @classmethod
    def from_runs(cls, runs: Iterable[tuple[int, str]]) -> "BlockTable":
        """Build a table from (first address, home) pairs in ascending order, starting at 0."""
        starts, homes = array("I"), array("H")
        index_by_name: dict[str, int] = {}
        for start, home in runs:
            starts.append(start)
            homes.append(index_by_name.setdefault(home, len(index_by_name)))
        return cls(starts, homes, list(index_by_name))


def _runs(
    default: str, networks: list[tuple[ipaddress.IPv4Network, str]]
) -> Iterable[tuple[int, str]]:
    """Flatten nested prefixes, sorted by address, into runs of addresses with the same home."""
    home_by_start = {0: default}
    enclosing: list[tuple[int, str]] = []
    for network, home in networks:
        first = int(network.network_address)
        _end_prefixes_before(first, enclosing, default, home_by_start)
        home_by_start[first] = home
        enclosing.append((int(network.broadcast_address), home))
    _end_prefixes_before(LAST_ADDRESS + 1, enclosing, default, home_by_start)
    return sorted((start, home) for start, home in home_by_start.items() if start <= LAST_ADDRESS)


def _end_prefixes_before(
    first: int, enclosing: list[tuple[int, str]], default: str, home_by_start: dict[int, str]
) -> None:
    """End the prefixes that lie before ``first``, resuming their enclosing prefixes after them."""
    while enclosing and enclosing[-1][0] < first:
        last, _ = enclosing.pop()
        home_by_start[last + 1] = enclosing[-1][1] if enclosing else default
