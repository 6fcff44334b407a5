"""Decides when a target whose registration vanished is removed."""

from dataclasses import dataclass

from briarspur.gateway.availability import StoreAvailability

__all__ = ["Departures", "HeldRemoval"]

REREGISTRATION_S = 2.2
"""Time after an outage of the store within which registrations that lapsed during it are renewed;
the platform specifies about 2 s. Targets that are still missing then are gone."""


@dataclass(frozen=True, slots=True)
class HeldRemoval:
    """The delayed removal of a target; times are in seconds on this entry's clock.

    Attributes
    ----------
    due : float
        When the target is considered gone.
    since : float
        Earliest time at which its registration may have vanished.
    """

    target_id: str
    due: float
    since: float


class Departures:
    """Delays removals that may only be due to an outage of the store.

    Registrations lapse while they cannot be renewed. Just after an outage the store may therefore
    list hardly any servers although all are running; without a delay every request would be refused
    until they are registered again. A server that really left in the meantime refuses connections,
    so the delay costs little.
    """

    def __init__(self, availability: StoreAvailability) -> None:
        self._availability = availability
        self._held_by_id: dict[str, HeldRemoval] = {}

    def vanished(self, target_id: str, since: float, now: float) -> bool:
        """Return whether a target may be removed immediately; otherwise hold its removal.

        Parameters
        ----------
        since : float
            Earliest time at which the registration may have vanished.
        """
        is_away = self._availability.is_away(now)
        due = (now if is_away else self._availability.returned_at) + REREGISTRATION_S
        if now >= due:
            return True
        self._held_by_id[target_id] = HeldRemoval(target_id, due, since)
        return False

    def returned(self, target_id: str) -> None:
        """Cancel the removal of a target that is registered again."""
        self._held_by_id.pop(target_id, None)

    def due(self, now: float) -> list[HeldRemoval]:
        """Return and clear the held removals that are due."""
        gone = [held for held in self._held_by_id.values() if now >= held.due]
        for held in gone:
            del self._held_by_id[held.target_id]
        return gone
