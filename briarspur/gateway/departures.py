"""When a target whose registration vanished is taken as gone."""

from dataclasses import dataclass

from briarspur.gateway.availability import StoreAvailability

__all__ = ["Departures", "Held"]

RETURN_TIME = 2.2
"""Seconds after the store's return within which registrations that lapsed while it was away come
back, by the platform's word about 2 s; what is still missing then is gone."""


@dataclass(frozen=True, slots=True)
class Held:
    """A target whose registration vanished; times in seconds on this entry's clock.

    Attributes
    ----------
    due : float
        When it is taken as gone.
    since : float
        When it vanished, at the earliest.
    """

    target_id: str
    due: float
    since: float


class Departures:
    """Holds removals back that may only mean that the store was away.

    Registrations lapse while nobody can renew them. Just after an outage the store may then name
    hardly any server though all run; without a hold every request would be refused until they are
    back. A server that really left meanwhile refuses connections, so little is lost by the wait.
    """

    def __init__(self, availability: StoreAvailability) -> None:
        self._availability = availability
        self._held_by_id: dict[str, Held] = {}

    def vanished(self, target_id: str, since: float, now: float) -> bool:
        """Return whether a target may be removed at once; otherwise it is held.

        Parameters
        ----------
        since : float
            When it vanished, at the earliest.
        """
        away = self._availability.is_away(now)
        due = (now if away else self._availability.returned_at) + RETURN_TIME
        if now >= due:
            return True
        self._held_by_id[target_id] = Held(target_id, due, since)
        return False

    def returned(self, target_id: str) -> None:
        """Note that a target is registered again."""
        self._held_by_id.pop(target_id, None)

    def due(self, now: float) -> list[Held]:
        """Return the held targets that are gone by now."""
        gone = [held for held in self._held_by_id.values() if now >= held.due]
        for held in gone:
            del self._held_by_id[held.target_id]
        return gone
