"""The load of backend servers over all entries, kept by news that entries send one another."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from briarspur.gateway.replica import Kind
from briarspur.gateway.target import Target

__all__ = ["ALL_OTHERS", "LoadView", "MemberSeen", "News"]

STALE = 1.5
"""Seconds after which an entry's last news no longer counts: it has ended, or can't reach us, and
what it had in flight then has mostly ended."""
MOST_WARMED = 60
"""Warmed objects in one message; the next one takes the rest. 60 of them take 480 bytes."""
MOST_WAITING = 2_000
"""Warmed objects that wait for a message; the oldest are dropped, which costs a cold run each."""
ALL_OTHERS = "*"
"""The group name of a sum over all groups but the receiver's."""


@dataclass(frozen=True, slots=True)
class MemberSeen:
    """An entry as another one has heard it; ``age`` seconds ago."""

    entry_id: str
    started: int
    leaving: bool
    age: float


@dataclass(frozen=True, slots=True)
class News:
    """What entries have in flight, by target number, and which objects were made warm where.

    Attributes
    ----------
    started : int
        Unix time of the sender's start in milliseconds.
    sequence : int
        Rises with each message of one process.
    group : str
        Empty for the sender's own load; otherwise the group whose sum this is.
    revisions : mapping
        The latest significant revision that the sender knows of each kind of object.
    store_age : float
        Seconds since the store confirmed them.
    members : tuple of MemberSeen
        The entries that a sum covers.
    """

    entry_id: str
    started: int
    sequence: int
    leaving: bool
    counts_by_number: Mapping[int, int]
    warmed: tuple[tuple[int, int], ...] = ()
    revisions: Mapping[Kind, int] = field(default_factory=dict)
    store_age: float = float("inf")
    group: str = ""
    members: tuple[MemberSeen, ...] = ()


@dataclass(slots=True)
class _Source:
    sender: str
    started: int
    sequence: int
    heard: float
    counts_by_number: Mapping[int, int]


class LoadView:
    """Sums the news of the other entries into each target's ``elsewhere``.

    News of one entry replace its earlier ones, and the sum of a group replaces that group's earlier
    sum, whoever sends it; so nothing is counted twice when a group changes its speaker.
    """

    def __init__(self, targets_by_number: Mapping[int, Target]) -> None:
        self._targets = targets_by_number
        self._by_name: dict[str, _Source] = {}
        self._own_warmed: list[tuple[int, int]] = []
        self._group_warmed: list[tuple[int, int]] = []
        self._other_warmed: list[tuple[int, int]] = []
        self._remembered_by_number: dict[int, list[int]] = {}

    def received(self, news: News, now: float) -> bool:
        """Take one message; return False if a later one has come before."""
        name = f"group {news.group}" if news.group else news.entry_id
        source = self._by_name.get(name)
        if source is not None:
            if source.sender == news.entry_id and (news.started, news.sequence) <= (
                source.started,
                source.sequence,
            ):
                return False
            self._add(source.counts_by_number, -1)
        self._by_name[name] = _Source(
            news.entry_id, news.started, news.sequence, now, news.counts_by_number
        )
        self._add(news.counts_by_number, 1)
        for number, key in news.warmed:
            target = self._targets.get(number)
            if target is not None:
                target.warmth.add(key)
        waiting = self._other_warmed if news.group else self._group_warmed
        waiting.extend(news.warmed)
        del waiting[:-MOST_WAITING]
        return True

    def drop(self, group: str) -> None:
        """Forget a group's sum that another source replaces."""
        self._drop(f"group {group}")

    def drop_groups(self) -> None:
        """Forget the sums of single groups: the sum of all others replaces them."""
        for name in list(self._by_name):
            if name.startswith("group ") and name != f"group {ALL_OTHERS}":
                self._drop(name)

    def expire(self, now: float) -> None:
        """Drop what entries said that have been silent for long."""
        for name, source in list(self._by_name.items()):
            if now - source.heard > STALE:
                self._drop(name)

    def sum_of(self, names: Iterable[str]) -> Counter[int]:
        """Return the sum of what some entries said of themselves."""
        total: Counter[int] = Counter()
        for name in names:
            source = self._by_name.get(name)
            if source is not None:
                total.update(source.counts_by_number)
        return total

    def sum_of_groups(self) -> Counter[int]:
        """Return the sum over the groups whose speakers were heard."""
        total: Counter[int] = Counter()
        for name, source in self._by_name.items():
            if name.startswith("group ") and name != f"group {ALL_OTHERS}":
                total.update(source.counts_by_number)
        return total

    def target_added(self, target: Target) -> None:
        """Give a new target the load that earlier news said of it."""
        target.elsewhere = sum(
            source.counts_by_number.get(target.number, 0) for source in self._by_name.values()
        )
        for key in self._remembered_by_number.pop(target.number, ()):
            self._warm(target, key)

    def remembered(self, pairs: Iterable[tuple[int, int]]) -> None:
        """Take what was warm before this entry started, also at targets still to be known."""
        for number, key in pairs:
            target = self._targets.get(number)
            if target is not None:
                self._warm(target, key)
            else:
                self._remembered_by_number.setdefault(number, []).append(key)

    def _warm(self, target: Target, key: int) -> None:
        # One that says it is cold has lost what it ran, though it is the same process.
        if not target.registration.cold_s:
            target.warmth.add(key)

    def warmed(self, number: int, key: int) -> None:
        """Note for the next news that a target has run a request for an object."""
        self._own_warmed.append((number, key))
        self._group_warmed.append((number, key))
        del self._own_warmed[:-MOST_WAITING]

    def take_own_warmed(self) -> tuple[tuple[int, int], ...]:
        """Return warmed objects for this entry's own news."""
        return _take(self._own_warmed)

    def take_group_warmed(self) -> tuple[tuple[int, int], ...]:
        """Return the group's warmed objects for the other groups."""
        return _take(self._group_warmed)

    def take_other_warmed(self) -> tuple[tuple[int, int], ...]:
        """Return the other groups' warmed objects for this one's members."""
        return _take(self._other_warmed)

    def forget_relayed(self) -> None:
        """Drop what only a speaker would pass on."""
        self._group_warmed.clear()
        self._other_warmed.clear()

    def _drop(self, name: str) -> None:
        source = self._by_name.pop(name, None)
        if source is not None:
            self._add(source.counts_by_number, -1)

    def _add(self, counts_by_number: Mapping[int, int], sign: int) -> None:
        for number, count in counts_by_number.items():
            target = self._targets.get(number)
            if target is not None:
                # A target that was replaced between two messages starts at zero.
                target.elsewhere = max(0, target.elsewhere + sign * count)


def _take(waiting: list[tuple[int, int]]) -> tuple[tuple[int, int], ...]:
    part = tuple(waiting[:MOST_WARMED])
    del waiting[:MOST_WARMED]
    return part
