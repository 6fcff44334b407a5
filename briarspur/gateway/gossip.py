"""Exchange of load news: which entries receive this entry's news, and how others' are handled."""

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Mapping
from typing import Protocol

from briarspur import logs
from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.fleet import Fleet
from briarspur.gateway.groups import MAX_GROUP_SIZE, GroupView
from briarspur.gateway.leader import LeaderRole
from briarspur.gateway.loadview import ALL_OTHERS, LoadView, News, SeenEntries, SeenEntry
from briarspur.gateway.relay import Relay, split_counts
from briarspur.gateway.replica import Kind
from briarspur.gateway.servernotice import NO_NOTICES, ReportedNotices

__all__ = ["Gossip", "GossipSender"]

NEWS_PERIOD_S = 0.05
"""Time between two news messages to the same entry. Requests take 0.1 s and more, so the load that
others see is at most half a request's duration old."""
MAX_NEWS_PER_S = 200.0
"""Maximum news messages per second that an entry sends, or that an aggregator receives from its
group; larger groups send less often. Encoding or decoding one takes about 0.1 ms, so both stay
below 5 % of a core."""
SUM_PERIOD_S = 0.1
"""Time between two sums of an aggregator; longer in fleets where this would exceed
``MAX_NEWS_PER_S``. The load of an entry reaches the entries of another group in three hops, in
about 0.3 s."""
BACKUP_SUM_PERIOD_S = 0.9
"""Time between two sums that also go to the second aggregators of other groups. Traffic between
regions costs money, and the second aggregator's data need only be recent enough for a takeover."""
KEEPALIVE_PERIOD_S = 0.3
"""Time after which an unchanged message is sent again to show that this entry is alive."""
MAX_COUNTS_PER_PART = 90
MAX_SEEN_PER_PART = 45
"""Maximum targets and entries in one part of a sum: 450 and 225 bytes. With the other fields a
datagram fits into one packet; a fragmented datagram is lost if any of its fragments is."""
MAX_SENT_KEPT = 40
"""Maximum news messages of this entry kept until a sum includes them: about four seconds."""

NO_ENTRIES = SeenEntries()


class GossipSender(Protocol):
    """Sends a message to some addresses."""

    def send(self, news: News, addresses: list[tuple[str, int]]) -> None:
        """Send the message; it may be lost."""


class NoticeKeeper(Protocol):
    """Keeps the limits and departures that backend servers advertise."""

    def record_notices(self, notices: ReportedNotices, now: float) -> None:
        """Record the notices that another entry reported."""

    def notices_to_report(self, relays: bool, now: float) -> ReportedNotices:
        """Return the notices to report; with those of other entries if this entry relays."""


