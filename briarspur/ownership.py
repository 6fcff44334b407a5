"""Which entry dispatches to which backend server."""

from collections.abc import Mapping, Sequence
from functools import lru_cache
from typing import Protocol

from briarspur.coord import rendezvous
from briarspur.policy import Target

__all__ = ["OwnerSlots", "SlotRule"]

MOST_FLOWS = 256
"""Owner maps kept: one for each service and region, and some former ones."""


class SlotRule(Protocol):
    """How the slots of targets are given to the entries of their region."""

    def slots_by_target(
        self, targets: Sequence[Target], members: Sequence[str], me: str
    ) -> dict[str, int]:
        """Return how many slots of each target the entry ``me`` may use; none is left out.

        Parameters
        ----------
        targets : sequence of Target
            Targets of one service in one region.
        members : sequence of str
            Live entries of that region.
        """

    def entries_of(self, targets: Sequence[Target], members: Sequence[str]) -> dict[str, list[str]]:
        """Return the ids of the targets each entry may dispatch to, by entry."""


class OwnerSlots:
    """Each target has one owner, which alone dispatches to it.

    The owner therefore knows the target's in-flight count without any measurement. Owners are
    found by rendezvous hashing with a bounded load, so every entry with the same view of the
    members names the same owner without asking.

    Maps are kept, since a change in one region leaves those of the others as they are, and a map
    of a large region takes milliseconds to work out.
    """

    def __init__(self) -> None:
        self._map_of = lru_cache(MOST_FLOWS)(_owner_by_target)

    def slots_by_target(
        self, targets: Sequence[Target], members: Sequence[str], me: str
    ) -> dict[str, int]:
        """Return all slots of the targets that ``me`` owns."""
        owners = self._owners(targets, members)
        return {
            target.target_id: target.slots for target in targets if owners[target.target_id] == me
        }

    def entries_of(self, targets: Sequence[Target], members: Sequence[str]) -> dict[str, list[str]]:
        """Return the owned targets by owner."""
        by_entry: dict[str, list[str]] = {}
        for target_id, owner in self._owners(targets, members).items():
            by_entry.setdefault(owner, []).append(target_id)
        return by_entry

    def _owners(self, targets: Sequence[Target], members: Sequence[str]) -> Mapping[str, str]:
        return self._map_of(tuple(target.target_id for target in targets), tuple(members))


def _owner_by_target(target_ids: tuple[str, ...], members: tuple[str, ...]) -> Mapping[str, str]:
    return rendezvous.owners(target_ids, members)
