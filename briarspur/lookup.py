"""Look-ups: which entries a caller should use, for how long, and with which key prefix."""

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

PREFIX_REFRESH_S = 1.0
"""Answers are made anew this often, so that the expiry in their key prefix stays far ahead."""

NEAR_ENTRIES = 4
FAR_ENTRIES = 2
"""How many entries of the first one's region, and of others, an answer names beside it."""

BLOCK_BITS_PER_CALLER_GROUP = 8
"""Callers of one /24 get the same first entry, so that their caches agree."""


@dataclass(frozen=True, slots=True)
class _Variant:
    """A ready-made answer and the wall time it was made at."""

    body: bytes
    made_at: float


class LookupTable:
    """Answers look-ups from ready-made bodies.

    The first entry of an answer owns a target of the service in the caller's home region; each
    owner comes first in proportion to the targets it owns, so callers spread as the slots do.

    Parameters
    ----------
    policy : Policy
        The policy in force.
    view : MemberView
        The live entries.
    rule : SlotRule
        How targets are given to entries.
    """

    def __init__(self, policy: Policy, view: MemberView, rule: SlotRule) -> None:
        self._policy = policy
        self._view = view
        self._rule = rule
        self._first_by_flow: dict[tuple[str, str], list[str]] = {}
        self._rest_by_flow: dict[tuple[str, str], list[str]] = {}
        self._made: dict[tuple[str, str, int], _Variant] = {}

    def answer(self, service: str, block: int, home: str, wall: float) -> Result[bytes, Refusal]:
        """Return the JSON body of a look-up.

        Parameters
        ----------
        block : int
            The caller's block of clients; chooses among equal entries.
        wall : float
            Unix time in seconds, for the expiry of the key prefix.
        """
        if service not in self._policy.services_by_name:
            return Error(Refusal(Code.UNKNOWN_SERVICE, service[:100]))
        first = self._first(service, home)
        if not first:
            return Error(Refusal(Code.NO_TARGET, service, retry_after=1.0))
        number = (block >> BLOCK_BITS_PER_CALLER_GROUP) * 2654435761 % 2**32 % len(first)
        made = self._made.get((service, home, number))
        if made is None or wall - made.made_at > PREFIX_REFRESH_S:
            made = _Variant(self._make(service, home, first[number], wall), wall)
            self._made[service, home, number] = made
        return Ok(made.body)

    def _first(self, service: str, home: str) -> list[str]:
        """Return the owners to put first, each as often as it owns a target."""
        flow = (service, home)
        if flow not in self._first_by_flow:
            self._fill(service, home)
        return self._first_by_flow[flow]

    def _fill(self, service: str, home: str) -> None:
        """Work out the order of entries for callers of a home region."""
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
        self._rest_by_flow[service, home] = list(dict.fromkeys(owners + others))

    def _owners(self, service: str, region: str) -> list[str]:
        """Return the owner of each target of a service in a region; an entry may stand twice."""
        targets = self._policy.targets_of(service, region)
        members = self._view.serving(region)
        if not targets or not members:
            return []
        owned = self._rule.targets_by_entry(targets, members)
        return [entry_id for entry_id in sorted(owned) for _ in owned[entry_id]]

    def _make(self, service: str, home: str, first: str, wall: float) -> bytes:
        rest = self._rest_by_flow[service, home]
        ranked = rendezvous.rank(first, [entry_id for entry_id in rest if entry_id != first])
        near = [e for e in ranked if self._is_near(e, first)]
        far = [e for e in ranked if not self._is_near(e, first)]
        chosen = (first, *near[:NEAR_ENTRIES], *far[:FAR_ENTRIES])
        members = [self._view.by_id[entry_id] for entry_id in chosen]
        expiry = wall + self._policy.lookup_lifetime + self._policy.key_lifetime
        answer = {
            "service": service,
            "entries": [_entry(member) for member in members],
            "lifetime_s": self._policy.lookup_lifetime,
            "key_prefix": make_prefix(members[0].incarnation, int(expiry)),
            "home": home,
            "policy_version": self._policy.version,
        }
        return json.dumps(answer).encode()

    def _is_near(self, entry_id: str, first: str) -> bool:
        return self._view.by_id[entry_id].region == self._view.by_id[first].region


def _entry(member: ViewedMember) -> dict[str, object]:
    address = member.address
    return {"id": address.entry_id, "host": address.host, "port": address.caller_port}
