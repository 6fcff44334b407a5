"""When a target whose registration vanished is taken as gone."""

__all__ = ["Departures"]

RETURN_TIME = 2.2
"""Seconds after the store's return within which registrations that lapsed while it was away come
back, by the platform's word about 2 s; what is still missing then is gone."""


CUT_CREDIT = 3.0
"""Seconds from the first news of other entries after a cut to the next answer of the store, up to
which the store is taken to have been there all along. Answers came 0.1 to 1.7 s after the end of cuts
of 12 s; a store that was away for all and lapsed registrations is then held for up to 3 s less."""


class Departures:
    """Holds removals back that may only mean that the store was away.

    Registrations lapse while nobody can renew them. Just after an outage the store may then name
    hardly any server though all run; without a hold every request would be refused until they are
    back. A server that really left meanwhile refuses connections, so little is lost by the wait.
    """

    def __init__(self) -> None:
        self._reachable = True
        self._returned_at = float("-inf")
        self._reached_at = float("-inf")
        self._held: dict[str, float] = {}

    def store_reachable(self, reachable: bool, now: float) -> None:
        """Note whether the store answers."""
        if reachable and not self._reachable:
            was_cut = now - self._reached_at <= CUT_CREDIT
            self._returned_at = self._reached_at if was_cut else now
        self._reachable = reachable

    def reached_again(self, now: float) -> None:
        """Note that entries are heard again that were not heard for a while.

        This entry was cut off then, and the store was there for the others. Counted from its own
        next answered call, which may come 1.7 s later, the hold kept servers that had left during the
        cut past the bound for a drain, by 0.3 to 2 s.
        """
        # The others are heard one after another; the first of them tells when the cut ended.
        if now - self._reached_at > CUT_CREDIT:
            self._reached_at = now

    def vanished(self, name: str, now: float) -> bool:
        """Return whether a target may be removed at once; otherwise it is held."""
        due = self._returned_at + RETURN_TIME
        if self._reachable and now >= due:
            return True
        self._held[name] = max(due, now + RETURN_TIME if not self._reachable else due)
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
