"""The load of backend servers from all entries, summed from the news that entries exchange."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from briarspur.gateway.replica import Kind
from briarspur.gateway.servernotice import NO_NOTICES, ReportedNotices
from briarspur.gateway.target import Target

__all__ = [
    "ALL_OTHERS",
    "STALE_S",
    "LoadView",
    "News",
    "ReportedCounts",
    "SeenEntries",
    "SeenEntry",
    "pop_warmed",
]

STALE_S = 1.5
"""Time after which an entry's last news no longer counts: the entry has ended or is unreachable,
and most of the requests that it had in flight have ended."""
MAX_WARMED_PER_MESSAGE = 30
"""Warmed objects in one message, 240 bytes; the others follow in the next ones."""
MAX_QUEUED_WARMED = 2_000
"""Warmed objects queued for messages; the oldest are dropped, which costs a cold run each."""
ALL_OTHERS = "*"
"""The group name of a sum over all entries, which an aggregator sends to its own group."""


@dataclass(frozen=True, slots=True)
class SeenEntry:
    """An entry that was seen alive ``age`` seconds ago."""

    entry_id: str
    started: int
    leaving: bool
    age: float
    cut_off: bool = False


@dataclass(frozen=True, slots=True)
class SeenEntries:
    """Entries that were seen alive recently, by the numbers of their processes.

    Attributes
    ----------
    ages : tuple of float
        Seconds since each of them was seen.
    leaving : frozenset of int
        The entries among them that are leaving.
    cut_off : frozenset of int
        The entries among them that reach no backend server.
    """

    numbers: tuple[int, ...] = ()
    ages: tuple[float, ...] = ()
    leaving: frozenset[int] = frozenset()
    cut_off: frozenset[int] = frozenset()

    def part(self, part: int, parts: int) -> "SeenEntries":
        """Return one of several parts of about equal size."""
        return SeenEntries(
            self.numbers[part::parts], self.ages[part::parts], self.leaving, self.cut_off
        )


@dataclass(frozen=True, slots=True)
class News:
    """A load news message: requests in flight by target number, and which objects are warm where.

    Attributes
    ----------
    started : int
        Unix time of the sender's start in milliseconds.
    sequence : int
        Increases with each message of a process.
    group : str
        Empty for the load of the sender itself; otherwise the group whose sum this is.
    part, parts : int
        A large sum is split over several messages: this one has the targets whose number modulo
        ``parts`` is ``part``.
    included : mapping
        The sequence of the news that a sum includes for an entry, by the number of its process.
    revisions : mapping
        The latest significant revision of each kind of object that the sender has.
    store_age : float
        Seconds since the store confirmed them.
    store_era : int
        The latest era of the store that the sender knows of.
    seen : SeenEntries
        Entries that were seen alive recently.
    notices : ReportedNotices
        Limits and departures that backend servers advertised.
    cut_off : bool
        Whether the sender reaches no backend server.
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
    store_era: int = 0
    cut_off: bool = False

    def delayed(self, seconds: float) -> "News":
        """Return the news with all ages increased by a transit delay."""
        return replace(
            self,
            store_age=self.store_age + seconds,
            notices=self.notices.delayed(seconds),
        )

    def is_newer_than(self, reported: "ReportedCounts") -> bool:
        """Return whether this replaces earlier counts; a message of another sender always does."""
        return reported.sender != self.entry_id or (self.started, self.sequence) > (
            reported.started,
            reported.sequence,
        )


@dataclass(slots=True)
class ReportedCounts:
    """Counts of one sender, valid until newer ones are received or they become stale."""

    sender: str
    started: int
    sequence: int
    received_at: float
    counts_by_number: Mapping[int, int]

    @classmethod
    def from_news(cls, news: News, now: float) -> "ReportedCounts":
        """Return the counts in a message."""
        return cls(news.entry_id, news.started, news.sequence, now, news.counts_by_number)


