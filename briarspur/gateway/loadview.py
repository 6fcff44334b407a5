"""The load of backend servers over all entries, kept by news that entries send one another."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from briarspur.gateway.replica import Kind
from briarspur.gateway.servernotice import NO_NOTICES, ReportedNotices
from briarspur.gateway.target import Target

__all__ = [
    "ALL_OTHERS",
    "STALE",
    "SeenEntries",
    "LoadView",
    "MemberSeen",
    "News",
    "Source",
    "take_warmed",
]

STALE = 1.5
"""Seconds after which an entry's last news no longer counts: it has ended, or can't reach us, and
what it had in flight then has mostly ended."""
MOST_WARMED = 30
"""Warmed objects in one message; the next one takes the rest. 30 of them take 240 bytes."""
MOST_WAITING = 2_000
"""Warmed objects that wait for a message; the oldest are dropped, which costs a cold run each."""
ALL_OTHERS = "*"
"""The group name of a sum over all entries, as a speaker tells it to its own group."""


@dataclass(frozen=True, slots=True)
class MemberSeen:
    """An entry as another one has heard it; ``age`` seconds ago."""

    entry_id: str
    started: int
    leaving: bool
    age: float


@dataclass(frozen=True, slots=True)
class SeenEntries:
    """Entries that were heard lately, by the numbers of their processes.

    Attributes
    ----------
    ages : tuple of float
        Seconds since each of them was heard.
    leaving : frozenset of int
        Those of them that are leaving.
    """

    numbers: tuple[int, ...] = ()
    ages: tuple[float, ...] = ()
    leaving: frozenset[int] = frozenset()

    def part(self, part: int, parts: int) -> "SeenEntries":
        """Return one of several parts of about the same size."""
        return SeenEntries(self.numbers[part::parts], self.ages[part::parts], self.leaving)


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
    part, parts : int
        A large sum is told in parts: this one names the targets whose number modulo ``parts`` is
        ``part``.
    included : mapping
        The sequence of the news that a sum counts for an entry, by the number of its process.
    revisions : mapping
        The latest significant revision that the sender knows of each kind of object.
    store_age : float
        Seconds since the store confirmed them.
    seen : SeenEntries
        Entries that were heard lately.
    notices : ReportedNotices
        What backend servers said of themselves.
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
    part: int = 0
    parts: int = 1
    included: Mapping[int, int] = field(default_factory=dict)
    seen: SeenEntries = SeenEntries()
    notices: ReportedNotices = NO_NOTICES

    def delayed(self, seconds: float) -> "News":
        """Return the same news as they are after some time on the way."""
        return replace(
            self,
            store_age=self.store_age + seconds,
            notices=self.notices.delayed(seconds),
        )

    def is_later_than(self, source: "Source") -> bool:
        """Return whether this replaces what a source said; another sender's always does."""
        return source.sender != self.entry_id or (self.started, self.sequence) > (
            source.started,
            source.sequence,
        )


@dataclass(slots=True)
class Source:
    """Counts that hold until later ones, or until they are stale."""

    sender: str
    started: int
    sequence: int
    heard: float
    counts_by_number: Mapping[int, int]

    @classmethod
    def of(cls, news: News, now: float) -> "Source":
        """Return the source that news make."""
        return cls(news.entry_id, news.started, news.sequence, now, news.counts_by_number)


class LoadView:
    """Sums the news of the other entries into each target's ``elsewhere``.

    News of one entry replace its earlier ones, and the sum of a group replaces that group's earlier
    sum, whoever sends it; so nothing is counted twice when a group changes its speaker.

    Attributes
    ----------
    on_other : callable
        Told of the change of each count whose number is no target's.
    """

    def __init__(self, targets_by_number: Mapping[int, Target]) -> None:
        self._targets = targets_by_number
        self.on_other: Callable[[int, int], None] = lambda number, change: None
        self._by_name: dict[tuple[str, int, int], Source] = {}
        self._own_warmed: list[tuple[int, int]] = []
        self._remembered_by_number: dict[int, list[int]] = {}

    def received(self, news: News, now: float, own: Mapping[int, int] | None = None) -> bool:
        """Take one message; return False if a later one has come before.

        Parameters
        ----------
        own : mapping, optional
            This entry's own requests that are counted in it.
        """
        group = f"group {news.group}" if news.group else news.entry_id
        name = (group, news.part, news.parts)
        source = self._by_name.get(name)
        if source is not None:
            if not news.is_later_than(source):
                return False
            self._add(source.counts_by_number, -1)
        counts = _without(news.counts_by_number, own) if own else news.counts_by_number
        self._by_name[name] = Source(news.entry_id, news.started, news.sequence, now, counts)
        self._add(counts, 1)
        self._drop_parts(group, news.parts)
        self.others_warmed(news.warmed)
        return True

    def others_warmed(self, pairs: Iterable[tuple[int, int]]) -> None:
        """Take which objects other entries made warm where."""
        for number, key in pairs:
            target = self._targets.get(number)
            if target is not None:
                target.warmth.add(key)

    def forget_all(self) -> None:
        """Drop all news, since from now on they come another way."""
        for name in list(self._by_name):
            self._drop(name)

    def expire(self, now: float) -> None:
        """Drop what entries said that have been silent for long."""
        for name, source in list(self._by_name.items()):
            if now - source.heard > STALE:
                self._drop(name)

    def target_added(self, target: Target) -> None:
        """Give a new target the load that earlier news said of it."""
        target.elsewhere = self.known(target.number)
        for key in self._remembered_by_number.pop(target.number, ()):
            self._warm(target, key)

    def known(self, number: int) -> int:
        """Return the sum of what the news say of a number."""
        return sum(source.counts_by_number.get(number, 0) for source in self._by_name.values())

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
        del self._own_warmed[:-MOST_WAITING]

    def take_own_warmed(self) -> tuple[tuple[int, int], ...]:
        """Return warmed objects for this entry's own news."""
        return take_warmed(self._own_warmed)

    def _drop_parts(self, group: str, parts: int) -> None:
        """Drop a group's sum that was told in another number of parts."""
        for name in [n for n in self._by_name if n[0] == group and n[2] != parts]:
            self._drop(name)

    def _drop(self, name: tuple[str, int, int]) -> None:
        source = self._by_name.pop(name, None)
        if source is not None:
            self._add(source.counts_by_number, -1)

    def _add(self, counts_by_number: Mapping[int, int], sign: int) -> None:
        for number, count in counts_by_number.items():
            target = self._targets.get(number)
            if target is not None:
                # A target that was replaced between two messages starts at zero.
                target.elsewhere = max(0, target.elsewhere + sign * count)
            else:
                self.on_other(number, sign * count)


def take_warmed(waiting: list[tuple[int, int]]) -> tuple[tuple[int, int], ...]:
    """Remove and return the first warmed objects of a list, as many as a message takes."""
    part = tuple(waiting[:MOST_WARMED])
    del waiting[:MOST_WARMED]
    return part


def _without(counts: Mapping[int, int], own: Mapping[int, int]) -> dict[int, int]:
    left = dict(counts)
    for number, count in own.items():
        if number in left:
            left[number] = max(0, left[number] - count)
    return left
