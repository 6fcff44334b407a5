"""The limits that backend servers name in their answers, which hold over all entries.

The load this answers: more requests than a server in need takes, from many entries that each hear
one answer of it in seconds. Entries tell one another which limits they have heard and what they
sent, and admit by the sum, as they do for customers.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from operator import attrgetter
from zlib import crc32

from briarspur import logs
from briarspur.gateway.quota import HORIZON, Quota, SharedUse
from briarspur.gateway.ratehistory import RateHistory
from briarspur.gateway.servernotice import FROM_ANSWER, FROM_ENTRY, NO_LIMIT, ToldLimit
from briarspur.gateway.target import Target

__all__ = ["ServerLimits"]

WINDOW = 4.0
"""Seconds over which the requests at a server are counted."""
LEAST_PER_S = 0.25
"""Requests per second that a server gets which takes fewer: only an answer can end its limit."""
TOLD_FOR = 1.0
"""Seconds for which an entry tells the others of an answer; news come several times in it."""
RELAYED_FOR = 2.0
"""Seconds for which an entry that gathers news passes on what it was told."""
TOLD_MARGIN = 0.1
"""Seconds by which what another entry says must be later than what is known. What it says seems
later by the way of its news."""
MOST_HOPS = 2
"""Entries that pass a limit on at most: a member's speaker and another group's. Each hop makes it
seem younger by the way of its news; without a bound, entries would hand it round for ever."""
LIFTED_KEPT = 5.0
"""Seconds for which it is remembered and told that a limit was lifted. No later answer may tell an
entry that does not ask the server."""
MOST_TOLD = 40
"""Limits in one message: some 360 bytes; the latest ones go first."""
DRAWS = 1 << 32


@dataclass(slots=True)
class _Limit:
    """What one incarnation of a server takes, and what it got.

    Attributes
    ----------
    per_s : float
        Requests per second; :data:`NO_LIMIT` once it was lifted.
    said_at : float
        When the latest answer came that says so, on this entry's clock in seconds.
    since : float
        When the server began to name limits, or named none any more, on that clock.
    hops : int
        Entries that it came through; 0 if the answer came here.
    sent_number, asked_number : int
        What entries call the counts of requests that were sent and that would have been.
    """

    target: Target
    per_s: float
    said_at: float
    since: float
    hops: int
    sent_number: int
    asked_number: int
    use: SharedUse = field(default_factory=lambda: SharedUse(share=0.0))
    history: RateHistory = field(default_factory=lambda: RateHistory(WINDOW))


class ServerLimits:
    """What each incarnation of a backend server says it takes, and whether it has room.

    Parameters
    ----------
    targets_by_number : mapping
        The servers that are known.
    known : callable
        Returns what the others' news say of a number.

    Attributes
    ----------
    live, recorded : int
        Entries that are heard, this one included, and those that the store names. The part of a
        limit that those may use which are not heard is left to them.
    """

    def __init__(
        self,
        targets_by_number: Mapping[int, Target],
        known: Callable[[int], int] = lambda number: 0,
    ) -> None:
        self._targets = targets_by_number
        self._known = known
        self._by_number: dict[int, _Limit] = {}
        self._by_count: dict[int, _Limit] = {}
        self.live = 1
        self.recorded = 1

    # What is believed

    def answered(self, target: Target, per_s: float, now: float) -> None:
        """Take the limit of an answer that came at this entry; :data:`NO_LIMIT` for none."""
        self._take(target, ToldLimit(target.number, per_s, 0.0, 0.0), 0, now)

    def told(self, told: Iterable[ToldLimit], now: float) -> None:
        """Take what another entry says, unless something later is known."""
        for item in told:
            target = self._targets.get(item.number)
            if target is None:
                continue
            limit = self._by_number.get(item.number)
            if limit is None or now - item.age > limit.said_at + TOLD_MARGIN:
                self._take(target, item, item.hops + 1, now)
            elif item.per_s == limit.per_s and now - item.age > limit.said_at - TOLD_MARGIN:
                # The same word by a shorter way: it may be passed on though the longer one may not.
                limit.hops = min(limit.hops, item.hops + 1)

    def to_tell(self, relays: bool, now: float) -> tuple[ToldLimit, ...]:
        """Return what the other entries are to be told.

        Parameters
        ----------
        relays : bool
            Also what other entries told.
        """
        oldest = now - (RELAYED_FOR if relays else TOLD_FOR)
        fresh = [
            limit
            for limit in self._by_number.values()
            if limit.hops <= (MOST_HOPS if relays else 0)
            and (limit.said_at >= oldest or limit.per_s == NO_LIMIT)
        ]
        if len(fresh) > MOST_TOLD:
            fresh = sorted(fresh, key=attrgetter("said_at"), reverse=True)[:MOST_TOLD]
        return tuple(
            ToldLimit(
                number=limit.target.number,
                per_s=limit.per_s,
                age=now - limit.said_at,
                held=now - limit.since,
                hops=limit.hops,
            )
            for limit in fresh
        )

    def limited(self, targets: Iterable[Target]) -> int:
        """Count the servers that have a limit."""
        return sum(self.is_limited(target) for target in targets)

    def is_limited(self, target: Target) -> bool:
        """Tell whether a server has a limit."""
        limit = self._by_number.get(target.number)
        return limit is not None and limit.per_s < NO_LIMIT

    def forget(self, now: float) -> None:
        """Drop what is known of servers that are gone, and limits that ended a while ago."""
        for number, limit in list(self._by_number.items()):
            lifted = limit.per_s == NO_LIMIT and now - limit.since > LIFTED_KEPT
            if lifted or self._targets.get(number) is not limit.target:
                del self._by_number[number]
                del self._by_count[limit.sent_number]
                del self._by_count[limit.asked_number]

    # Requests

    def has_room(self, target: Target, request_id: str, now: float) -> bool:
        """Tell whether a server may get a request that was chosen for it."""
        limit = self._by_number.get(target.number)
        if limit is None or limit.per_s == NO_LIMIT:
            return True
        # Drawn anew for each server: with one draw for all of them, a request that finds no room
        # at one limited server would find none at any.
        draw = crc32(f"{request_id}/{target.number}".encode()) / DRAWS
        return limit.use.has_room(self._quota(limit, now), draw, now)

    def sent(self, target: Target, now: float) -> None:
        """Count a request that a server gets."""
        limit = self._by_number.get(target.number)
        if limit is not None:
            limit.use.take(now)

    def not_sent(self, target: Target) -> None:
        """Take back a request that did not leave."""
        limit = self._by_number.get(target.number)
        if limit is not None:
            limit.use.not_run()

    # Counts of all entries

    def counts(self, now: float) -> Counter[int]:
        """Return what this entry sent, and what it would have sent, to limited servers."""
        counts: Counter[int] = Counter()
        for limit in self._by_number.values():
            sent, asked = limit.use.admitted(now, WINDOW), limit.use.asked(now)
            if sent:
                counts[limit.sent_number] = sent
            if asked:
                counts[limit.asked_number] = asked
        return counts

    def heard(self, number: int, change: int) -> None:
        """Take a change of what the others sent or would have sent."""
        limit = self._by_count.get(number)
        if limit is not None:
            limit.use.heard(change, asked=number == limit.asked_number)

    # Parts

    def _quota(self, limit: _Limit, now: float) -> Quota:
        """Return what the limit allowed over the window, and allows within :data:`HORIZON`.

        By the present limit alone a fall would end all requests for seconds, and a rise would let
        those of a whole window come at once.
        """
        part = self.live / max(self.live, self.recorded)
        return Quota(limit.history.mean(now), limit.per_s * HORIZON, WINDOW).part(part)

    def _take(self, target: Target, said: ToldLimit, hops: int, now: float) -> None:
        per_s, said_at, since = max(LEAST_PER_S, said.per_s), now - said.age, now - said.held
        limit = self._by_number.get(target.number)
        if limit is None:
            if per_s == NO_LIMIT:
                return
            limit = self._new(target, said_at, now)
        limit.said_at, limit.hops = said_at, hops
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
            age_s=f"{said.age:.3f}",
        )

    def _new(self, target: Target, said_at: float, now: float) -> _Limit:
        """Return a limit that counts what the server has of this entry already."""
        sent, asked = _number("sent", target), _number("asked", target)
        limit = _Limit(target, NO_LIMIT, said_at, said_at, 0, sent, asked)
        for _ in range(target.in_flight):
            limit.use.take(now)
        limit.use.elsewhere = self._known(sent)
        limit.use.asked_elsewhere = self._known(asked)
        self._by_number[target.number] = limit
        self._by_count[sent] = self._by_count[asked] = limit
        return limit


def _number(what: str, target: Target) -> int:
    return crc32(f"{what}/{target.number}".encode())