class LoadView:
    """Sums the news of the other entries into each target's ``elsewhere``.

    A message of an entry replaces its earlier ones, and the sum of a group replaces the earlier sum
    of that group, no matter who sends it. So nothing counts twice when the leader changes.

    Attributes
    ----------
    on_unknown_number : callable
        Called with each change of a count whose number is not that of a target.
    """

    def __init__(self, targets_by_number: Mapping[int, Target]) -> None:
        self._targets = targets_by_number
        self.on_unknown_number: Callable[[int, int], None] = lambda number, change: None
        self._counts_by_source: dict[tuple[str, int, int], ReportedCounts] = {}
        self._own_warmed: list[tuple[int, int]] = []
        self._restored_by_number: dict[int, list[int]] = {}

    def received(self, news: News, now: float, own: Mapping[int, int] | None = None) -> bool:
        """Record one message; return False if a newer one was received before.

        Parameters
        ----------
        own : mapping, optional
            The requests of this entry that the message includes.
        """
        group = f"group {news.group}" if news.group else news.entry_id
        key = (group, news.part, news.parts)
        previous = self._counts_by_source.get(key)
        if previous is not None and not news.is_newer_than(previous):
            return False
        counts = _subtract(news.counts_by_number, own) if own else news.counts_by_number
        self._counts_by_source[key] = ReportedCounts(
            news.entry_id, news.started, news.sequence, now, counts
        )
        self._replace_counts({} if previous is None else previous.counts_by_number, counts)
        self._drop_parts(group, news.parts)
        self.record_warmed_elsewhere(news.warmed)
        return True

    def record_warmed_elsewhere(self, pairs: Iterable[tuple[int, int]]) -> None:
        """Record which objects other entries made warm on which targets."""
        for number, key in pairs:
            target = self._targets.get(number)
            if target is not None:
                target.warmth.add(key)

    def clear(self) -> None:
        """Drop all news, since it will come from other sources from now on."""
        for key in list(self._counts_by_source):
            self._drop(key)

    def expire(self, now: float) -> None:
        """Drop the counts of entries that have been silent for too long."""
        for key, reported in list(self._counts_by_source.items()):
            if now - reported.received_at > STALE_S:
                self._drop(key)

    def target_added(self, target: Target) -> None:
        """Set the load and the warm objects of a new target from earlier news."""
        target.elsewhere = self.reported_count(target.number)
        for key in self._restored_by_number.pop(target.number, ()):
            self._mark_warm(target, key)

    def reported_count(self, number: int) -> int:
        """Return the sum of the counts that other entries reported for a number."""
        return sum(
            reported.counts_by_number.get(number, 0) for reported in self._counts_by_source.values()
        )

    def restore_warmed(self, pairs: Iterable[tuple[int, int]]) -> None:
        """Record what was warm before this entry started, also for targets not yet registered."""
        for number, key in pairs:
            target = self._targets.get(number)
            if target is not None:
                self._mark_warm(target, key)
            else:
                self._restored_by_number.setdefault(number, []).append(key)

    def _mark_warm(self, target: Target, key: int) -> None:
        # A target that reports itself cold has lost its warm objects, even if it is the same
        # process.
        if not target.registration.cold_s:
            target.warmth.add(key)

    def record_own_warmed(self, number: int, key: int) -> None:
        """Queue for the next news that a target has run a request for an object."""
        self._own_warmed.append((number, key))
        del self._own_warmed[:-MAX_QUEUED_WARMED]

    def pop_own_warmed(self) -> tuple[tuple[int, int], ...]:
        """Remove and return queued warmed objects for this entry's next news."""
        return pop_warmed(self._own_warmed)

    def _drop_parts(self, group: str, parts: int) -> None:
        """Drop the parts of a group's sum that was split into another number of parts."""
        for key in [k for k in self._counts_by_source if k[0] == group and k[2] != parts]:
            self._drop(key)

    def _drop(self, key: tuple[str, int, int]) -> None:
        reported = self._counts_by_source.pop(key, None)
        if reported is not None:
            self._replace_counts(reported.counts_by_number, {})

    def _replace_counts(self, old: Mapping[int, int], new: Mapping[int, int]) -> None:
        """Replace the counts of one source; most of them are equal in successive messages."""
        for number, count in new.items():
            before = old.get(number, 0)
            if count != before:
                self._add(number, count - before)
        for number, count in old.items():
            if number not in new:
                self._add(number, -count)

    def _add(self, number: int, change: int) -> None:
        target = self._targets.get(number)
        if target is not None:
            # A target that was replaced between two messages starts at zero.
            target.elsewhere = max(0, target.elsewhere + change)
        else:
            self.on_unknown_number(number, change)


def pop_warmed(queue: list[tuple[int, int]]) -> tuple[tuple[int, int], ...]:
    """Remove and return the first warmed objects of a queue, as many as fit into a message."""
    part = tuple(queue[:MAX_WARMED_PER_MESSAGE])
    del queue[:MAX_WARMED_PER_MESSAGE]
    return part


def _subtract(counts: Mapping[int, int], own: Mapping[int, int]) -> dict[int, int]:
    remaining = dict(counts)
    for number, count in own.items():
        if number in remaining:
            remaining[number] = max(0, remaining[number] - count)
    return remaining
