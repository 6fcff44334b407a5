"""When an entry tells which others what, and what it makes of their news."""

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Mapping
from typing import Protocol

from briarspur import logs
from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.fleet import Fleet
from briarspur.gateway.groups import LARGEST_GROUP, GroupView
from briarspur.gateway.lead import Lead
from briarspur.gateway.loadview import ALL_OTHERS, LoadView, MemberSeen, News, SeenEntries
from briarspur.gateway.relay import Relay, split_counts
from briarspur.gateway.replica import Kind
from briarspur.gateway.servernotice import NO_NOTICES, ReportedNotices

__all__ = ["Gossip", "GossipSender"]

PERIOD = 0.05
"""Seconds between two news of an entry to each other one. Requests take 0.1 s and more, so the load
that others see is at most half a request's time old."""
NEWS_PER_S = 200.0
"""News per second that an entry sends, or a speaker receives from its group, at most; in larger
groups they come less often. Making or reading one takes about 0.1 ms, so both stay under 5 % of a
core."""
SUM_PERIOD = 0.1
"""Seconds between two sums that a speaker sends, more in fleets where that would be too many
messages. Their way from an entry of one group to one of another has three steps, some 0.3 s."""
BOTH_PERIOD = 0.9
"""Seconds between two sums that go to the second speakers of other groups, too. Bytes between
regions are paid for, and what the second one knows must only not be stale when it takes over."""
QUIET_PERIOD = 0.3
"""Seconds between two news that say the same, so that others know that this entry lives."""
MOST_COUNTS = 90
MOST_SEEN = 45
"""Targets and entries told of in one part of a sum: 450 and 225 bytes. With the other fields a
datagram fits into one packet; of one in fragments each loss loses all."""
SENT_KEPT = 40
"""Own news that are kept until a sum has counted them; some four seconds of them."""


NOBODY = SeenEntries()


class GossipSender(Protocol):
    """Sends a message to some addresses."""

    def send(self, news: News, addresses: list[tuple[str, int]]) -> None:
        """Send it; it may be lost."""


class NoticeKeeper(Protocol):
    """Keeps what backend servers say of themselves."""

    def take_notices(self, notices: ReportedNotices, now: float) -> None:
        """Take what another entry says."""

    def notices_to_tell(self, relays: bool, now: float) -> ReportedNotices:
        """Return what the others are to be told; what others told, too, if this entry relays."""


