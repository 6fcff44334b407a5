"""The decisions about each request: which server, whether again, or which refusal.

Events in, decisions out; nothing here does I/O, reads a clock or draws a random number. Times are
seconds on the caller's monotonic clock.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import replace

from briarspur.codes import Code
from briarspur.gateway.authorization import Authorization
from briarspur.gateway.chooser import Choice, Chooser, Wish
from briarspur.gateway.coldstart import cold_bucket
from briarspur.gateway.configuration import Configuration, Route, WeightedRoundRobin
from briarspur.gateway.loadview import LoadView
from briarspur.gateway.outcome import NOT_RUN, UNSENT, Outcome
from briarspur.gateway.quotas import Quotas
from briarspur.gateway.retrybudget import RetryBudget
from briarspur.gateway.serverlimits import ServerLimits
from briarspur.gateway.servernotice import FROM_ANSWER, ReportedNotices, ServerNotice
from briarspur.gateway.target import Target
from briarspur.gateway.targettable import TargetTable
from briarspur.gateway.transit import TransitTimes
from briarspur.gateway.warmth import object_key
from briarspur.gateway.work import (
    LEAST_RETRY_AFTER,
    MOST_RETRY_AFTER,
    SHORTEST_TRY,
    STARTING_RETRY_AFTER,
    Arrival,
    Attempt,
    Bounds,
    Refused,
    Work,
)
from briarspur.gateway.worktime import WorkTimes

__all__ = ["Steering"]

HEDGE_SHARE = 0.5
"""Part of the retry budget that these may use; the rest is left for requests that failed."""
MOST_LOOKS = 8
"""Servers without room within their limits that are looked at for one request; then all that name a
limit are passed over."""


class Steering:
    """Decides for one entry.

    Parameters
    ----------
    me : str
        This entry's id.
    zone, region : str
        Where it stands.
    zone_regions : mapping
        The region of each zone.
    """

    def __init__(
        self, me: str, zone: str, region: str, zone_regions: Mapping[str, str], bounds: Bounds
    ) -> None:
        self.me = me
        self.configuration: Configuration | None = None
        self.targets = TargetTable(zone_regions)
        self.loads = LoadView(self.targets.by_number)
        self.targets.on_new = self.loads.target_added
        self.quotas = Quotas(
            bounds.quota_window, self.loads.known, bounds.quota_overage, bounds.quota_slack
        )
        self.limits = ServerLimits(self.targets.by_number, self.loads.known)
        self.loads.on_other = self._count_changed
        self.transit = TransitTimes(zone, region)
        self.times = WorkTimes()
        self.entries: list[str] = [me]
        self.authorization = Authorization(bounds)
        # Shares of a limit are divided by all entries that are recorded, not by those that seem to
        # live. An entry that is leaving, late with its news or not heard of yet still sends
        # retries; divided by a smaller number, the shares of all would exceed the limit.
        self.fleet_size = 1
        self._chooser = Chooser(self.times, self.transit)
        self._bounds = bounds
        self._turns_by_route: dict[str, tuple[Route, WeightedRoundRobin]] = {}
        self._budget_by_service: dict[str, RetryBudget] = {}

    # What is in force

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self.configuration.version if self.configuration is not None else 0

    def configuration_accepted(self, configuration: Configuration) -> bool:
        """Take a configuration if it is newer than the one in force."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self.quotas.configured(configuration.customers.by_name.values())
        names = {route.name for route in configuration.routes}
        self._turns_by_route = {k: v for k, v in self._turns_by_route.items() if k in names}
        return True

    def entries_changed(self, entries: list[str]) -> None:
        """Take the live entries, this one included."""
        self.entries = entries
        for target in self.targets.by_number.values():
            target.cold_rate = None

    def fleet_recorded(self, size: int) -> None:
        """Take how many entries the store names."""
        self.fleet_size = size
        self.quotas.recorded = size
        self.limits.recorded = size

    def fleet_heard(self, size: int) -> None:
        """Take how many entries are heard, this one included."""
        self.quotas.live = size
        self.limits.live = size

    def uses(self, now: float) -> Counter[int]:
        """Return the uses of what all entries share, to be told to the others by number."""
        return self.quotas.counts(now) + self.limits.counts(now)

    # Requests

    def begin(self, arrival: Arrival, now: float) -> Work | Refused:
        """Find the route of a request and the service that takes it."""
        configuration = self.configuration
        if configuration is None:
            return Refused(Code.NOT_READY, STARTING_RETRY_AFTER)
        allowed = self.authorization.check(configuration, arrival)
        if isinstance(allowed, Refused):
            return allowed
        route, customer = allowed.route, allowed.customer
        over = self.quotas.check(customer, arrival.request_id, now)
        if over is not None:
            return Refused(Code.QUOTA_SPENT, over.retry_after, over.detail)
        patience = min(arrival.patience, route.timeout)
        service = self._turns(route).next()
        self._budget(service).request_arrived(now)
        key = None if arrival.key is None else object_key(route.name, arrival.key)
        return Work(
            request_id=arrival.request_id,
            route=route,
            service=service,
            key=key,
            arrived=now,
            deadline=now + patience,
            version=configuration.version,
            size=arrival.size,
            customer=customer,
            regions=allowed.regions,
        )

    def next_attempt(self, work: Work, now: float) -> Attempt | Refused:
        """Choose a server for a request."""
        if work.deadline - now < SHORTEST_TRY:
            return Refused(Code.DEADLINE_TOO_SHORT)
        if work.regions is None:
            return Refused(Code.NO_TARGET, MOST_RETRY_AFTER, "route and customer share no region")
        if not len(self.targets):
            return Refused(Code.NOT_READY, STARTING_RETRY_AFTER)
        targets = self.targets.in_regions(work.service, work.regions)
        if not targets:
            return Refused(Code.NO_TARGET, MOST_RETRY_AFTER)
        self._prepare_cold(work, targets, now)
        choice = self._choose(work, work.regions, targets, now)
        if choice is None:
            suspected = sum(target.breaker.suspected(now) for target in targets)
            limited = self.limits.count_limited(targets)
            resting = sum(target.rests(now) for target in targets)
            detail = (
                f"none of {len(targets)} targets in time, {suspected} suspected, "
                f"{limited} limited, {resting} resting"
            )
            return Refused(Code.OVERLOADED, self._retry_after(work, now), detail)
        if choice.finish > work.deadline - now:
            detail = (
                f"best of {len(targets)} targets would wait {choice.wait:.3f} s and work "
                f"{choice.work:.3f} s, {work.deadline - now:.3f} s left"
            )
            return Refused(Code.OVERLOADED, self._retry_after(work, now), detail)
        return self._send(work, choice, now)

    def hedge(self, work: Work, now: float) -> Attempt | None:
        """Choose a second server for a request that its first one is late with."""
        if not work.route.repeatable or work.hedged or work.sent >= work.route.attempts:
            return None
        work.hedged = True
        if not self._budget(work.service).take(now, self.fleet_size, HEDGE_SHARE):
            return None
        attempt = self.next_attempt(work, now)
        return attempt if isinstance(attempt, Attempt) else None

    def noticed(self, target: Target, notice: ServerNotice, now: float) -> None:
        """Take what a server says of itself in an answer."""
        if notice.limit_per_s is not None:
            self.limits.answered(target, notice.limit_per_s, now)
        if notice.leaving:
            self.targets.leaves(target, FROM_ANSWER, now)
        if notice.rest > 0.0:
            self.targets.rests(target, notice.rest, now)

    def take_notices(self, notices: ReportedNotices, now: float) -> None:
        """Take what servers said to other entries."""
        self.limits.reported(notices.limits, now)
        self.targets.told_leaving(notices.leaving, now)

    def notices_to_tell(self, relays: bool, now: float) -> ReportedNotices:
        """Return what servers said, for the other entries; if it relays, what others told, too."""
        return ReportedNotices(
            self.limits.to_report(relays, now), self.targets.leaving_to_tell(now)
        )

    def overdue(self, attempt: Attempt, now: float) -> None:
        """Note that an attempt takes far longer than expected."""
        ratio = (now - attempt.started) / max(attempt.expected, SHORTEST_TRY)
        attempt.target.at_least_as_slow(ratio * attempt.target.current_speed(now), now)

    def answer_size(self, work: Work, size: int) -> None:
        """Learn the size of a whole answer, in bytes."""
        self.times.route(work.route.name, work.route.goal).learn_size(size)

    def ended(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        """Learn from the end of an attempt."""
        if attempt.ended:
            return
        attempt.ended = True
        target = attempt.target
        target.in_flight -= 1
        if outcome in UNSENT:
            self.limits.not_sent(target)
        if outcome in NOT_RUN and attempt.warms and attempt.work.key is not None:
            target.warmth.discard(attempt.work.key)
        match outcome:
            case Outcome.ANSWERED | Outcome.SERVER_ERROR:
                target.breaker.succeeded()
                target.learn_trouble(outcome is Outcome.SERVER_ERROR, now)
                if outcome is Outcome.ANSWERED:
                    self._learn(attempt, now)
            case Outcome.REJECTED | Outcome.INVALID:
                target.breaker.trial_ended()
                target.learn_trouble(True, now)
            case Outcome.MISDIRECTED:
                self.targets.misdirected(target)
            case Outcome.NOT_SENT | Outcome.LOST:
                target.breaker.failed(now)
            case Outcome.TIMED_OUT | Outcome.ABANDONED | Outcome.DEPARTED:
                target.breaker.trial_ended()

    def retry(self, work: Work, outcome: Outcome, now: float) -> Attempt | Refused | None:
        """Return the next attempt after a failed one, or the refusal; None if it may not be tried.

        A request that can't be repeated is sent again only after proof that it was not run. A
        rejected one costs budget too: the service bears only so many arrivals.
        """
        proven = outcome in NOT_RUN
        if not proven and not work.route.repeatable:
            return None
        if outcome not in UNSENT:
            spent = self._spent(work, now)
            if spent is not None:
                return Refused(spent, self._retry_after(work, now)) if proven else None
        attempt = self.next_attempt(work, now)
        if isinstance(attempt, Refused) and not proven:
            return None
        return attempt

    # Parts

    def _choose(
        self, work: Work, regions: frozenset[str], targets: list[Target], now: float
    ) -> Choice | None:
        """Return the best server that has room within the limit it names, if it names one."""
        wish = Wish(work.route, work.service, work.key, work.tried, work.size, regions)
        full: list[Target] = []
        for _ in range(MOST_LOOKS):
            choice = self._chooser.choose(wish, targets, self.targets.epoch, now)
            if choice is None or self.limits.has_room(choice.target, work.request_id, now):
                return choice
            full.append(choice.target)
            wish = replace(wish, full=full)
        wish = replace(wish, full=[t for t in targets if self.limits.is_limited(t)])
        return self._chooser.choose(wish, targets, self.targets.epoch, now)

    def _spent(self, work: Work, now: float) -> Code | None:
        """Take one retry; return what forbids it, None if it is allowed."""
        if work.sent >= work.route.attempts:
            return Code.ATTEMPTS_SPENT
        if not self._budget(work.service).take(now, self.fleet_size):
            return Code.RETRY_BUDGET_SPENT
        return None

    def _count_changed(self, number: int, change: int) -> None:
        self.quotas.received(number, change)
        self.limits.received(number, change)

    def _send(self, work: Work, choice: Choice, now: float) -> Attempt:
        target = choice.target
        queued = target.load >= target.registration.slots
        if target.cold_until > now and target.cold_rate is not None:
            target.cold_rate.take(now)
        target.in_flight += 1
        self.limits.sent(target, now)
        target.breaker.sent()
        # A server has an object at hand as soon as it begins with it: of two requests that overlap
        # only the first takes the cold time. Noted at the send, the next ones for the object follow
        # it instead of making another server warm.
        first = work.key is not None and target.warmth.add(work.key)
        if first and work.key is not None:
            self.loads.warmed(target.number, work.key)
        work.tried.append(target)
        return Attempt(
            work=work,
            target=target,
            warm=choice.warm,
            expected=choice.finish,
            transit=choice.transit,
            queued=queued,
            started=now,
            warms=first,
        )

    def _learn(self, attempt: Attempt, now: float) -> None:
        work, target = attempt.work, attempt.target
        if attempt.queued:
            return
        seconds = max(0.0, now - attempt.started - attempt.transit)
        times = self.times.route(work.route.name, work.route.goal)
        expected = times.expected(attempt.warm)
        target.learn_speed(seconds / max(expected, SHORTEST_TRY), now)
        if target.cold_until <= now:
            if attempt.warm and not times.seems_warm(seconds / target.current_speed(now)):
                self._forgotten(work, target)
            times.learn(seconds, attempt.warm)
            self.times.learn_mean(work.service, seconds)

    def _forgotten(self, work: Work, target: Target) -> None:
        """Note that a server no longer had an object at hand that was believed to be warm there.

        A server keeps some 25 objects. Under a burst they are spread over more servers than can
        keep them, and if all these were used on, each request would take the place of another's
        object: 20 % of the requests took the cold time for as long as the load lasted. So the
        object goes back to the servers that still have it.
        """
        key = work.key
        if key is None:
            return
        others = self.targets.in_regions(work.service, work.regions or frozenset())
        if any(key in other.warmth for other in others if other is not target):
            target.warmth.discard(key)

    def _prepare_cold(self, work: Work, targets: list[Target], now: float) -> None:
        """Give each cold target of a service this entry's part of its rate."""
        assert self.configuration is not None
        service = self.configuration.services_by_name.get(work.service)
        if service is None or service.cold_per_s <= 0.0:
            return
        for target in targets:
            if target.cold_until > now and target.cold_rate is None:
                target.cold_rate = cold_bucket(
                    self.me,
                    self.entries,
                    target.registration.target_id,
                    service.cold_per_s,
                    now,
                )

    def _retry_after(self, work: Work, now: float) -> float:
        """Return when a slot of the service may be free: one mean working time from now.

        Where all servers rest it is when the first of them takes requests again.
        """
        targets = self.targets.in_regions(work.service, work.regions or frozenset())
        free_at = min((target.rest_until for target in targets), default=now)
        if free_at > now:
            return free_at - now
        mean = self.times.service_mean(work.service, work.route.goal)
        return min(MOST_RETRY_AFTER, max(LEAST_RETRY_AFTER, mean))

    def _turns(self, route: Route) -> WeightedRoundRobin:
        known = self._turns_by_route.get(route.name)
        if known is not None and known[0].parts == route.parts:
            return known[1]
        turns = WeightedRoundRobin(route.parts)
        self._turns_by_route[route.name] = (route, turns)
        return turns

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            bounds = self._bounds
            budget = RetryBudget(bounds.retry_ratio, bounds.retry_window, bounds.retry_slack)
            self._budget_by_service[service] = budget
        return budget
