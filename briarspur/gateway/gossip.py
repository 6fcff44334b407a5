"""When an entry tells which others what, and what it makes of their news."""

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Protocol

from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.fleet import Fleet
from briarspur.gateway.groups import LARGEST_GROUP, GroupView
from briarspur.gateway.loadview import ALL_OTHERS, LoadView, MemberSeen, News
from briarspur.gateway.replica import Kind

__all__ = ["Gossip", "GossipSender"]

PERIOD = 0.05
"""Seconds between two news of an entry to each other one. Requests take 0.1 s and more, so the load
that others see is at most half a request's time old."""
NEWS_PER_S = 200.0
"""News per second that an entry sends at most to the members of its group; in larger groups they
come less often. Making or reading one takes about 0.1 ms, so both stay under 5 % of a core."""
SUM_PERIOD = 0.1
"""Seconds between two sums that a speaker sends, more in fleets where that would be too many
messages. Their way from an entry of one group to one of another has three steps, some 0.2 s."""
QUIET_PERIOD = 0.3
"""Seconds between two news that say the same, so that others know that this entry lives."""


class GossipSender(Protocol):
    """Sends a message to some addresses."""

    def send(self, news: News, addresses: list[tuple[str, int]]) -> None:
        """Send it; it may be lost."""


class Gossip:
    """Keeps the load view and the fleet by news, and gives this entry's out.

    Parameters
    ----------
    counts : callable
        Returns this entry's requests in flight by target number.
    revisions : callable
        Returns the latest significant revision by kind.
    store_age : callable
        Returns the seconds since the store confirmed this entry's knowledge.
    """

    def __init__(
        self,
        me: EntryRecord,
        fleet: Fleet,
        loads: LoadView,
        sender: GossipSender,
        counts: Callable[[], Counter[int]],
        revisions: Callable[[], Mapping[Kind, int]],
        store_age: Callable[[], float],
    ) -> None:
        self._me = me
        self._fleet = fleet
        self._loads = loads
        self._sender = sender
        self._counts = counts
        self._revisions = revisions
        self._store_age = store_age
        self.groups = GroupView(me)
        self.peers: dict[str, tuple[float, News]] = {}
        self._sequence = 0
        self._last_counts: Counter[int] = Counter()
        self._last_at = float("-inf")
        self._last_sum_at = float("-inf")

    def period(self) -> float:
        """Return the seconds until :meth:`tick` is due again."""
        return max(PERIOD, len(self.groups.members) / NEWS_PER_S)

    def in_one_group(self) -> bool:
        """Return whether the recorded entries are few enough to form one group."""
        return self._fleet.size <= LARGEST_GROUP

    def members_changed(self, now: float) -> None:
        """Take the fleet's present state."""
        was_speaker = self.groups.is_speaker
        self.groups.update(self._fleet.live(now), self._fleet.others())
        if self.groups.is_speaker and not was_speaker:
            self._loads.drop(ALL_OTHERS)
        elif was_speaker and not self.groups.is_speaker:
            self._loads.drop_groups()

    def received(self, news: News, now: float) -> bool:
        """Take a message; return whether it is the sender's latest."""
        if news.entry_id == self._me.entry_id:
            return False
        # Speakers count single groups, the others one sum over all of them; a message meant for the
        # other role arrives while entries disagree about who speaks and would be counted twice.
        wrong_role = (news.group == ALL_OTHERS) == self.groups.is_speaker
        if news.group and (wrong_role or news.group == self.groups.name):
            return False
        if not self._loads.received(news, now):
            return False
        self._fleet.heard(MemberSeen(news.entry_id, news.started, news.leaving, 0.0), now)
        for seen in news.members:
            if seen.entry_id != self._me.entry_id:
                self._fleet.heard(seen, now)
        self.peers[news.entry_id] = (now, news)
        return True

    def tick(self, now: float) -> None:
        """Send what is due."""
        counts = self._counts()
        if counts != self._last_counts or now - self._last_at >= QUIET_PERIOD:
            self.tell(now, counts)
        if not self.groups.is_speaker:
            self._loads.forget_relayed()
        elif now - self._last_sum_at >= self._sum_period():
            self._last_sum_at = now
            self._tell_sums(now, counts)

    def tell(self, now: float, counts: Counter[int] | None = None) -> None:
        """Send this entry's own news to its group at once."""
        self._last_counts = self._counts() if counts is None else counts
        self._last_at = now
        warmed = self._loads.take_own_warmed()
        self._send(self._news(self._last_counts, warmed), self.groups.members)

    def forget_silent(self, now: float, longest: float) -> None:
        """Drop the news of entries that were not heard for long."""
        self.peers = {k: v for k, v in self.peers.items() if now - v[0] <= longest}

    def _sum_period(self) -> float:
        receivers = len(self.groups.members) + len(self.groups.speakers)
        return max(SUM_PERIOD, receivers / NEWS_PER_S)

    def _tell_sums(self, now: float, counts: Counter[int]) -> None:
        """Tell the other groups about this one, and this one's members about the others."""
        zone = self.groups.name
        inside = self._fleet.seen(now, lambda record: record.zone == zone)
        total = counts + self._loads.sum_of(record.entry_id for record in self.groups.members)
        self._send(
            self._news(total, self._loads.take_group_warmed(), zone, inside), self.groups.speakers
        )
        outside = self._fleet.seen(now, lambda record: record.zone != zone)
        self._send(
            self._news(
                self._loads.sum_of_groups(), self._loads.take_other_warmed(), ALL_OTHERS, outside
            ),
            self.groups.members,
        )

    def _news(
        self,
        counts: Counter[int],
        warmed: tuple[tuple[int, int], ...],
        group: str = "",
        members: tuple[MemberSeen, ...] = (),
    ) -> News:
        self._sequence += 1
        return News(
            entry_id=self._me.entry_id,
            started=self._me.started,
            sequence=self._sequence,
            leaving=self._fleet.leaving,
            counts_by_number=counts,
            warmed=warmed,
            revisions=self._revisions(),
            store_age=self._store_age(),
            group=group,
            members=members,
        )

    def _send(self, news: News, entries: list[EntryRecord]) -> None:
        self._sender.send(news, [(entry.host, entry.news_port) for entry in entries])
