"""Look-ups: the entries a caller should use, for how long, and with which key prefix."""

import json
from dataclasses import dataclass

from expression import Error, Ok, Result

from briarspur.codes import Code
from briarspur.coord import rendezvous
from briarspur.coord.once import make_prefix
from briarspur.members import MemberView, ViewedMember
from briarspur.ownership import SlotRule
from briarspur.policy import Policy
from briarspur.refusal import Refusal

__all__ = ["LookupTable"]

MAX_ANSWER_AGE_S = 1.0
"""Maximum age of a cached answer, so that the expiry in its key prefix stays far ahead."""

MAX_NEAR_ENTRIES = 4
MAX_FAR_ENTRIES = 2
"""Maximum number of further entries in an answer, from the first entry's region and others."""

BLOCK_BITS_PER_CALLER_GROUP = 8
"""Callers of one /24 get the same first entry, so that their caches agree."""


@dataclass(frozen=True, slots=True)
class _CachedAnswer:
    """A cached answer and the Unix time of its creation."""

    body: bytes
    made_at: float


class LookupTable:
    """Answers look-ups from cached response bodies.

    The first entry of an answer owns a target of the service in the caller's home region. Each
    owner is first in proportion to the number of its targets, so that callers are distributed like
    the slots.

    Parameters
    ----------
    policy : Policy
        The policy in force.
    view : MemberView
        The live entries.
    rule : SlotRule
        Assigns targets to entries.
    """

    def __init__(self, policy: Policy, view: MemberView, rule: SlotRule) -> None:
        self._policy = policy
        self._view = view
        self._rule = rule
        self._first_by_flow: dict[tuple[str, str], list[str]] = {}
        self._other_by_flow: dict[tuple[str, str], list[str]] = {}
        self._cache: dict[tuple[str, str, int], _CachedAnswer] = {}

    def answer(
        self, service: str, block: int, home: str, unix_time: float
    ) -> Result[bytes, Refusal]:
        """Return the JSON body of a look-up.

        Parameters
        ----------
        block : int
            Number of the caller's address block; selects one of the owners.
        unix_time : float
            Unix time in seconds; determines the expiry of the key prefix.
        """
        if service not in self._policy.services_by_name:
            return Error(Refusal(Code.UNKNOWN_SERVICE, service[:100]))
        first = self._first_entries(service, home)
        if not first:
            return Error(Refusal(Code.NO_TARGET, service, retry_after=1.0))
        index = (block >> BLOCK_BITS_PER_CALLER_GROUP) * 2654435761 % 2**32 % len(first)
        cached = self._cache.get((service, home, index))
        if cached is None or unix_time - cached.made_at > MAX_ANSWER_AGE_S:
            cached = _CachedAnswer(
                self._encode_answer(service, home, first[index], unix_time), unix_time
            )
            self._cache[service, home, index] = cached
        return Ok(cached.body)

    def _first_entries(self, service: str, home: str) -> list[str]:
        """Return the owners that may be first, each once for every target it owns."""
        flow = (service, home)
        if flow not in self._first_by_flow:
            self._compute_order(service, home)
        return self._first_by_flow[flow]

    def _compute_order(self, service: str, home: str) -> None:
        """Compute the first entries and the other entries for callers of a home region."""
        regions = (home, *self._policy.regions_by_name[home].spill_to)
        owners_by_region = {region: self._owners(service, region) for region in regions}
        first: list[str] = []
        for region in regions:
            first = owners_by_region[region]
            if first:
                break
        owners = [e for region in regions for e in dict.fromkeys(owners_by_region[region])]
        others = [e for region in regions for e in self._view.serving(region)]
        self._first_by_flow[service, home] = first
        self._other_by_flow[service, home] = list(dict.fromkeys(owners + others))

    def _owners(self, service: str, region: str) -> list[str]:
        """Return the owner of each target of a service in a region, possibly with duplicates."""
        targets = self._policy.targets_of(service, region)
        members = self._view.serving(region)
        if not targets or not members:
            return []
        owned = self._rule.targets_by_entry(targets, members)
        return [entry_id for entry_id in sorted(owned) for _ in owned[entry_id]]

    def _encode_answer(self, service: str, home: str, first: str, unix_time: float) -> bytes:
        rest = self._other_by_flow[service, home]
        ranked = rendezvous.rank(first, [entry_id for entry_id in rest if entry_id != first])
        near = [e for e in ranked if self._is_near(e, first)]
        far = [e for e in ranked if not self._is_near(e, first)]
        chosen = (first, *near[:MAX_NEAR_ENTRIES], *far[:MAX_FAR_ENTRIES])
        members = [self._view.by_id[entry_id] for entry_id in chosen]
        expiry = unix_time + self._policy.lookup_lifetime + self._policy.key_lifetime
        answer = {
            "service": service,
            "entries": [_describe(member) for member in members],
            "lifetime_s": self._policy.lookup_lifetime,
            "key_prefix": make_prefix(members[0].incarnation, int(expiry)),
            "home": home,
            "policy_version": self._policy.version,
        }
        return json.dumps(answer).encode()

    def _is_near(self, entry_id: str, first: str) -> bool:
        return self._view.by_id[entry_id].region == self._view.by_id[first].region


def _describe(member: ViewedMember) -> dict[str, object]:
    address = member.address
    return {"id": address.entry_id, "host": address.host, "port": address.caller_port}
