"""Assigns the slots of backend servers to the entries that dispatch to them."""

from collections.abc import Mapping, Sequence
from functools import lru_cache
from typing import Protocol

from briarspur.coord import rendezvous
from briarspur.policy import Target

__all__ = ["OwnerSlots", "SlotRule"]

MAX_CACHED_MAPS = 256
"""Cached owner maps: one for each service and region, and some previous ones."""


class SlotRule(Protocol):
    """Rule that assigns the slots of targets to the entries of their region."""

    def slots_by_target(
        self, targets: Sequence[Target], members: Sequence[str], entry_id: str
    ) -> dict[str, int]:
        """Return the slots of each target that an entry may use, leaving out targets without any.

        Parameters
        ----------
        targets : sequence of Target
            Targets of one service in one region.
        members : sequence of str
            Live entries of that region.
        """

    def targets_by_entry(
        self, targets: Sequence[Target], members: Sequence[str]
    ) -> dict[str, list[str]]:
        """Return the ids of the targets that each entry may dispatch to, by entry."""


class OwnerSlots:
    """Assigns each target to one owner, the only entry that dispatches to it.

    The owner therefore knows the target's in-flight count without any measurement. Owners are
    computed by rendezvous hashing with bounded loads, so that entries with the same view of the
    members agree on the owner without communication.

    Maps are cached, since a change in one region doesn't affect those of other regions, and
    computing the map of a large region takes milliseconds.
    """

    def __init__(self) -> None:
        self._cached_owner_map = lru_cache(MAX_CACHED_MAPS)(_owner_by_target)

    def slots_by_target(
        self, targets: Sequence[Target], members: Sequence[str], entry_id: str
    ) -> dict[str, int]:
        """Return the slots of the targets that an entry owns, by target."""
        owners = self._owners_by_target(targets, members)
        return {
            target.target_id: target.slots
            for target in targets
            if owners[target.target_id] == entry_id
        }

    def targets_by_entry(
        self, targets: Sequence[Target], members: Sequence[str]
    ) -> dict[str, list[str]]:
        """Return the ids of the owned targets by owner."""
        by_entry: dict[str, list[str]] = {}
        for target_id, owner in self._owners_by_target(targets, members).items():
            by_entry.setdefault(owner, []).append(target_id)
        return by_entry

    def _owners_by_target(
        self, targets: Sequence[Target], members: Sequence[str]
    ) -> Mapping[str, str]:
        return self._cached_owner_map(tuple(target.target_id for target in targets), tuple(members))


def _owner_by_target(target_ids: tuple[str, ...], members: tuple[str, ...]) -> Mapping[str, str]:
    return rendezvous.owners(target_ids, members)
