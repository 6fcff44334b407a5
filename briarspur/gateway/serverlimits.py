"""Enforces the limits that backend servers advertise in their responses, over all entries together.

This covers the case where many entries send an overloaded server more requests than it accepts,
while each entry receives a response from it only every few seconds. Entries report to each other
the limits that they received and how many requests they sent, and admit requests by the total, as
they do for customers.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from operator import attrgetter
from zlib import crc32

from briarspur import logs
from briarspur.gateway.quota import HORIZON_S, Allowance, Quota, SharedUsage
from briarspur.gateway.ratehistory import RateHistory
from briarspur.gateway.servernotice import FROM_ANSWER, FROM_ENTRY, NO_LIMIT, ReportedLimit
from briarspur.gateway.target import Target

__all__ = ["ServerLimits"]

WINDOW_S = 4.0
"""Time over which the requests sent to a server are counted."""
MIN_PER_S = 0.25
"""Requests per second that a server gets even if it advertises less: only a response can end its
limit, and without requests there are none."""
REPORT_FOR_S = 1.0
"""Time for which an entry reports a response to the others; it sends several messages in it."""
RELAY_FOR_S = 2.0
"""Time for which an aggregator passes on what other entries reported to it."""
REPORT_AGE_MARGIN_S = 0.1
"""Time by which a report must be newer than the limit already known. Reports seem newer than they
are by the transit time of the news."""
MAX_HOPS = 2
"""Maximum number of entries that pass on a limit: a member's aggregator and that of another
group. Each hop makes a limit seem newer by the transit time of the news; without a bound, entries
would pass it around forever."""
LIFTED_KEPT_S = 5.0
"""Time for which the end of a limit is remembered and reported. An entry that sends nothing to the
server receives no responses that would show it."""
MAX_REPORTED = 40
"""Limits in one message, about 360 bytes; the newest are sent first."""
HASH_RANGE = 1 << 32


@dataclass(slots=True)
class _Limit:
    """The limit of one incarnation of a server, and how many requests it got.

    Attributes
    ----------
    per_s : float
        Requests per second; :data:`NO_LIMIT` once it was lifted.
    advertised_at : float
        When the latest response that advertised the limit arrived, in seconds on this entry's
        clock.
    since : float
        When the server began to advertise limits, or stopped doing so, on that clock.
    hops : int
        Number of entries that passed it on; 0 if the response arrived at this entry.
    sent_number, offered_number : int
        Numbers under which entries exchange the counts of requests that were sent, and that would
        have been sent without the limit.
    """

    target: Target
    per_s: float
    advertised_at: float
    since: float
    hops: int
    sent_number: int
    offered_number: int
    usage: SharedUsage = field(default_factory=lambda: SharedUsage(share=0.0))
    history: RateHistory = field(default_factory=lambda: RateHistory(WINDOW_S))


class ServerLimits:
    """Tracks the limit of each incarnation of a backend server, and decides whether it has room.

    Parameters
    ----------
    targets_by_number : mapping
        The known servers.
    known : callable
        Returns the count that the other entries last reported for a number.

    Attributes
    ----------
    live, recorded : int
        Number of entries whose news are received, including this one, and of those recorded in the
        store. The part of a limit that entries without received news may use is reserved for them.
    """

    def __init__(
        self,
        targets_by_number: Mapping[int, Target],
        known: Callable[[int], int] = lambda number: 0,
    ) -> None:
        self._targets = targets_by_number
        self._known = known
        self._by_number: dict[int, _Limit] = {}
        self._by_counter: dict[int, _Limit] = {}
        self.live = 1
        self.recorded = 1

    # Known limits

    def answered(self, target: Target, per_s: float, now: float) -> None:
        """Record the limit of a response that this entry received; :data:`NO_LIMIT` for none."""
        self._record(target, ReportedLimit(target.number, per_s, 0.0, 0.0), 0, now)

    def reported(self, reports: Iterable[ReportedLimit], now: float) -> None:
        """Record the limits that another entry reported, unless newer ones are known."""
        for item in reports:
            target = self._targets.get(item.number)
            if target is None:
                continue
            limit = self._by_number.get(item.number)
            if limit is None or now - item.age > limit.advertised_at + REPORT_AGE_MARGIN_S:
                self._record(target, item, item.hops + 1, now)
            elif (
                item.per_s == limit.per_s
                and now - item.age > limit.advertised_at - REPORT_AGE_MARGIN_S
            ):
                # The same limit came by a shorter path; with fewer hops, it may still be relayed.
                limit.hops = min(limit.hops, item.hops + 1)

    def to_report(self, relays: bool, now: float) -> tuple[ReportedLimit, ...]:
        """Return the limits to report to other entries.

        Parameters
        ----------
        relays : bool
            Include limits that other entries reported.
        """
        oldest = now - (RELAY_FOR_S if relays else REPORT_FOR_S)
        fresh = [
            limit
            for limit in self._by_number.values()
            if limit.hops <= (MAX_HOPS if relays else 0)
            and (limit.advertised_at >= oldest or limit.per_s == NO_LIMIT)
        ]
        if len(fresh) > MAX_REPORTED:
            fresh = sorted(fresh, key=attrgetter("advertised_at"), reverse=True)[:MAX_REPORTED]
        return tuple(
            ReportedLimit(
                number=limit.target.number,
                per_s=limit.per_s,
                age=now - limit.advertised_at,
                held=now - limit.since,
                hops=limit.hops,
            )
            for limit in fresh
        )

    def count_limited(self, targets: Iterable[Target]) -> int:
        """Return how many servers have a limit."""
        return sum(self.is_limited(target) for target in targets)

    def is_limited(self, target: Target) -> bool:
        """Return whether a server has a limit."""
        limit = self._by_number.get(target.number)
        return limit is not None and limit.per_s < NO_LIMIT

    def forget(self, now: float) -> None:
        """Drop the limits of servers that are gone, and limits that ended some time ago."""
        for number, limit in list(self._by_number.items()):
            lifted = limit.per_s == NO_LIMIT and now - limit.since > LIFTED_KEPT_S
            if lifted or self._targets.get(number) is not limit.target:
                del self._by_number[number]
                del self._by_counter[limit.sent_number]
                del self._by_counter[limit.offered_number]

    # Requests

    def has_room(self, target: Target, request_id: str, now: float) -> bool:
        """Return whether a server may get a request for which it was chosen."""
        limit = self._by_number.get(target.number)
        if limit is None or limit.per_s == NO_LIMIT:
            return True
        # A separate draw for each server: with the same draw for all of them, a request that finds
        # no room at one limited server would find none at any.
        draw = crc32(f"{request_id}/{target.number}".encode()) / HASH_RANGE
        return limit.usage.has_room(self._allowance(limit, now), draw, now)

    def sent(self, target: Target, now: float) -> None:
        """Count a request sent to a server."""
        limit = self._by_number.get(target.number)
        if limit is not None:
            limit.usage.record_admitted(now)

    def not_sent(self, target: Target, counted_at: float) -> None:
        """Uncount a request that was counted at a time, but not sent after all."""
        limit = self._by_number.get(target.number)
        if limit is not None:
            limit.usage.refund(counted_at)

    # Counts of all entries

    def counts(self, now: float) -> Counter[int]:
        """Return how many requests this entry sent, or would have sent, to limited servers."""
        counts: Counter[int] = Counter()
        for limit in self._by_number.values():
            sent, offered = limit.usage.admitted(now, WINDOW_S), limit.usage.offered(now)
            if sent:
                counts[limit.sent_number] = sent
            if offered:
                counts[limit.offered_number] = offered
        return counts

    def received(self, number: int, change: int) -> None:
        """Apply a change of how many requests the other entries sent, or would have sent."""
        limit = self._by_counter.get(number)
        if limit is not None:
            limit.usage.received(change, is_offered=number == limit.offered_number)

    # Helpers

    def _allowance(self, limit: _Limit, now: float) -> Allowance:
        """Return what the limit allowed over the window and allows within the horizon.

        With the current limit alone, a decrease would stop all requests for seconds, and an
        increase would admit those of a whole window in one burst.
        """
        live_share = self.live / max(self.live, self.recorded)
        quota = Quota(limit.history.mean(now), limit.per_s * HORIZON_S, WINDOW_S)
        return Allowance(quota.scaled(live_share))

    def _record(self, target: Target, report: ReportedLimit, hops: int, now: float) -> None:
        per_s, advertised_at, since = (
            max(MIN_PER_S, report.per_s),
            now - report.age,
            now - report.held,
        )
        limit = self._by_number.get(target.number)
        if limit is None:
            if per_s == NO_LIMIT:
                return
            limit = self._new(target, advertised_at, now)
        limit.advertised_at, limit.hops = advertised_at, hops
        if per_s == limit.per_s:
            return
        if per_s == NO_LIMIT:
            limit.since = since
        elif limit.per_s == NO_LIMIT:
            limit.since = since
            limit.history.begin(per_s, since)
        else:
            limit.history.change(per_s, now)
        limit.per_s = per_s
        logs.event(
            "target-limit",
            target=target.registration.target_id,
            service=target.registration.service,
            per_s="none" if per_s == NO_LIMIT else f"{per_s:.2f}",
            source=FROM_ENTRY if hops else FROM_ANSWER,
            age_s=f"{report.age:.3f}",
        )

    def _new(self, target: Target, advertised_at: float, now: float) -> _Limit:
        """Return a new limit that counts the requests already in flight from this entry."""
        sent, offered = _number("sent", target), _number("asked", target)
        limit = _Limit(target, NO_LIMIT, advertised_at, advertised_at, 0, sent, offered)
        for _ in range(target.in_flight):
            limit.usage.record_admitted(now)
        limit.usage.elsewhere = self._known(sent)
        limit.usage.offered_elsewhere = self._known(offered)
        self._by_number[target.number] = limit
        self._by_counter[sent] = self._by_counter[offered] = limit
        return limit


def _number(kind: str, target: Target) -> int:
    return crc32(f"{kind}/{target.number}".encode())
