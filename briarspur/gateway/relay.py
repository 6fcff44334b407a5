"""The counts that an aggregator gathers from its group and from other groups, and passes on."""

from collections import Counter
from collections.abc import Iterable, Mapping

from briarspur.gateway.entryrecord import process_number
from briarspur.gateway.loadview import MAX_QUEUED_WARMED, STALE_S, News, ReportedCounts, pop_warmed

__all__ = ["Relay", "split_counts"]


class Relay:
    """The latest counts of each member of the group and of each other group.

    Both aggregators of a group keep one, but only the leader sends sums. The other aggregator can
    take over without waiting for news from every entry.
    """

    def __init__(self) -> None:
        self._by_member: dict[str, ReportedCounts] = {}
        self._by_group: dict[tuple[str, int, int], ReportedCounts] = {}
        self._group_warmed: list[tuple[int, int]] = []
        self._all_warmed: list[tuple[int, int]] = []

    def record_member_news(self, news: News, now: float) -> bool:
        """Record a member's news; return False if newer ones were received before."""
        previous = self._by_member.get(news.entry_id)
        if previous is not None and not news.is_newer_than(previous):
            return False
        self._by_member[news.entry_id] = ReportedCounts.from_news(news, now)
        self.record_warmed(news.warmed)
        return True

    def record_group_sum(self, news: News, now: float) -> bool:
        """Record another group's sum, or a part of it; return False if it is out of date."""
        key = (news.group, news.part, news.parts)
        previous = self._by_group.get(key)
        if previous is not None and not news.is_newer_than(previous):
            return False
        outdated = [k for k in self._by_group if k[0] == news.group and k[2] != news.parts]
        for other in outdated:
            del self._by_group[other]
        self._by_group[key] = ReportedCounts.from_news(news, now)
        self._all_warmed.extend(news.warmed)
        del self._all_warmed[:-MAX_QUEUED_WARMED]
        return True

    def record_warmed(self, pairs: tuple[tuple[int, int], ...]) -> None:
        """Queue objects that entries of this group made warm."""
        for queue in (self._group_warmed, self._all_warmed):
            queue.extend(pairs)
            del queue[:-MAX_QUEUED_WARMED]

    def expire(self, now: float) -> None:
        """Drop the counts of members and groups that have been silent for too long."""
        self._by_member = {
            k: s for k, s in self._by_member.items() if now - s.received_at <= STALE_S
        }
        self._by_group = {k: s for k, s in self._by_group.items() if now - s.received_at <= STALE_S}

    def clear(self) -> None:
        """Drop everything; for an entry that is no aggregator any more."""
        self._by_member.clear()
        self._by_group.clear()
        self.clear_warmed()

    def clear_warmed(self) -> None:
        """Drop the queued warmed objects; the other aggregator passes them on."""
        self._group_warmed.clear()
        self._all_warmed.clear()

    def group_sum(self, own: Mapping[int, int]) -> Counter[int]:
        """Return what the group has in flight, this entry's own requests included."""
        return _sum(own, self._by_member.values())

    def total(self, group_sum: Counter[int]) -> Counter[int]:
        """Return the sum of the group's and all other groups' requests."""
        return _sum(group_sum, self._by_group.values())

    def included(self) -> dict[int, int]:
        """Return the sequence of each member's news in the sums, by the number of its process."""
        return {
            process_number(reported.sender, reported.started): reported.sequence
            for reported in self._by_member.values()
        }

    def pop_group_warmed(self) -> tuple[tuple[int, int], ...]:
        """Remove and return queued warmed objects of this group, for the other groups."""
        return pop_warmed(self._group_warmed)

    def pop_all_warmed(self) -> tuple[tuple[int, int], ...]:
        """Remove and return queued warmed objects of all groups, for this group's members."""
        return pop_warmed(self._all_warmed)


def split_counts(counts: Mapping[int, int], parts: int) -> list[dict[int, int]]:
    """Split counts into parts, by target number modulo the number of parts."""
    if parts == 1:
        return [dict(counts)]
    split: list[dict[int, int]] = [{} for _ in range(parts)]
    for number, count in counts.items():
        split[number % parts][number] = count
    return split


def _sum(first: Mapping[int, int], reports: Iterable[ReportedCounts]) -> Counter[int]:
    total = Counter(first)
    for reported in reports:
        for number, count in reported.counts_by_number.items():
            total[number] = total.get(number, 0) + count
    return total
