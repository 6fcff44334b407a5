"""Chooses the backend server with the lowest expected response time and cost to other requests."""

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Protocol

from briarspur.gateway.admission import (
    MAX_COPY_UTILIZATION,
    MAX_SPREAD_UTILIZATION,
    may_queue,
    utilization,
)
from briarspur.gateway.configuration import Route
from briarspur.gateway.preference import Distance, Preferences, Ranked, mean_warm_objects
from briarspur.gateway.target import MIN_SLOWDOWN, Target
from briarspur.gateway.warmcopies import AccruedCosts
from briarspur.gateway.worktime import RouteMeans, WorkTimes

__all__ = ["Choice", "Chooser", "SelectionCriteria"]

COLD_COST_SHARE = 0.5
"""Share of the extra work for a cold object that is counted as delay of other requests: each server
that an object is spread to spends the extra work once."""
RANK_COST_SHARE = 0.05
"""Cost per place in a cold object's order of servers, as a share of the cold work. All entries
agree on the order, so they warm up a cold object at the same server first."""
ERROR_RATE_COST = 4.0
"""Weight of the share of recent requests that a server rejected or answered with an error. At 50 %
its expected time counts three times, so other servers are preferred unless they are far slower."""
MAX_QUEUE_SHARE = 2.0
"""Queued requests per slot of a server beyond which it would reject more."""
WARM_UP_INTERVAL_S = 0.5
"""Time between two objects that an entry warms up at a new server; each makes one caller wait for
the cold time."""
NEW_SERVER_SHARE = 0.5
"""A server with fewer warm objects than this share of its service's mean is a new server."""
COPY_BYTE_COST_FACTOR = 3.0
"""Weight of a byte compared to a cold run, as a multiple of its weight compared to a wait. A wait
recurs with each request; a cold run happens once for all later requests."""
MAX_COPY_LOAD_SHARE = 0.7
"""Share of a server's slots in use up to which it has room for a cold run."""
SPAN_COST_SHARE = 0.1
"""All servers up to a distance share one order if the network path costs at most this share of the
extra work for a cold object. With an order per zone, an object needs a cold run in each zone, and a
region with few servers gets more simultaneous cold runs than it can handle: its callers' requests
move to other regions and back within seconds."""
SUSPECT_COST_S = 2.0
"""Cost of a suspected server for a request that can't be repeated elsewhere."""


class Transit(Protocol):
    """Network times and costs between the entry and the targets."""

    def __call__(self, target: Target) -> float:
        """Return the round-trip time to a target, in seconds."""

    def byte_cost(self, target: Target) -> float:
        """Return the cost of each transferred byte, in seconds."""

    def distance(self, target: Target) -> Distance:
        """Return the distance of a target from the entry."""

    def path_cost(self, distance: Distance, size: float) -> float:
        """Return the cost of a round trip with so many bytes at a distance, in seconds."""


