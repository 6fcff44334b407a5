"""When a target whose registration vanished is taken as gone."""

from briarspur.gateway.availability import StoreAvailability

__all__ = ["Departures"]

RETURN_TIME = 2.2
"""Seconds after the store's return within which registrations that lapsed while it was away come
back, by the platform's word about 2 s; what is still missing then is gone."""


class Departures:
    """Holds removals back that may only mean that the store was away.

    Registrations lapse while nobody can renew them. Just after an outage the store may then name
    hardly any server though all run; without a hold every request would be refused until they are
    back. A server that really left meanwhile refuses connections, so little is lost by the wait.
    """

    def __init__(self, availability: StoreAvailability) -> None:
        self._availability = availability
        self._held: dict[str, float] = {}

    def vanished(self, name: str, now: float) -> bool:
        """Return whether a target may be removed at once; otherwise it is held."""
        away = self._availability.is_away(now)
        due = (now if away else self._availability.returned_at) + RETURN_TIME
        if now >= due:
            return True
        self._held[name] = due
        return False

    def returned(self, name: str) -> None:
        """Note that a target is registered again."""
        self._held.pop(name, None)

    def due(self, now: float) -> list[str]:
        """Return the held targets that are gone by now."""
        gone = [name for name, due in self._held.items() if now >= due]
        for name in gone:
            del self._held[name]
        return gone
