"""When a process calls the store for an object it follows, and which peers it tells.

In each availability zone the ``watchers`` best ranks of a rendezvous hash hold the store's watch;
there is no election, and when members go, the next ranks follow. The other members get versions
from their peers, and each reads the store now and then, so that watchers whose watches have fallen
silent go unnoticed only for seconds. Store calls per second are constant per zone, not per member.
"""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from briarspur.coord.rendezvous import rank

__all__ = ["CallKind", "Readiness", "Spread", "SpreadTimes", "Turn", "watchers"]


@dataclass(frozen=True, slots=True)
class SpreadTimes:
    """Counts, rates, and times in seconds.

    Attributes
    ----------
    watchers : int
        Watches in each zone.
    watch_wait : float
        How long one watch waits. A plain read follows an empty one, since a watch may be lost
        silently.
    audit : float
        Mean time between two reads by the other members of a zone, all of them together.
    takeover : float
        A new watcher begins within this time, at random.
    first_pause, longest_pause : float
        After failures; doubled from one to the other.
    store_rate : float
        Calls a second that all processes together may make of a store that fails.
    fanout : int
        Peers that a process tells of a version as soon as it has it.
    peers_asked : int
        Peers a fresh process hears, while the store is out, before it trusts the newest of them.
    """

    watchers: int = 2
    watch_wait: float = 10.0
    audit: float = 5.0
    takeover: float = 1.0
    first_pause: float = 0.5
    longest_pause: float = 30.0
    store_rate: float = 200.0
    fanout: int = 2
    peers_asked: int = 3


class CallKind(Enum):
    """A call of the store."""

    READ = "read"
    WATCH = "watch"


@dataclass(frozen=True, slots=True)
class Turn:
    """Make this call after ``pause`` seconds."""

    kind: CallKind
    pause: float


def watchers(name: str, members: Iterable[str], count: int) -> list[str]:
    """Return the members of one zone that watch the object ``name``."""
    return rank(f"watch/{name}", members)[:count]


class Spread:
    """The decisions of one process about the objects it follows.

    Parameters
    ----------
    me : str
        This entry's id.
    zone : str
        Its availability zone.
    objects : int
        How many objects every process follows.
    rng : random.Random
    times : SpreadTimes
    """

    def __init__(
        self, me: str, zone: str, objects: int, rng: random.Random, times: SpreadTimes
    ) -> None:
        self.me = me
        self.zone = zone
        self._objects = objects
        self._rng = rng
        self._times = times
        self._zones_by_member: dict[str, str] = {me: zone}
        self._watching: set[str] = set()

    def members_changed(self, zones_by_member: Mapping[str, str]) -> None:
        """Take the live members and their zones; this process always counts as live."""
        self._zones_by_member = {**zones_by_member, self.me: self.zone}

    def watches(self, name: str) -> bool:
        """Whether this process is one of its zone's watchers of an object."""
        return self.me in watchers(name, self._neighbours(), self._times.watchers)

    def turn(self, name: str, has_version: bool, last: CallKind | None, failures: int) -> Turn:
        """Return the next call of the store.

        Parameters
        ----------
        has_version : bool
            Whether any version is in force here.
        last : CallKind or None
            The call that ended last with nothing new; None if it brought a version, and before
            the first answer.
        failures : int
            Calls that failed one after the other.
        """
        watches = self.watches(name)
        is_new = watches and name not in self._watching
        (self._watching.add if watches else self._watching.discard)(name)
        if not has_version and last is None:
            return Turn(CallKind.READ, self._pause(failures, len(self._zones_by_member)))
        if not watches:
            return Turn(CallKind.READ, self._audit_pause())
        kind = CallKind.READ if last is CallKind.WATCH else CallKind.WATCH
        if failures:
            zones = len(set(self._zones_by_member.values()))
            return Turn(kind, self._pause(failures, zones * self._times.watchers))
        return Turn(kind, self._rng.random() * self._times.takeover if is_new else 0.0)

    def tell(self) -> list[str]:
        """Return the peers to offer a new version to: one in this zone, the rest anywhere."""
        peers = [member for member in self._zones_by_member if member != self.me]
        near = [peer for peer in peers if self._zones_by_member[peer] == self.zone]
        chosen = self._rng.sample(near, min(1, len(near)))
        others = [peer for peer in peers if peer not in chosen]
        return chosen + self._rng.sample(others, min(self._times.fanout - len(chosen), len(others)))

    def _neighbours(self) -> list[str]:
        return [member for member, zone in self._zones_by_member.items() if zone == self.zone]

    def _audit_pause(self) -> float:
        # Memoryless, so that the zone's rate is the same from the first second after a start on.
        return self._rng.expovariate(1.0 / (self._times.audit * len(self._neighbours())))

    def _pause(self, failures: int, callers: int) -> float:
        if not failures:
            return 0.0
        # All processes lose the store at one moment and would all come back at one moment, more
        # at once than the store answers; it would fail again. So the mean pause is at least what
        # lets all callers together keep to the rate, and the pauses are spread over twice that.
        doubled = self._times.first_pause * 2.0 ** min(failures - 1, 16)
        fair = callers * self._objects / self._times.store_rate
        mean = max(min(doubled, self._times.longest_pause), fair)
        return mean * (0.5 + self._rng.random())


@dataclass(slots=True)
class Readiness:
    """Whether a fresh process may serve by the version it has.

    Attributes
    ----------
    store_answered : bool
        The store has answered a read.
    store_failed : bool
        The last call of the store failed.
    versions_by_peer : dict of str to int
        Versions in force at the peers heard so far.
    """

    times: SpreadTimes
    store_answered: bool = False
    store_failed: bool = False
    versions_by_peer: dict[str, int] = field(default_factory=dict)

    def is_ready(self, version: int, wanted: bool, peers: int) -> bool:
        """Return whether ``version`` may be served by.

        Parameters
        ----------
        version : int
            The version in force here, 0 if none.
        wanted : bool
            Whether a peer heard has a newer version that could be fetched.
        peers : int
            Live peers known.
        """
        # The store's read may be old, and a single peer may itself be behind: a process that
        # served by either could bring back what callers have already seen replaced.
        if not version or wanted:
            return False
        asked = min(self.times.peers_asked, peers)
        heard = len(self.versions_by_peer) >= max(asked, 1)
        return self.store_answered or (self.store_failed and heard)