@dataclass(frozen=True, slots=True)
class SelectionCriteria:
    """What a request requires of a server.

    Attributes
    ----------
    key : int or None
        Its object; None if it names none.
    tried : collection of Target
        Servers that must not be used again.
    size : int
        Bytes of its body, whose transfer counts like that of the answer.
    regions : frozenset of str
        Regions where it may run; empty if any.
    full : collection of Target
        Servers without room at present, which are skipped even if the object is warm there.
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
        """Name of the set of eligible servers, under which its orders are cached."""
        if not self.regions:
            return self.service
        return f"{self.service}@{','.join(sorted(self.regions))}"


@dataclass(frozen=True, slots=True)
class Choice:
    """A server and the times that are expected there, in seconds."""

    target: Target
    warm: bool
    wait: float
    work: float
    transit: float

    @property
    def response_time(self) -> float:
        """Expected time until the complete answer."""
        return self.transit + self.wait + self.work


class Chooser:
    """Chooses a server of a service for each request by expected cost.

    Parameters
    ----------
    work : WorkTimes
        Learned working times.
    transit : Transit
        Network times and costs.
    """

    def __init__(self, work: WorkTimes, transit: Transit) -> None:
        self._work = work
        self._transit = transit
        self._preferences = Preferences(transit)
        self._accrued_costs = AccruedCosts()

    def choose(
        self, criteria: SelectionCriteria, targets: Sequence[Target], epoch: int, now: float
    ) -> Choice | None:
        """Return the best server, None if none can accept the request now."""
        if criteria.key is None or len(targets) <= 1:
            return self._best(criteria, [Ranked(target, 0.0) for target in targets], now)
        span = self._span(criteria)
        warm = [
            target
            for target in targets
            if criteria.key in target.warmth
            and target not in criteria.full
            and not target.is_backing_off(now)
        ]
        best = self._clearly_best_warm(criteria, warm, now)
        if best is None:
            best = self._ranked_best(criteria, targets, bool(warm), epoch, span, now)
        if best is None or not best.warm:
            return best
        warm_copy = None
        if utilization(targets) <= MAX_COPY_UTILIZATION:
            warm_copy = self._warm_copy(best, criteria, criteria.key, targets, epoch, now)
        return (
            warm_copy or self._new_server(criteria, criteria.key, targets, epoch, span, now) or best
        )

    def _clearly_best_warm(
        self, criteria: SelectionCriteria, warm: Sequence[Target], now: float
    ) -> Choice | None:
        """Return the best server where the object is warm, if no other server can cost less.

        This saves most requests the evaluation of all servers in the object's order.
        """
        if not warm or not criteria.route.sticky:
            return None
        times = self._work.route(criteria.route.name, criteria.route.goal)
        best, cost = self._cheapest(criteria, [Ranked(target, 0.0) for target in warm], now)
        min_cold_cost = times.cold * MIN_SLOWDOWN + COLD_COST_SHARE * (times.cold - times.warm)
        return best if cost <= min_cold_cost else None

    def _ranked_best(
        self,
        criteria: SelectionCriteria,
        targets: Sequence[Target],
        is_warm: bool,
        epoch: int,
        span: Distance,
        now: float,
    ) -> Choice | None:
        """Return the best server in the object's order, or of all servers if none there is usable.

        Parameters
        ----------
        is_warm : bool
            Whether the object is warm at any server.
        """
        assert criteria.key is not None
        ranked = self._preferences.ranked(criteria.pool, criteria.key, targets, epoch, span)
        spread = not is_warm or utilization(targets) <= MAX_SPREAD_UTILIZATION
        best = self._best(criteria, ranked, now, spread)
        if best is None:
            everywhere = [Ranked(target, 0.0) for target in targets]
            best = self._best(criteria, everywhere, now, spread)
        return best

    def _span(self, criteria: SelectionCriteria) -> Distance:
        """Return the distance up to which the network cost is negligible."""
        times = self._work.route(criteria.route.name, criteria.route.goal)
        max_cost = SPAN_COST_SHARE * (times.cold - times.warm)
        for distance in (Distance.FAR, Distance.REGION):
            if self._transit.path_cost(distance, criteria.size + times.size) <= max_cost:
                return distance
        return Distance.ZONE

    def _warm_copy(
        self,
        best: Choice,
        criteria: SelectionCriteria,
        key: int,
        targets: Sequence[Target],
        epoch: int,
        now: float,
    ) -> Choice | None:
        """Return a server of the entry's own zone if the object should be warmed up there now.

        An object's callers are spread evenly over the zones of a region, so with one warm server
        half of its bytes always cross zones, which operators pay for. Each copy makes one caller
        wait for the cold time, so an object is copied only once its accrued transfers cost more.
        """
        times = self._work.route(criteria.route.name, criteria.route.goal)
        cost = (
            (criteria.size + times.size)
            * self._transit.byte_cost(best.target)
            * COPY_BYTE_COST_FACTOR
        )
        extra = times.cold - times.warm
        if cost <= 0.0 or not self._accrued_costs.add(criteria.pool, key, cost, extra):
            return None
        near = self._preferences.in_zone(criteria.pool, key, targets, epoch)
        if any(key in target.warmth for target in near):
            return None
        for target in near:
            if target.load >= MAX_COPY_LOAD_SHARE * target.registration.slots:
                continue
            choice = self._best(criteria, [Ranked(target, 0.0)], now)
            if choice is not None:
                self._accrued_costs.pay_off(criteria.pool, key)
                return choice
        return None

    def _new_server(
        self,
        criteria: SelectionCriteria,
        key: int,
        targets: Sequence[Target],
        epoch: int,
        span: Distance,
        now: float,
    ) -> Choice | None:
        """Return a server that has just joined, if the object should be warmed up there.

        As long as all objects are warm at other servers, a new server would stay unused, since each
        object would cost the cold time there. So while it is idle it gets at intervals one of the
        objects that prefer it, until it has half as many warm objects as the mean.
        """
        for first in self._preferences.first_choices(criteria.pool, key, targets, epoch, span):
            choice = self._warm_up(first, criteria, targets, now)
            if choice is not None:
                return choice
        return None

    def _warm_up(
        self, first: Target, criteria: SelectionCriteria, targets: Sequence[Target], now: float
    ) -> Choice | None:
        if not self._is_new_server(first, targets, criteria, now):
            return None
        new_server = self._best(criteria, [Ranked(first, 0.0)], now)
        if new_server is not None:
            first.warm_up_sent_at = now
        return new_server

    def _best(
        self,
        criteria: SelectionCriteria,
        candidates: Sequence[Ranked],
        now: float,
        spread: bool = True,
    ) -> Choice | None:
        """Return the candidate with the lowest cost, None if none can accept the request."""
        return self._cheapest(criteria, candidates, now, spread)[0]

    def _cheapest(
        self,
        criteria: SelectionCriteria,
        candidates: Sequence[Ranked],
        now: float,
        spread: bool = True,
    ) -> tuple[Choice | None, float]:
        """Return the candidate with the lowest cost, and that cost in seconds.

        Parameters
        ----------
        spread : bool
            Whether a busy server may be chosen where the object is not warm.
        """
        route = criteria.route
        times = self._work.route(route.name, route.goal)
        mean = self._work.service_mean(criteria.service, times.warm)
        best: Choice | None = None
        lowest_cost = math.inf
        for candidate in candidates:
            target = candidate.target
            if target in criteria.tried or target in criteria.full or not self._usable(target, now):
                continue
            warm = not route.sticky or (criteria.key is not None and criteria.key in target.warmth)
            if not warm and not spread and target.load > 0:
                continue
            choice = self._expected(target, times, warm, mean, now)
            if choice is None or not may_queue(
                choice.wait, choice.response_time, route.goal, choice.transit + times.warm
            ):
                continue
            cost = self._cost(choice, criteria, times, candidate.place, now)
            if cost < lowest_cost:
                lowest_cost = cost
                best = choice
        return best, lowest_cost

    def _expected(
        self, target: Target, times: RouteMeans, warm: bool, mean: float, now: float
    ) -> Choice | None:
        """Return the expected times at a server, None if its queue is full."""
        slots = target.registration.slots
        load = target.load
        if load >= slots * (1.0 + MAX_QUEUE_SHARE):
            return None
        slowdown = target.current_slowdown(now)
        wait = max(0, load + 1 - slots) * mean * slowdown / slots
        work = times.expected(warm) * slowdown
        return Choice(target, warm, wait, work, self._transit(target))

    def _cost(
        self,
        choice: Choice,
        criteria: SelectionCriteria,
        times: RouteMeans,
        place: float,
        now: float,
    ) -> float:
        """Return the cost of a choice in seconds, including the delay of other requests."""
        target = choice.target
        cost = choice.response_time * (1.0 + ERROR_RATE_COST * target.current_error_rate(now))
        cost += (criteria.size + times.size) * self._transit.byte_cost(target)
        if not choice.warm:
            cost += COLD_COST_SHARE * (times.cold - times.warm)
            cost += RANK_COST_SHARE * times.cold * place
        if not criteria.route.repeatable and target.breaker.suspected(now):
            cost += SUSPECT_COST_S
        return cost

    def _is_new_server(
        self, target: Target, targets: Sequence[Target], criteria: SelectionCriteria, now: float
    ) -> bool:
        if target.load > 0 or target.cold_until > now or target.breaker.suspected(now):
            return False
        if now - target.warm_up_sent_at < WARM_UP_INTERVAL_S or not criteria.route.repeatable:
            return False
        return len(target.warmth) < NEW_SERVER_SHARE * mean_warm_objects(targets)

    def _usable(self, target: Target, now: float) -> bool:
        if target.is_backing_off(now) or not target.breaker.allows(now):
            return False
        if target.cold_until > now:
            bucket = target.cold_rate
            return bucket is not None and bucket.available(now) >= 1.0
        return True
