"""Rendezvous hashing: assigns keys to members, with the same result in every process.

Each pair of a key and a member has a weight, a stable hash of both. A key prefers members in
descending order of weight, so a member that joins or leaves moves only the keys that it gains or
loses.
"""

import heapq
import math
from collections.abc import Iterable, Sequence
from hashlib import blake2b

__all__ = ["DEFAULT_SLACK_FACTOR", "capacity", "owners", "rank", "weight"]

DEFAULT_SLACK_FACTOR = 1.25
WEIGHT_BYTES = 8


def weight(key: str, member: str) -> int:
    """Return the weight of a pair; it does not depend on the hash seed of the process."""
    # The length distinguishes ("ab", "c") from ("a", "bc").
    hash_input = f"{len(key)}:{key}{member}"
    return int.from_bytes(blake2b(hash_input.encode(), digest_size=WEIGHT_BYTES).digest())


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Return the members in descending order of preference for ``key``."""
    return sorted(members, key=lambda member: (weight(key, member), member), reverse=True)


def capacity(keys: int, members: int, slack_factor: float = DEFAULT_SLACK_FACTOR) -> int:
    """Return the maximum number of keys that one member may own."""
    return math.ceil(slack_factor * keys / members)


def owners(
    keys: Sequence[str], members: Sequence[str], slack_factor: float = DEFAULT_SLACK_FACTOR
) -> dict[str, str]:
    """Return the owner of each key, such that no member exceeds its capacity.

    A key goes to its most preferred member with free capacity; a member above its capacity rejects
    the key with the lowest weight. The result is the unique stable matching, so it does not depend
    on the order of ``keys`` or ``members``.

    Parameters
    ----------
    keys, members : sequence of str
        Without repetitions.
    slack_factor : float
        Maximum ratio of the keys of one member to the mean; at least 1.

    Returns
    -------
    dict of str to str
        Empty if there are no members or no keys.
    """
    if not members or not keys:
        return {}
    max_keys = capacity(len(keys), len(members), slack_factor)
    preferences_by_key = {key: iter(rank(key, members)) for key in keys}
    owned_by_member: dict[str, list[tuple[int, str]]] = {member: [] for member in members}
    unplaced = list(keys)
    while unplaced:
        key = unplaced.pop()
        member = next(preferences_by_key[key])
        owned = owned_by_member[member]
        heapq.heappush(owned, (weight(key, member), key))
        if len(owned) > max_keys:
            unplaced.append(heapq.heappop(owned)[1])
    return {key: member for member, owned in owned_by_member.items() for _, key in owned}
