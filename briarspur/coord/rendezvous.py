"""Rendezvous hashing: which members serve a key, the same in every process.

Each pair of key and member has a weight, a stable hash of both. A key prefers the members in
falling order of weight, so a member that joins or leaves moves only the keys it wins or loses.
"""

import heapq
import math
from collections.abc import Iterable, Sequence
from hashlib import blake2b

__all__ = ["DEFAULT_SLACK", "capacity", "owners", "rank", "weight"]

DEFAULT_SLACK = 1.25
WEIGHT_BYTES = 8


def weight(key: str, member: str) -> int:
    """Return the weight of a pair; equal in every process, whatever its hash seed."""
    # The length keeps ("ab", "c") and ("a", "bc") apart.
    text = f"{len(key)}:{key}{member}"
    return int.from_bytes(blake2b(text.encode(), digest_size=WEIGHT_BYTES).digest())


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Return the members from the most to the least preferred one for ``key``."""
    return sorted(members, key=lambda member: (weight(key, member), member), reverse=True)


def capacity(keys: int, members: int, slack: float = DEFAULT_SLACK) -> int:
    """Return how many of ``keys`` one of ``members`` may own."""
    return math.ceil(slack * keys / members)


def owners(
    keys: Sequence[str], members: Sequence[str], slack: float = DEFAULT_SLACK
) -> dict[str, str]:
    """Return the owner of each key, no member owning more than its capacity.

    A key goes to the most preferred member that has room; a member over its capacity passes on the
    key with the lowest weight. The result is the one stable matching, so it does not depend on the
    order of ``keys`` or ``members``.

    Parameters
    ----------
    keys, members : sequence of str
        Without repetitions.
    slack : float
        How far the fullest member may be above the mean; 1 or more.

    Returns
    -------
    dict of str to str
        Empty if there are no members.
    """
    if not members or not keys:
        return {}
    room = capacity(len(keys), len(members), slack)
    choices_by_key = {key: iter(rank(key, members)) for key in keys}
    kept_by_member: dict[str, list[tuple[int, str]]] = {member: [] for member in members}
    unplaced = list(keys)
    while unplaced:
        key = unplaced.pop()
        member = next(choices_by_key[key])
        kept = kept_by_member[member]
        heapq.heappush(kept, (weight(key, member), key))
        if len(kept) > room:
            unplaced.append(heapq.heappop(kept)[1])
    return {key: member for member, kept in kept_by_member.items() for _, key in kept}
