"""Chooses the backend server that will have answered first, at the least cost to the others."""

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Protocol

from briarspur.gateway.admission import COPY_PRESSURE, SPREAD_PRESSURE, may_queue, pressure
from briarspur.gateway.configuration import Route
from briarspur.gateway.preference import Distance, Preferences, Ranked, mean_objects
from briarspur.gateway.target import FASTEST, Target
from briarspur.gateway.warmcopies import CopyDebts
from briarspur.gateway.worktime import RouteWork, WorkTimes

__all__ = ["Choice", "Chooser", "Wish"]

COLD_COST = 0.5
"""Share of the extra work for a cold object that is counted as delay of others: an object that is
spread over more servers takes their slots for longer once on each."""
RANK_COST = 0.05
"""Delay counted for each place that a server is lower in a cold object's order, as a share of the
cold work. All entries agree on the order, so a cold object is made warm at one server first."""
TROUBLE_COST = 4.0
"""Weight of the share of requests a server turned away or spoilt lately: at 50 % its expected time
counts three times, so that others go first as long as they are not far slower."""
QUEUE_SHARE = 2.0
"""Waiting requests, in slots, that are given to one server: beyond, it would turn them away."""
INVITE_PAUSE = 0.5
"""Seconds between two objects that an entry makes warm at a newcomer; each makes one caller wait
for the cold time."""
NEWCOMER_SHARE = 0.5
"""A server that knows fewer objects than this share of the mean of its service is a newcomer."""
COPY_BYTES = 3.0
"""Weight of a byte against a cold run, as a multiple of its weight against a wait. A wait comes
again with each request, a cold run once for all that follow."""
COPY_LOAD = 0.7
"""Share of its slots up to which a server's load leaves room for a cold run."""
SPAN_SHARE = 0.1
"""Share of the extra work for a cold object that the way to a server may cost for all servers up to
that distance to be ordered as one. Where each zone has its own order, an object takes its cold run
once a zone, and a region with few servers gets more cold runs at once than it can carry: its
callers' requests move to other regions and back within seconds."""
SUSPECT_COST = 2.0
"""Seconds counted for a suspected server when a request can't be repeated elsewhere."""


class Transit(Protocol):
    """Returns the network's share of an exchange with a target."""

    def __call__(self, target: Target) -> float:
        """Return seconds for the way there and back."""

    def byte_cost(self, target: Target) -> float:
        """Return the seconds that are counted for each byte of an answer."""

    def distance(self, target: Target) -> Distance:
        """Tell how far a server is from the entry."""

    def way(self, distance: Distance, size: float) -> float:
        """Return the seconds counted for the way to servers at a distance, there and back."""


@dataclass(frozen=True, slots=True)
class Wish:
    """What a request asks of a server.

    Attributes
    ----------
    key : int or None
        Its object; None if it names none.
    tried : collection of Target
        Servers not to be used again.
    size : int
        Bytes of its body, which travel to the server as those of the answer travel back.
    regions : frozenset of str
        Where it may run; empty if anywhere.
    full : collection of Target
        Servers that take no more now, so that an object which is warm there needs another one.
    """

    route: Route
    service: str
    key: int | None
    tried: Collection[Target] = ()
    size: int = 0
    regions: frozenset[str] = frozenset()
    full: Collection[Target] = ()

    @property
    def pool(self) -> str:
        """A name of the servers among which is chosen; their order for an object is kept by it."""
        if not self.regions:
            return self.service
        return f"{self.service}@{','.join(sorted(self.regions))}"


@dataclass(frozen=True, slots=True)
class Choice:
    """A server and what is expected of it; times in seconds."""

    target: Target
    warm: bool
    wait: float
    work: float
    transit: float

    @property
    def finish(self) -> float:
        """Expected time until the whole answer."""
        return self.transit + self.wait + self.work