class Gossip:
    """Keeps the load view and the fleet by news, and gives this entry's out.

    Parameters
    ----------
    counts : callable
        Returns this entry's requests in flight by target number; told as soon as they change.
    revisions : callable
        Returns the latest significant revision by kind.
    store_age : callable
        Returns the seconds since the store confirmed this entry's knowledge.
    uses : callable
        Returns what customers used at this entry; told along with the requests in flight.
    worth_telling : callable
        Returns what the members of a group need to know of the sum of all entries.
    notices : NoticeKeeper, optional
        Keeps what backend servers say of themselves.
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
        uses: Callable[[float], Counter[int]] = lambda now: Counter(),
        worth_telling: Callable[[Mapping[int, int]], Counter[int]] = Counter,
        notices: NoticeKeeper | None = None,
    ) -> None:
        self._me = me
        self._fleet = fleet
        self._loads = loads
        self._sender = sender
        self._counts = counts
        self._revisions = revisions
        self._store_age = store_age
        self._uses = uses
        self._worth_telling = worth_telling
        self._notices = notices
        self.groups = GroupView(me)
        self._lead = Lead(self.groups)
        self._relay = Relay()
        self._sequence = 0
        self._latest_by_sender: dict[str, tuple[int, int]] = {}
        self._sent: OrderedDict[int, Counter[int]] = OrderedDict()
        self._last_loads: Counter[int] = Counter()
        self._last_at = float("-inf")
        self._last_told_all_at = float("-inf")
        self._last_sum_at = float("-inf")
        self._last_told_both_at = float("-inf")
        self._led = False

    def period(self) -> float:
        """Return the seconds until :meth:`tick` is due again."""
        return max(PERIOD, len(self.groups.members) / NEWS_PER_S)

    def in_one_group(self) -> bool:
        """Return whether the recorded entries are few enough to form one group."""
        return self._fleet.size <= LARGEST_GROUP

    def members_changed(self, now: float) -> None:
        """Take the fleet's present state."""
        was_grouped, was_speaker = self.groups.is_grouped, self.groups.is_speaker
        self.groups.update(self._fleet.live(now), self._fleet.others())
        if self.groups.is_grouped != was_grouped:
            self._loads.forget_all()
        if was_speaker and not self.groups.is_speaker:
            self._relay.clear()
        self._relay.expire(now)

    # What others tell

    def received(self, news: News, now: float) -> bool:
        """Take a message; return whether it is the sender's latest of its kind."""
        if news.entry_id == self._me.entry_id:
            return False
        if self._notices is not None:
            # Each limit has an age of its own, so those of late news count as well.
            self._notices.take_notices(news.notices, now)
        if not news.group:
            taken = self._own_news_received(news, now)
        elif news.group == ALL_OTHERS:
            taken = self._total_received(news, now)
        else:
            taken = self._group_received(news, now)
        if not taken:
            return False
        self._fleet.heard(MemberSeen(news.entry_id, news.started, news.leaving, 0.0), now)
        self._fleet.heard_of(news.seen, now)
        return True

    def _own_news_received(self, news: News, now: float) -> bool:
        if not self.groups.is_grouped:
            return self._loads.received(news, now)
        # A speaker tells its members what it knows and nothing of its load, which is in the sums;
        # those must not take the place of its news to the other speaker.
        latest = (news.started, news.sequence)
        if latest <= self._latest_by_sender.get(news.entry_id, (0, 0)):
            return False
        self._latest_by_sender[news.entry_id] = latest
        if self.groups.is_speaker:
            self._relay.take_member_news(news, now)
            self._loads.others_warmed(news.warmed)
        return True

    def _group_received(self, news: News, now: float) -> bool:
        # A message for another role arrives while entries disagree about who speaks.
        if not self.groups.is_speaker or news.group == self.groups.name:
            return False
        if not self._relay.take_group_sum(news, now):
            return False
        self._loads.others_warmed(news.warmed)
        return True

    def _total_received(self, news: News, now: float) -> bool:
        if not self.groups.is_grouped:
            return False
        if self.groups.is_first and self._leads(now):
            # Two that lead would take turns in what they believe.
            return False
        self._lead.heard_another(now)
        own = self._own_in(news)
        return own is not None and self._loads.received(news, now, own)

    def _own_in(self, news: News) -> Mapping[int, int] | None:
        """Return this entry's requests that a sum counts, None if that is not known any more."""
        sequence = news.included.get(self._me.number)
        if sequence is None:
            return {}
        sent = self._sent.get(sequence)
        return None if sent is None else split_counts(sent, news.parts)[news.part]

    # What this entry tells

    def tick(self, now: float) -> None:
        """Send what is due."""
        loads = self._counts()
        counts = loads + self._uses(now)
        self._lead.started(now)
        if self.groups.is_speaker and now - self._last_told_all_at >= QUIET_PERIOD:
            self.tell(now, counts)
        elif loads != self._last_loads or now - self._last_at >= QUIET_PERIOD:
            self._tell_counts(now, counts)
        self._last_loads = loads
        leads = self._leads(now)
        if leads != self._led:
            self._led = leads
            logs.event("group-speaker", group=self.groups.name, leads="yes" if leads else "no")
        if leads:
            if now - self._last_sum_at >= self._sum_period():
                self._last_sum_at = now
                self._tell_sums(now, counts)
        else:
            self._relay.forget_warmed()

    def tell(self, now: float, counts: Counter[int] | None = None) -> None:
        """Send this entry's own news to its group at once."""
        self._tell_counts(now, self._counts() + self._uses(now) if counts is None else counts)
        if self.groups.is_speaker or (self.groups.is_grouped and self._fleet.leaving):
            self._last_told_all_at = now
            told = {record.entry_id for record in self.groups.own_speakers}
            self._send(
                self._news(now, Counter()),
                [r for r in self.groups.members if r.entry_id not in told],
            )

    def _tell_counts(self, now: float, counts: Counter[int]) -> None:
        """Tell the load to whoever adds it up: the speakers, or everybody in a small fleet."""
        self._last_at = now
        warmed = self._loads.take_own_warmed()
        if self.groups.is_speaker:
            self._relay.warmed(warmed)
        news = self._news(now, counts, warmed)
        self._sent[news.sequence] = counts
        if len(self._sent) > SENT_KEPT:
            self._sent.popitem(last=False)
        self._send(
            news, self.groups.own_speakers if self.groups.is_grouped else self.groups.members
        )

    def _leads(self, now: float) -> bool:
        return self._lead.is_mine(self._fleet.leaving, now)

    def _sum_period(self) -> float:
        receivers = len(self.groups.members) + len(self.groups.first_speakers)
        return max(SUM_PERIOD, receivers / NEWS_PER_S)

    def _tell_sums(self, now: float, counts: Counter[int]) -> None:
        """Tell the other groups about this one, and this one's members about all entries."""
        zone = self.groups.name
        group_sum = self._relay.group_sum(counts)
        inside = self._fleet.seen(now, lambda record: record.zone == zone)
        receivers = self.groups.first_speakers
        if now - self._last_told_both_at >= BOTH_PERIOD:
            self._last_told_both_at = now
            receivers = self.groups.speakers
        self._send_parts(now, group_sum, zone, self._relay.take_warmed_here, inside, receivers)
        total = self._worth_telling(self._relay.total(group_sum))
        everywhere = self._fleet.seen(now, lambda record: True)
        self._send_parts(
            now,
            total,
            ALL_OTHERS,
            self._relay.take_warmed_anywhere,
            everywhere,
            self.groups.members,
        )
        self._loads.received(self._news(now, total, group=ALL_OTHERS), now, counts)

    def _send_parts(
        self,
        now: float,
        counts: Counter[int],
        group: str,
        take_warmed: Callable[[], tuple[tuple[int, int], ...]],
        seen: SeenEntries,
        receivers: list[EntryRecord],
    ) -> None:
        parts = max(
            1, math.ceil(len(counts) / MOST_COUNTS), math.ceil(len(seen.numbers) / MOST_SEEN)
        )
        included = self._relay.included() if group == ALL_OTHERS else {}
        for part, some in enumerate(split_counts(counts, parts)):
            news = self._news(
                now, some, take_warmed(), group, part, parts, included, seen.part(part, parts)
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
        seen: SeenEntries = NOBODY,
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
            part=part,
            parts=parts,
            included=included or {},
            seen=seen,
            notices=self._notices_to_tell(now, part),
        )

    def _notices_to_tell(self, now: float, part: int) -> ReportedNotices:
        """Return what servers said; the first part of a sum has it, and speakers pass it on."""
        if self._notices is None or part > 0:
            return NO_NOTICES
        return self._notices.notices_to_tell(self.groups.is_speaker, now)

    def _send(self, news: News, entries: list[EntryRecord]) -> None:
        self._sender.send(news, [(entry.host, entry.news_port) for entry in entries])
