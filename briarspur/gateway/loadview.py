"""The load of backend servers over all entries, kept by news that entries send one another."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from briarspur.gateway.replica import Kind
from briarspur.gateway.target import Target

__all__ = ["LoadView", "News"]

STALE = 1.5
"""Seconds after which an entry's last news no longer counts: it has ended, or can't reach us, and
what it had in flight then has mostly ended."""
MOST_WARMED = 60
"""Warmed objects in one message; the next one takes the rest. 60 of them take 480 bytes."""


@dataclass(frozen=True, slots=True)
class News:
    """What one entry has in flight, by target number, and which objects it made warm where.

    Attributes
    ----------
    started : int
        Unix time of the sender's start in milliseconds.
    sequence : int
        Rises with each message of one process.
    revisions : mapping
        Up to which revision the sender knows each kind of object.
    """

    entry_id: str
    started: int
    sequence: int
    leaving: bool
    counts_by_number: Mapping[int, int]
    warmed: tuple[tuple[int, int], ...] = ()
    revisions: Mapping[Kind, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Sender:
    started: int
    sequence: int
    heard: float
    counts_by_number: Mapping[int, int]


class LoadView:
    """Sums the news of the other entries into each target's ``elsewhere``."""

    def __init__(self, targets_by_number: Mapping[int, Target]) -> None:
        self._targets = targets_by_number
        self._by_entry: dict[str, _Sender] = {}
        self._warmed: list[tuple[int, int]] = []

    def received(self, news: News, now: float) -> bool:
        """Take one message; return False if a later one has come before."""
        sender = self._by_entry.get(news.entry_id)
        if sender is not None:
            if (news.started, news.sequence) <= (sender.started, sender.sequence):
                return False
            self._add(sender.counts_by_number, -1)
        self._by_entry[news.entry_id] = _Sender(
            news.started, news.sequence, now, news.counts_by_number
        )
        self._add(news.counts_by_number, 1)
        for number, key in news.warmed:
            target = self._targets.get(number)
            if target is not None:
                target.warmth.add(key)
        return True

    def expire(self, now: float) -> None:
        """Drop what entries said that have been silent for long."""
        for entry_id, sender in list(self._by_entry.items()):
            if now - sender.heard > STALE:
                self._add(sender.counts_by_number, -1)
                del self._by_entry[entry_id]

    def target_added(self, target: Target) -> None:
        """Give a new target the load that earlier news said of it."""
        target.elsewhere = sum(
            sender.counts_by_number.get(target.number, 0) for sender in self._by_entry.values()
        )

    def warmed(self, number: int, key: int) -> None:
        """Note for the next news that a target has run a request for an object."""
        self._warmed.append((number, key))

    def take_warmed(self) -> tuple[tuple[int, int], ...]:
        """Return what the next news tell of warmed objects."""
        part, self._warmed = self._warmed[:MOST_WARMED], self._warmed[MOST_WARMED:]
        return tuple(part)

    def _add(self, counts_by_number: Mapping[int, int], sign: int) -> None:
        for number, count in counts_by_number.items():
            target = self._targets.get(number)
            if target is not None:
                # A target that was replaced between two messages starts at zero.
                target.elsewhere = max(0, target.elsewhere + sign * count)