class Gossip:
    """Updates the load view and the fleet from received news, and sends this entry's news.

    Parameters
    ----------
    counts : callable
        Returns this entry's requests in flight by target number; sent as soon as they change.
    revisions : callable
        Returns the latest significant revision by kind.
    store_age : callable
        Returns the seconds since the store last confirmed this entry's data.
    usage_counts : callable
        Returns the quota that customers used at this entry; sent along with the requests in flight.
    select_counts : callable
        Returns the part of the sum of all entries that the members of a group need.
    notices : NoticeKeeper, optional
        Keeps the limits and departures that backend servers advertise.
    store_era : callable
        Returns the latest era of the store that this entry knows of.
    """

    def __init__(
        self,
        own_record: EntryRecord,
        fleet: Fleet,
        loads: LoadView,
        sender: GossipSender,
        counts: Callable[[], Counter[int]],
        revisions: Callable[[], Mapping[Kind, int]],
        store_age: Callable[[], float],
        usage_counts: Callable[[float], Counter[int]] = lambda now: Counter(),
        select_counts: Callable[[Mapping[int, int]], Counter[int]] = Counter,
        notices: NoticeKeeper | None = None,
        store_era: Callable[[], int] = lambda: 0,
    ) -> None:
        self._own_record = own_record
        self._fleet = fleet
        self._loads = loads
        self._sender = sender
        self._counts = counts
        self._revisions = revisions
        self._store_age = store_age
        self._usage_counts = usage_counts
        self._select_counts = select_counts
        self._notices = notices
        self._store_era = store_era
        self.groups = GroupView(own_record)
        self._leader_role = LeaderRole(self.groups)
        self._relay = Relay()
        self._sequence = 0
        self._latest_by_sender: dict[str, tuple[int, int]] = {}
        self._sent: OrderedDict[int, Counter[int]] = OrderedDict()
        self._last_loads: Counter[int] = Counter()
        self._last_counts_at = float("-inf")
        self._last_sent_to_all_at = float("-inf")
        self._last_sum_at = float("-inf")
        self._last_backup_sum_at = float("-inf")
        self._was_leader = False

    def period(self) -> float:
        """Return the seconds until :meth:`tick` is due again."""
        return max(NEWS_PERIOD_S, len(self.groups.members) / MAX_NEWS_PER_S)

    def in_one_group(self) -> bool:
        """Return whether the recorded entries are few enough to form one group."""
        return self._fleet.size <= MAX_GROUP_SIZE

    def members_changed(self, now: float) -> None:
        """Update the groups from the current state of the fleet."""
        was_grouped, was_aggregator = self.groups.is_grouped, self.groups.is_aggregator
        self.groups.update(self._fleet.live(now), self._fleet.others())
        if self.groups.is_grouped != was_grouped:
            self._loads.clear()
        if was_aggregator and not self.groups.is_aggregator:
            self._relay.clear()
        self._relay.expire(now)

    # Received news

    def received(self, news: News, now: float) -> bool:
        """Handle a message; return whether it is the latest of its kind from the sender."""
        if news.entry_id == self._own_record.entry_id:
            return False
        if self._notices is not None:
            # Each limit carries its own age, so those in a reordered message are valid, too.
            self._notices.record_notices(news.notices, now)
        if not news.group:
            accepted = self._entry_news_received(news, now)
        elif news.group == ALL_OTHERS:
            accepted = self._total_received(news, now)
        else:
            accepted = self._group_sum_received(news, now)
        if not accepted:
            return False
        sender = SeenEntry(news.entry_id, news.started, news.leaving, 0.0, news.cut_off)
        self._fleet.record_seen(sender, now)
        self._fleet.record_all_seen(news.seen, now)
        return True

    def _entry_news_received(self, news: News, now: float) -> bool:
        if not self.groups.is_grouped:
            return self._loads.received(news, now)
        # News that an aggregator sends to its members omit its load, which is in the sums. They
        # must not replace its news to the other aggregator, which include the load.
        latest = (news.started, news.sequence)
        if latest <= self._latest_by_sender.get(news.entry_id, (0, 0)):
            return False
        self._latest_by_sender[news.entry_id] = latest
        if self.groups.is_aggregator:
            self._relay.record_member_news(news, now)
            self._loads.record_warmed_elsewhere(news.warmed)
        return True

    def _group_sum_received(self, news: News, now: float) -> bool:
        # Messages for another role arrive while entries disagree about who the aggregators are.
        if not self.groups.is_aggregator or news.group == self.groups.name:
            return False
        if not self._relay.record_group_sum(news, now):
            return False
        self._loads.record_warmed_elsewhere(news.warmed)
        return True

    def _total_received(self, news: News, now: float) -> bool:
        if not self.groups.is_grouped:
            return False
        if self.groups.is_first and self._is_leader(now):
            # Two leaders that accept each other's sums would alternate between the two views.
            return False
        self._leader_role.record_other_leader(now)
        own = self._own_counts_in(news)
        return own is not None and self._loads.received(news, now, own)

    def _own_counts_in(self, news: News) -> Mapping[int, int] | None:
        """Return the requests of this entry that a sum includes; None if they aren't kept."""
        sequence = news.included.get(self._own_record.number)
        if sequence is None:
            return {}
        sent = self._sent.get(sequence)
        return None if sent is None else split_counts(sent, news.parts)[news.part]

    # Sent news

    def tick(self, now: float) -> None:
        """Send the messages that are due."""
        loads = self._counts()
        counts = loads + self._usage_counts(now)
        self._leader_role.record_start(now)
        if self.groups.is_aggregator and now - self._last_sent_to_all_at >= KEEPALIVE_PERIOD_S:
            self.advertise(now, counts)
        elif loads != self._last_loads or now - self._last_counts_at >= KEEPALIVE_PERIOD_S:
            self._advertise_counts(now, counts)
        self._last_loads = loads
        is_leader = self._is_leader(now)
        if is_leader != self._was_leader:
            self._was_leader = is_leader
            logs.event("group-speaker", group=self.groups.name, leads="yes" if is_leader else "no")
        if is_leader:
            if now - self._last_sum_at >= self._sum_period():
                self._last_sum_at = now
                self._advertise_sums(now, counts)
        else:
            self._relay.clear_warmed()

    def advertise(self, now: float, counts: Counter[int] | None = None) -> None:
        """Send this entry's news to its group immediately."""
        self._advertise_counts(
            now, self._counts() + self._usage_counts(now) if counts is None else counts
        )
        if self.groups.is_aggregator or (self.groups.is_grouped and self._fleet.leaving):
            self._last_sent_to_all_at = now
            already_sent = {record.entry_id for record in self.groups.own_aggregators}
            self._send(
                self._news(now, Counter()),
                [r for r in self.groups.members if r.entry_id not in already_sent],
            )

    def _advertise_counts(self, now: float, counts: Counter[int]) -> None:
        """Send the load to the group's aggregators, or to every entry of a small fleet."""
        self._last_counts_at = now
        warmed = self._loads.pop_own_warmed()
        if self.groups.is_aggregator:
            self._relay.record_warmed(warmed)
        news = self._news(now, counts, warmed)
        self._sent[news.sequence] = counts
        if len(self._sent) > MAX_SENT_KEPT:
            self._sent.popitem(last=False)
        self._send(
            news, self.groups.own_aggregators if self.groups.is_grouped else self.groups.members
        )

    def leads_fleet(self, now: float) -> bool:
        """Return whether this entry is the first of those that receive the counts of all."""
        if not self.groups.is_grouped:
            return self.groups.is_first and not self._fleet.leaving
        zones = (record.zone for record in self._fleet.live(now))
        return self._was_leader and all(self.groups.name <= zone for zone in zones)

    def _is_leader(self, now: float) -> bool:
        return self._leader_role.is_leader(self._fleet.leaving, now)

    def _sum_period(self) -> float:
        receivers = len(self.groups.members) + len(self.groups.first_aggregators)
        return max(SUM_PERIOD_S, receivers / MAX_NEWS_PER_S)

    def _advertise_sums(self, now: float, counts: Counter[int]) -> None:
        """Send this group's sum to the other groups, and the sum of all entries to its members."""
        zone = self.groups.name
        group_sum = self._relay.group_sum(counts)
        seen_in_zone = self._fleet.seen_entries(now, lambda record: record.zone == zone)
        receivers = self.groups.first_aggregators
        if now - self._last_backup_sum_at >= BACKUP_SUM_PERIOD_S:
            self._last_backup_sum_at = now
            receivers = self.groups.aggregators
        self._send_parts(
            now, group_sum, zone, self._relay.pop_group_warmed, seen_in_zone, receivers
        )
        total = self._select_counts(self._relay.total(group_sum))
        all_seen = self._fleet.seen_entries(now, lambda record: True)
        self._send_parts(
            now,
            total,
            ALL_OTHERS,
            self._relay.pop_all_warmed,
            all_seen,
            self.groups.members,
        )
        self._loads.received(self._news(now, total, group=ALL_OTHERS), now, counts)

    def _send_parts(
        self,
        now: float,
        counts: Counter[int],
        group: str,
        pop_warmed: Callable[[], tuple[tuple[int, int], ...]],
        seen: SeenEntries,
        receivers: list[EntryRecord],
    ) -> None:
        parts = max(
            1,
            math.ceil(len(counts) / MAX_COUNTS_PER_PART),
            math.ceil(len(seen.numbers) / MAX_SEEN_PER_PART),
        )
        included = self._relay.included() if group == ALL_OTHERS else {}
        for part, part_counts in enumerate(split_counts(counts, parts)):
            news = self._news(
                now, part_counts, pop_warmed(), group, part, parts, included, seen.part(part, parts)
            )
            self._send(news, receivers)

    def _news(
        self,
        now: float,
        counts: Mapping[int, int],
        warmed: tuple[tuple[int, int], ...] = (),
        group: str = "",
        part: int = 0,
        parts: int = 1,
        included: Mapping[int, int] | None = None,
        seen: SeenEntries = NO_ENTRIES,
    ) -> News:
        self._sequence += 1
        return News(
            entry_id=self._own_record.entry_id,
            started=self._own_record.started,
            sequence=self._sequence,
            leaving=self._fleet.leaving,
            counts_by_number=counts,
            warmed=warmed,
            revisions=self._revisions(),
            store_age=self._store_age(),
            group=group,
            part=part,
            parts=parts,
            included=included or {},
            seen=seen,
            notices=self._notices_to_report(now, part),
            store_era=self._store_era(),
            cut_off=self._fleet.cut_off,
        )

    def _notices_to_report(self, now: float, part: int) -> ReportedNotices:
        """Return the servers' notices; only the first part of a sum has them."""
        if self._notices is None or part > 0:
            return NO_NOTICES
        # Only aggregators pass on the notices that other entries reported.
        return self._notices.notices_to_report(self.groups.is_aggregator, now)

    def _send(self, news: News, entries: list[EntryRecord]) -> None:
        self._sender.send(news, [(entry.host, entry.news_port) for entry in entries])
