"""Decides when a process calls the store for a followed object, and which peers it pushes to.

In each availability zone, the first ``watchers`` members in the order of a rendezvous hash watch
the store. There is no election: when members leave, the next in order replace them. The other
members get versions from their peers. Each also reads the store from time to time, so that watches
that were lost silently go unnoticed only for seconds. The rate of store calls is constant per zone,
however many members it has.
"""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from briarspur.coord.rendezvous import rank

__all__ = ["CallKind", "Propagation", "PropagationSettings", "Readiness", "StoreCall", "watchers"]


@dataclass(frozen=True, slots=True)
class PropagationSettings:
    """Settings of propagation; times in seconds.

    Attributes
    ----------
    watchers : int
        Watchers in each zone.
    watch_timeout : float
        Timeout of one watch. A watch that returned nothing is followed by a plain read, since a
        watch may be lost silently.
    audit_interval : float
        Mean time between two reads by all other members of a zone together.
    max_takeover_delay : float
        Upper bound of the random delay before the first call of a new watcher.
    min_retry_delay, max_retry_delay : float
        Bounds of the delay after failures, which doubles with each failure.
    max_store_rate : float
        Calls per second that all processes together may make to a failing store.
    push_fanout : int
        Peers to which a process offers a new version immediately.
    min_peers_asked : int
        Peers that must report to a new process, while the store fails, before it trusts the
        newest version among them.
    """

    watchers: int = 2
    watch_timeout: float = 10.0
    audit_interval: float = 5.0
    max_takeover_delay: float = 1.0
    min_retry_delay: float = 0.5
    max_retry_delay: float = 30.0
    max_store_rate: float = 200.0
    push_fanout: int = 2
    min_peers_asked: int = 3


class CallKind(Enum):
    """Kind of a call to the store."""

    READ = "read"
    WATCH = "watch"


@dataclass(frozen=True, slots=True)
class StoreCall:
    """A call to make after ``delay`` seconds."""

    kind: CallKind
    delay: float


def watchers(name: str, members: Iterable[str], count: int) -> list[str]:
    """Return the members of one zone that watch the object ``name``."""
    return rank(f"watch/{name}", members)[:count]


class Propagation:
    """Decisions of one process about calls to the store and pushes to peers.

    Parameters
    ----------
    entry_id : str
        This entry's id.
    zone : str
        This entry's availability zone.
    object_count : int
        Number of objects that every process follows.
    rng : random.Random
    settings : PropagationSettings
    """

    def __init__(
        self,
        entry_id: str,
        zone: str,
        object_count: int,
        rng: random.Random,
        settings: PropagationSettings,
    ) -> None:
        self.entry_id = entry_id
        self.zone = zone
        self._object_count = object_count
        self._rng = rng
        self._settings = settings
        self._zones_by_member: dict[str, str] = {entry_id: zone}
        self._watched_names: set[str] = set()

    def set_members(self, zones_by_member: Mapping[str, str]) -> None:
        """Set the live members and their zones; this process always counts as live."""
        self._zones_by_member = {**zones_by_member, self.entry_id: self.zone}

    def is_watcher(self, name: str) -> bool:
        """Return whether this process is one of its zone's watchers of an object."""
        return self.entry_id in watchers(name, self._zone_members(), self._settings.watchers)

    def next_call(
        self, name: str, has_version: bool, last: CallKind | None, failures: int
    ) -> StoreCall:
        """Return the next call to the store.

        Parameters
        ----------
        has_version : bool
            Whether any version is in force here.
        last : CallKind or None
            The last call if it returned nothing new; None if it returned a version, and before
            the first response.
        failures : int
            Number of consecutive failed calls.
        """
        is_watcher = self.is_watcher(name)
        is_new = is_watcher and name not in self._watched_names
        (self._watched_names.add if is_watcher else self._watched_names.discard)(name)
        if not has_version and last is None:
            return StoreCall(CallKind.READ, self._retry_delay(failures, len(self._zones_by_member)))
        if not is_watcher:
            return StoreCall(CallKind.READ, self._audit_delay())
        kind = CallKind.READ if last is CallKind.WATCH else CallKind.WATCH
        if failures:
            zones = len(set(self._zones_by_member.values()))
            return StoreCall(kind, self._retry_delay(failures, zones * self._settings.watchers))
        return StoreCall(
            kind, self._rng.random() * self._settings.max_takeover_delay if is_new else 0.0
        )

    def choose_push_peers(self) -> list[str]:
        """Return the peers to offer a new version to: one in this zone, the others anywhere."""
        peers = [member for member in self._zones_by_member if member != self.entry_id]
        zone_peers = [peer for peer in peers if self._zones_by_member[peer] == self.zone]
        chosen = self._rng.sample(zone_peers, min(1, len(zone_peers)))
        others = [peer for peer in peers if peer not in chosen]
        return chosen + self._rng.sample(
            others, min(self._settings.push_fanout - len(chosen), len(others))
        )

    def _zone_members(self) -> list[str]:
        return [member for member, zone in self._zones_by_member.items() if zone == self.zone]

    def _audit_delay(self) -> float:
        # Exponentially distributed, so that the zone's rate is constant from the first second on.
        return self._rng.expovariate(
            1.0 / (self._settings.audit_interval * len(self._zone_members()))
        )

    def _retry_delay(self, failures: int, callers: int) -> float:
        if not failures:
            return 0.0
        # All processes lose the store at the same moment. If they all retried at the same moment,
        # the store would get more calls than it can serve and fail again. So the mean delay is
        # long enough for all callers together to keep to the rate, with a jitter of half the mean.
        doubled = self._settings.min_retry_delay * 2.0 ** min(failures - 1, 16)
        rate_delay = callers * self._object_count / self._settings.max_store_rate
        mean = max(min(doubled, self._settings.max_retry_delay), rate_delay)
        return mean * (0.5 + self._rng.random())


@dataclass(slots=True)
class Readiness:
    """Whether a new process may serve requests with the version that it has.

    Attributes
    ----------
    store_answered : bool
        The store has responded to a read.
    store_failed : bool
        The last call to the store failed.
    versions_by_peer : dict of str to int
        Versions in force at the peers that have reported so far.
    """

    settings: PropagationSettings
    store_answered: bool = False
    store_failed: bool = False
    versions_by_peer: dict[str, int] = field(default_factory=dict)

    def is_ready(self, version: int, newer_known: bool, peers: int) -> bool:
        """Return whether requests may be served with ``version``.

        Parameters
        ----------
        version : int
            The version in force here, 0 if none.
        newer_known : bool
            Whether a peer has reported a newer version that could be fetched.
        peers : int
            Number of known live peers.
        """
        # A read of the store may return an old version, and a single peer may be behind. A process
        # that served with either could bring back a version that callers have seen replaced.
        if not version or newer_known:
            return False
        needed = min(self.settings.min_peers_asked, peers)
        enough_peers = len(self.versions_by_peer) >= max(needed, 1)
        return self.store_answered or (self.store_failed and enough_peers)