class Chooser:
    """Weighs the servers of a service for each request.

    Parameters
    ----------
    work : WorkTimes
        Learnt working times.
    transit : Transit
        Returns the network's share of an exchange with a target, in seconds.
    """

    def __init__(self, work: WorkTimes, transit: Transit) -> None:
        self._work = work
        self._transit = transit
        self._preferences = Preferences(transit)
        self._debts = CopyDebts()

    def choose(
        self, wish: Wish, targets: Sequence[Target], epoch: int, now: float
    ) -> Choice | None:
        """Return the best server, None if none may take the request now."""
        if wish.key is None or len(targets) <= 1:
            return self._best(wish, [Ranked(target, 0.0) for target in targets], now)
        span = self._span(wish)
        warm = [
            target
            for target in targets
            if wish.key in target.warmth and target not in wish.full and not target.rests(now)
        ]
        best = self._undoubtedly_warm(wish, warm, now)
        if best is None:
            best = self._ranked_best(wish, targets, bool(warm), epoch, span, now)
        if best is None or not best.warm:
            return best
        nearer = None
        if pressure(targets) <= COPY_PRESSURE:
            nearer = self._warm_copy(best, wish, wish.key, targets, epoch, now)
        return nearer or self._newcomer(wish, wish.key, targets, epoch, span, now) or best

    def _undoubtedly_warm(self, wish: Wish, warm: Sequence[Target], now: float) -> Choice | None:
        """Return the best server where the object is warm, if no other one can cost less.

        Most requests find one, and are spared the look at servers in the object's order.
        """
        if not warm or not wish.route.sticky:
            return None
        times = self._work.route(wish.route.name, wish.route.goal)
        best, cost = self._cheapest(wish, [Ranked(target, 0.0) for target in warm], now)
        least_cold = times.cold * FASTEST + COLD_COST * (times.cold - times.warm)
        return best if cost <= least_cold else None

    def _ranked_best(
        self,
        wish: Wish,
        targets: Sequence[Target],
        is_warm: bool,
        epoch: int,
        span: Distance,
        now: float,
    ) -> Choice | None:
        """Return the best server by the object's order, or of all if none of these can be used."""
        assert wish.key is not None
        ranked = self._preferences.ranked(wish.pool, wish.key, targets, epoch, span)
        spread = not is_warm or pressure(targets) <= SPREAD_PRESSURE
        best = self._best(wish, ranked, now, spread)
        if best is None:
            everywhere = [Ranked(target, 0.0) for target in targets]
            best = self._best(wish, everywhere, now, spread)
        return best

    def _span(self, wish: Wish) -> Distance:
        """Return the distance within which it hardly matters which server works."""
        times = self._work.route(wish.route.name, wish.route.goal)
        most = SPAN_SHARE * (times.cold - times.warm)
        for distance in (Distance.FAR, Distance.REGION):
            if self._transit.way(distance, wish.size + times.size) <= most:
                return distance
        return Distance.ZONE

    def _warm_copy(
        self,
        best: Choice,
        wish: Wish,
        key: int,
        targets: Sequence[Target],
        epoch: int,
        now: float,
    ) -> Choice | None:
        """Return a server of the entry's own zone where the object is to be made warm now.

        The callers of an object come from the zones of a region alike, so with one warm server half
        of its bytes cross zones for ever. On a quiet day warm copies took 56 MB to 30 MB;
        the share of worth earned fell from 0.958 to 0.939, since each costs a caller the cold time.
        """
        times = self._work.route(wish.route.name, wish.route.goal)
        cost = (wish.size + times.size) * self._transit.byte_cost(best.target) * COPY_BYTES
        extra = times.cold - times.warm
        if cost <= 0.0 or not self._debts.add(wish.pool, key, cost, extra):
            return None
        near = self._preferences.in_zone(wish.pool, key, targets, epoch)
        if any(key in target.warmth for target in near):
            return None
        for target in near:
            if target.load >= COPY_LOAD * target.registration.slots:
                continue
            choice = self._best(wish, [Ranked(target, 0.0)], now)
            if choice is not None:
                self._debts.settle(wish.pool, key)
                return choice
        return None

    def _newcomer(
        self,
        wish: Wish,
        key: int,
        targets: Sequence[Target],
        epoch: int,
        span: Distance,
        now: float,
    ) -> Choice | None:
        """Return a server that has just joined, if it is to get this object.

        Objects that are warm elsewhere would leave it unused for ever: each would cost it the cold
        time. So it gets one from time to time while it is idle, of those that prefer it, until it
        knows as many as half of the others.
        """
        for first in self._preferences.first(wish.pool, key, targets, epoch, span):
            invited = self._invite(first, wish, targets, now)
            if invited is not None:
                return invited
        return None

    def _invite(
        self, first: Target, wish: Wish, targets: Sequence[Target], now: float
    ) -> Choice | None:
        if not self._is_newcomer(first, targets, wish, now):
            return None
        newcomer = self._best(wish, [Ranked(first, 0.0)], now)
        if newcomer is not None:
            first.invited_at = now
        return newcomer

    def _best(
        self, wish: Wish, candidates: Sequence[Ranked], now: float, spread: bool = True
    ) -> Choice | None:
        """Return the candidate of the least cost, None if none may take the request."""
        return self._cheapest(wish, candidates, now, spread)[0]

    def _cheapest(
        self, wish: Wish, candidates: Sequence[Ranked], now: float, spread: bool = True
    ) -> tuple[Choice | None, float]:
        """Return the candidate of the least cost, and that cost in seconds.

        Parameters
        ----------
        spread : bool
            Busy servers where the object is not warm may be chosen, too.
        """
        route = wish.route
        times = self._work.route(route.name, route.goal)
        mean = self._work.service_mean(wish.service, times.warm)
        best: Choice | None = None
        least = math.inf
        for candidate in candidates:
            target = candidate.target
            if target in wish.tried or target in wish.full or not self._usable(target, now):
                continue
            warm = not route.sticky or (wish.key is not None and wish.key in target.warmth)
            if not warm and not spread and target.load > 0:
                continue
            choice = self._expected(target, times, warm, mean, now)
            if choice is None or not may_queue(
                choice.wait, choice.finish, route.goal, choice.transit + times.warm
            ):
                continue
            cost = self._cost(choice, wish, times, candidate.place, now)
            if cost < least:
                least = cost
                best = choice
        return best, least

    def _expected(
        self, target: Target, times: RouteWork, warm: bool, mean: float, now: float
    ) -> Choice | None:
        """Return what is expected of a server, None if its queue is full."""
        slots = target.registration.slots
        load = target.load
        if load >= slots * (1.0 + QUEUE_SHARE):
            return None
        speed = target.current_speed(now)
        wait = max(0, load + 1 - slots) * mean * speed / slots
        work = times.expected(warm) * speed
        return Choice(target, warm, wait, work, self._transit(target))

    def _cost(
        self, choice: Choice, wish: Wish, times: RouteWork, place: float, now: float
    ) -> float:
        """Return the seconds that are counted for a choice, those of others included."""
        target = choice.target
        cost = choice.finish * (1.0 + TROUBLE_COST * target.current_trouble(now))
        cost += (wish.size + times.size) * self._transit.byte_cost(target)
        if not choice.warm:
            cost += COLD_COST * (times.cold - times.warm)
            cost += RANK_COST * times.cold * place
        if not wish.route.repeatable and target.breaker.suspected(now):
            cost += SUSPECT_COST
        return cost

    def _is_newcomer(
        self, target: Target, targets: Sequence[Target], wish: Wish, now: float
    ) -> bool:
        if target.load > 0 or target.cold_until > now or target.breaker.suspected(now):
            return False
        if now - target.invited_at < INVITE_PAUSE or not wish.route.repeatable:
            return False
        return len(target.warmth) < NEWCOMER_SHARE * mean_objects(targets)

    def _usable(self, target: Target, now: float) -> bool:
        if target.rests(now) or not target.breaker.allows(now):
            return False
        if target.cold_until > now:
            bucket = target.cold_rate
            return bucket is not None and bucket.available(now) >= 1.0
        return True
