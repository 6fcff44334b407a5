"""Decides for each request which server gets it, whether to retry it, or how to refuse it.

This module does no I/O, reads no clock and draws no random numbers: its methods are called with
events and return decisions. Times are seconds on the caller's monotonic clock.
"""

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import replace

from briarspur.codes import Code
from briarspur.gateway.attemptevidence import AttemptEvidence
from briarspur.gateway.authorization import Authorization
from briarspur.gateway.chooser import Choice, Chooser, SelectionCriteria
from briarspur.gateway.coldstart import cold_bucket
from briarspur.gateway.configuration import Configuration, Route, WeightedRoundRobin
from briarspur.gateway.forwarding import ForwardAttempt, Forwarding
from briarspur.gateway.loadview import LoadView
from briarspur.gateway.outcome import NOT_RUN, UNCONFIRMED, UNSENT, Outcome
from briarspur.gateway.quotas import Quotas
from briarspur.gateway.reachability import Reachability
from briarspur.gateway.repeatcounts import RepeatCounts, RepeatReason
from briarspur.gateway.retrybudgets import RetryBudgets
from briarspur.gateway.serverlimits import ServerLimits
from briarspur.gateway.servernotice import FROM_ANSWER, ReportedNotices, ServerNotice
from briarspur.gateway.suspects import Suspects
from briarspur.gateway.target import Target
from briarspur.gateway.targettable import TargetTable
from briarspur.gateway.tokens import TokenBucket
from briarspur.gateway.transit import TransitTimes
from briarspur.gateway.warmth import object_key
from briarspur.gateway.work import (
    MAX_RETRY_AFTER_S,
    MIN_ATTEMPT_S,
    MIN_RETRY_AFTER_S,
    STARTING_RETRY_AFTER_S,
    Arrival,
    Attempt,
    Bounds,
    Refused,
    Work,
)
from briarspur.gateway.worktime import WorkTimes

__all__ = ["Steering"]

HEDGE_SHARE = 0.5
"""Share of the retry budget that hedged requests may use; the rest is reserved for requests that
failed."""
MAX_HOLDUP_S = 4.0
"""Time for which a server or a link that stands still may hold a request whose attempt was given
up, before the server gets it."""
MAX_CANDIDATE_CHECKS = 8
"""Servers whose advertised limit is checked for one request. If none of them has room, all servers
that advertise a limit are excluded."""
NO_COLD_REQUESTS = TokenBucket(0.0, 0.0, 0.0)
"""Rate of an entry that may not send to a cold server, since others are its senders."""


class Steering:
    """Routing decisions of one entry.

    Parameters
    ----------
    entry_id : str
        This entry's id.
    zone, region : str
        This entry's availability zone and region.
    zone_regions : mapping
        The region of each zone.
    """

    def __init__(
        self, entry_id: str, zone: str, region: str, zone_regions: Mapping[str, str], bounds: Bounds
    ) -> None:
        self.entry_id = entry_id
        self.configuration: Configuration | None = None
        self.targets = TargetTable(zone_regions)
        self.loads = LoadView(self.targets.by_number)
        self.targets.on_target_added = self.loads.target_added
        self.quotas = Quotas(
            bounds.quota_window, self.loads.reported_count, bounds.quota_overage, bounds.quota_slack
        )
        self.limits = ServerLimits(self.targets.by_number, self.loads.reported_count)
        self.loads.on_unknown_number = self._record_usage_change
        self.transit = TransitTimes(zone, region)
        self.work_times = WorkTimes()
        self.entries: list[str] = [entry_id]
        self.suspects = Suspects(entry_id)
        self.reachability = Reachability()
        self._evidence = AttemptEvidence(self.suspects, self.reachability)
        self.forwarding = Forwarding(entry_id, zone, region)
        self.authorization = Authorization(bounds)
        self.retry_budgets = RetryBudgets(
            entry_id, bounds.retry_ratio, bounds.retry_window, bounds.retry_slack
        )
        self.repeats = RepeatCounts()
        self._chooser = Chooser(self.work_times, self.transit)
        self._turns_by_route: dict[str, tuple[Route, WeightedRoundRobin]] = {}

    # Current configuration and fleet

    @property
    def version(self) -> int:
        """Version of the current configuration; 0 if there is none."""
        return self.configuration.version if self.configuration is not None else 0

    def apply_configuration(self, configuration: Configuration) -> bool:
        """Apply a configuration if it is newer than the current one; return whether it was."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self.quotas.configured(configuration.customers.by_name.values())
        names = {route.name for route in configuration.routes}
        self._turns_by_route = {k: v for k, v in self._turns_by_route.items() if k in names}
        return True

    def set_live_entries(self, entries: list[str]) -> None:
        """Set the ids of the live entries, including this one."""
        self.entries = entries
        for target in self.targets.by_number.values():
            target.cold_senders_changed = True

    def set_recorded_fleet_size(self, size: int, now: float) -> None:
        """Set the number of entries that are recorded in the store."""
        self.retry_budgets.entries.set(size, now)
        self._update_recorded(now)

    def set_live_fleet_size(self, size: int, now: float) -> None:
        """Set the number of entries that news arrives from, including this one."""
        self.quotas.live = size
        self.limits.live = size
        self._update_recorded(now)

    def usage_counts(self, now: float) -> Counter[int]:
        """Return this entry's use of the shared quotas and limits by number, to be advertised."""
        return self.quotas.counts(now) + self.limits.counts(now)

    # Requests

    def begin(self, arrival: Arrival, now: float, is_forwarded: bool = False) -> Work | Refused:
        """Authorize a request, find its route and select a service by the route's split.

        Parameters
        ----------
        is_forwarded : bool
            Whether another entry passed it on, which counted it for the quota and the retry budget.
        """
        configuration = self.configuration
        if configuration is None:
            return Refused(Code.NOT_READY, STARTING_RETRY_AFTER_S)
        allowed = self.authorization.check(configuration, arrival)
        if isinstance(allowed, Refused):
            return allowed
        route, customer = allowed.route, allowed.customer
        over = None
        if not is_forwarded:
            over = self.quotas.check(customer, arrival.request_id, now)
        if over is not None:
            return Refused(Code.QUOTA_SPENT, over.retry_after, over.detail)
        time_budget = min(arrival.timeout, route.timeout)
        service = self._turns(route).next()
        if not is_forwarded:
            self.retry_budgets.request_arrived(service, now)
        key = None if arrival.key is None else object_key(route.name, arrival.key)
        return Work(
            request_id=arrival.request_id,
            route=route,
            service=service,
            key=key,
            arrived=now,
            deadline=now + time_budget,
            version=configuration.version,
            attempts=_attempts(route, arrival, is_forwarded),
            size=arrival.size,
            customer=customer,
            regions=allowed.regions,
            content=arrival.content,
            is_forwarded=is_forwarded,
        )

    def next_attempt(self, work: Work, now: float) -> Attempt | ForwardAttempt | Refused:
        """Choose a server for a request, or an entry to pass it on to if none can be reached."""
        if work.deadline - now < MIN_ATTEMPT_S:
            return Refused(Code.DEADLINE_TOO_SHORT)
        suspended_for = self.suspects.retry_after(work.content, self.entries, now)
        if suspended_for is not None:
            return Refused(Code.SUSPENDED, suspended_for)
        if work.regions is None:
            return Refused(Code.NO_TARGET, MAX_RETRY_AFTER_S, "route and customer share no region")
        if self.reachability.is_cut_off:
            forwarded = self._next_while_cut_off(work, now)
            if forwarded is not None:
                return forwarded
        return self._next_server(work, work.regions, now)

    def _next_while_cut_off(
        self, work: Work, now: float
    ) -> Attempt | ForwardAttempt | Refused | None:
        """Choose another entry, or a server that may respond again; None if there is neither."""
        if work.is_forwarded:
            return Refused(Code.NOT_READY, STARTING_RETRY_AFTER_S, "no server can be reached")
        if self._may_try_server(work, now):
            trial = self._next_server(work, work.regions or frozenset(), now)
            if isinstance(trial, Attempt):
                trial.is_trial = True
                return trial
        return self._start_forward(work, now)

    def _next_server(self, work: Work, regions: frozenset[str], now: float) -> Attempt | Refused:
        """Choose a server for a request."""
        if not len(self.targets):
            return Refused(Code.NOT_READY, STARTING_RETRY_AFTER_S)
        targets = self.targets.in_regions(work.service, regions)
        if not targets:
            return Refused(Code.NO_TARGET, MAX_RETRY_AFTER_S)
        self._assign_cold_rates(work, targets, now)
        choice = self._choose(work, regions, targets, now)
        if choice is None:
            suspected = sum(target.breaker.suspected(now) for target in targets)
            limited = self.limits.count_limited(targets)
            backing_off = sum(target.is_backing_off(now) for target in targets)
            detail = (
                f"none of {len(targets)} targets in time, {suspected} suspected, "
                f"{limited} limited, {backing_off} resting"
            )
            return Refused(Code.OVERLOADED, self._retry_after(work, now), detail)
        if choice.response_time > work.deadline - now:
            detail = (
                f"best of {len(targets)} targets would wait {choice.wait:.3f} s and work "
                f"{choice.work:.3f} s, {work.deadline - now:.3f} s left"
            )
            return Refused(Code.OVERLOADED, self._retry_after(work, now), detail)
        return self._start_attempt(work, choice, now)

    def may_still_send(self, attempt: Attempt, now: float) -> bool:
        """Return whether an attempt may be sent that waited for its connection."""
        if self.suspects.is_suspended(attempt.work.content, now):
            return False
        return self.targets.accepts_work(attempt.target, now)

    def hedge(self, work: Work, now: float) -> Attempt | ForwardAttempt | None:
        """Choose a second server for a request whose first attempt is overdue."""
        if not work.route.repeatable or work.hedged or work.sent >= work.attempts:
            return None
        if self.suspects.is_suspected(work.content):
            return None
        work.hedged = True
        if not self._take_retry(work, now, HEDGE_SHARE):
            return None
        attempt = self.next_attempt(work, now)
        if not isinstance(attempt, Refused):
            self.repeats.record(work.service, RepeatReason.HEDGE, now)
            return attempt
        self._return_retry(work)
        return None

    def record_notice(self, target: Target, notice: ServerNotice, now: float) -> None:
        """Record the limit, departure or backoff that a server advertised in its response."""
        if notice.limit_per_s is not None:
            self.limits.answered(target, notice.limit_per_s, now)
        if notice.leaving:
            self.targets.record_leaving(target, FROM_ANSWER, now)
        if notice.backoff > 0.0:
            self.targets.record_backoff(target, notice.backoff, now)

    def record_notices(self, notices: ReportedNotices, now: float) -> None:
        """Record the notices that other entries received from servers."""
        self.limits.reported(notices.limits, now)
        self.targets.record_reported_leaving(notices.leaving, now)
        self.suspects.record_reported(notices.losses, now)

    def notices_to_report(self, relays: bool, now: float) -> ReportedNotices:
        """Return the servers' notices to report to the other entries.

        Parameters
        ----------
        relays : bool
            Whether notices that other entries reported are included.
        """
        return ReportedNotices(
            self.limits.to_report(relays, now),
            self.targets.leaving_to_report(now),
            self.suspects.to_report(relays, now),
        )

    def record_overdue(self, attempt: Attempt, now: float) -> None:
        """Record that an unfinished attempt has taken far longer than expected."""
        self.reachability.record_unanswered(attempt.target.number)
        ratio = (now - attempt.started) / max(attempt.expected, MIN_ATTEMPT_S)
        attempt.target.raise_slowdown(ratio * attempt.target.current_slowdown(now), now)

    def record_answer_size(self, work: Work, size: int) -> None:
        """Record the size of a complete answer, in bytes."""
        self.work_times.route(work.route.name, work.route.goal).learn_size(size)

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        """Record how an attempt ended and update what is known about its server."""
        if attempt.ended:
            return
        attempt.ended = True
        self._record_arrivals(attempt.work, outcome, now)
        self._evidence.record_end(attempt, outcome, now)
        target = attempt.target
        target.in_flight -= 1
        if outcome in UNSENT:
            self.limits.not_sent(target, attempt.started)
        if outcome in NOT_RUN and attempt.warms_object and attempt.work.key is not None:
            target.warmth.discard(attempt.work.key)
        match outcome:
            case Outcome.ANSWERED | Outcome.SERVER_ERROR:
                target.breaker.succeeded()
                target.learn_error(outcome is Outcome.SERVER_ERROR, now)
                if outcome is Outcome.ANSWERED:
                    self._learn_times(attempt, now)
            case Outcome.REJECTED | Outcome.INVALID:
                target.breaker.trial_ended()
                target.learn_error(True, now)
            case Outcome.MISDIRECTED:
                self.targets.misdirected(target)
            case Outcome.NOT_SENT | Outcome.LOST:
                target.breaker.failed(now)
            case Outcome.TIMED_OUT | Outcome.ABANDONED | Outcome.DEPARTED:
                target.breaker.trial_ended()

    def retry(
        self, work: Work, outcome: Outcome, now: float
    ) -> Attempt | ForwardAttempt | Refused | None:
        """Return the next attempt after a failed one, or a refusal; None if no retry is allowed.

        A request that can't be repeated is retried only if it is proven that it was not run. The
        retry of a rejected request counts against the budget too, since the rejected request was
        load for the service as well.
        """
        proven = outcome in NOT_RUN
        if not proven and not work.route.repeatable:
            return None
        if outcome not in UNSENT:
            refused = self._spend_retry(work, now)
            if refused is not None:
                return refused if proven else None
        attempt = self.next_attempt(work, now)
        if not isinstance(attempt, Refused):
            reason = RepeatReason.UNSENT if outcome in UNSENT else RepeatReason.FAILED
            self.repeats.record(work.service, reason, now)
            return attempt
        if outcome not in UNSENT:
            self._return_retry(work)
        if not proven:
            return None
        if attempt.code is Code.NOT_READY and work.is_forwarded and work.sent:
            # NOT_READY would tell the entry that passed it on that nothing was sent, and its next
            # attempt would not be charged to the retry budget.
            return replace(attempt, code=Code.ATTEMPTS_SPENT)
        return attempt

    def retry_unsent_forward(
        self, work: Work, allotted: int, now: float
    ) -> Attempt | ForwardAttempt | Refused:
        """Return the next attempt after another entry sent the request to no server.

        Parameters
        ----------
        allotted : int
            Attempts that the other entry was given and didn't use.
        """
        work.sent -= allotted
        attempt = self.next_attempt(work, now)
        if not isinstance(attempt, Refused):
            self.repeats.record(work.service, RepeatReason.UNSENT, now)
        return attempt

    def refuse_unsent(self, work: Work, now: float) -> Refused:
        """Return the refusal of a request that was given up before anything of it was sent."""
        return Refused(Code.NO_TARGET, self._retry_after(work, now), "no connection was made")

    def forward_ended(self, attempt: ForwardAttempt, outcome: Outcome, now: float) -> None:
        """Record the end of an attempt by way of another entry."""
        if attempt.ended:
            return
        attempt.ended = True
        self._record_arrivals(attempt.work, outcome, now)
        self.forwarding.ended(attempt)

    def servers_returned(self) -> None:
        """Forget the failures of servers from the time in which none could be reached."""
        for target in self.targets.by_number.values():
            target.forget_failures()

    # Internals

    def _may_try_server(self, work: Work, now: float) -> bool:
        """Return whether to send a request to a server, too, to find out whether it answers."""
        if not work.route.repeatable or work.attempts < 2 or work.tried or work.helpers:
            return False
        return self.reachability.begin_trial(now)

    def _start_forward(self, work: Work, now: float) -> ForwardAttempt | None:
        times = self.work_times.route(work.route.name, work.route.goal)
        attempt = self.forwarding.start(work, times.expected(warm=False), now)
        if attempt is not None:
            self._record_start(work)
        return attempt

    def _record_start(self, work: Work) -> None:
        work.unanswered += 1
        if work.retries:
            work.retries[-1].arrived_by = math.inf

    def _choose(
        self, work: Work, regions: frozenset[str], targets: list[Target], now: float
    ) -> Choice | None:
        """Return the best server whose advertised limit, if any, has room for the request."""
        criteria = SelectionCriteria(
            work.route, work.service, work.key, work.tried, work.size, regions
        )
        epoch = self.targets.epoch_by_service[work.service]
        full: list[Target] = []
        for _ in range(MAX_CANDIDATE_CHECKS):
            choice = self._chooser.choose(criteria, targets, epoch, now)
            if choice is None or self.limits.has_room(choice.target, work.request_id, now):
                return choice
            full.append(choice.target)
            criteria = replace(criteria, full=full)
        criteria = replace(criteria, full=[t for t in targets if self.limits.is_limited(t)])
        return self._chooser.choose(criteria, targets, epoch, now)

    def _spend_retry(self, work: Work, now: float) -> Refused | None:
        """Take one retry from the budget; return the refusal if it is not allowed."""
        if work.sent >= work.attempts:
            return Refused(Code.ATTEMPTS_SPENT, self._retry_after(work, now))
        if not self._take_retry(work, now):
            usage = self.retry_budgets.usage(work.service, now)
            return Refused(Code.RETRY_BUDGET_SPENT, self._retry_after(work, now), str(usage))
        return None

    def _take_retry(self, work: Work, now: float, share: float = 1.0) -> bool:
        retry = self.retry_budgets.take(work.service, now, share)
        if retry is not None:
            work.retries.append(retry)
        return retry is not None

    def _return_retry(self, work: Work) -> None:
        """Return a retry that was not sent to the budget."""
        work.retries.pop().arrived_by = -math.inf

    def _update_recorded(self, now: float) -> None:
        """Leave their parts to entries that run although the store may have lost their records."""
        recorded = self.retry_budgets.entries.get(now)
        self.quotas.recorded = recorded
        self.limits.recorded = recorded

    def _record_arrivals(self, work: Work, outcome: Outcome, now: float) -> None:
        """Record by when the retries of a request have arrived, after its last attempt."""
        work.unanswered -= 1
        if outcome in UNCONFIRMED:
            work.arrived_by = now + MAX_HOLDUP_S
        if work.unanswered == 0:
            for retry in work.retries:
                retry.arrived_by = min(retry.arrived_by, max(now, work.arrived_by))

    def _record_usage_change(self, number: int, change: int) -> None:
        self.quotas.received(number, change)
        self.limits.received(number, change)

    def _start_attempt(self, work: Work, choice: Choice, now: float) -> Attempt:
        target = choice.target
        queued = target.load >= target.registration.slots
        if target.cold_until > now and target.cold_rate is not None:
            target.cold_rate.take(now)
        target.in_flight += 1
        self.limits.sent(target, now)
        target.breaker.sent()
        # A server holds an object as soon as it begins to work on it: of two overlapping requests
        # only the first needs a cold run. The object is recorded as warm when the request is sent,
        # so that later requests for it go to the same server and not to one that lacks it.
        first = work.key is not None and target.warmth.add(work.key)
        if first and work.key is not None:
            self.loads.record_own_warmed(target.number, work.key)
        work.tried.append(target)
        self._record_start(work)
        return Attempt(
            work=work,
            target=target,
            warm=choice.warm,
            expected=choice.response_time,
            transit=choice.transit,
            queued=queued,
            started=now,
            warms_object=first,
        )

    def _learn_times(self, attempt: Attempt, now: float) -> None:
        work, target = attempt.work, attempt.target
        if attempt.queued:
            return
        seconds = max(0.0, now - attempt.started - attempt.transit)
        times = self.work_times.route(work.route.name, work.route.goal)
        expected = times.expected(attempt.warm)
        target.learn_slowdown(seconds / max(expected, MIN_ATTEMPT_S), now)
        if target.cold_until <= now:
            if attempt.warm and not times.seems_warm(seconds / target.current_slowdown(now)):
                self._record_cache_miss(work, target)
            times.learn(seconds, attempt.warm)
            self.work_times.learn_mean(work.service, seconds)

    def _record_cache_miss(self, work: Work, target: Target) -> None:
        """Record that an object was cold at a server where it was expected to be warm.

        A server keeps about 25 objects. A burst spreads objects over more servers than can keep
        them. If all these servers stayed in use, each request would evict the object of another
        one: 20 % of the requests needed cold runs for as long as the load lasted. So requests for
        the object return to the servers that still hold it.
        """
        key = work.key
        if key is None:
            return
        others = self.targets.in_regions(work.service, work.regions or frozenset())
        if any(key in other.warmth for other in others if other is not target):
            target.warmth.discard(key)

    def _assign_cold_rates(self, work: Work, targets: list[Target], now: float) -> None:
        """Assign each cold target of a service this entry's share of its allowed rate."""
        assert self.configuration is not None
        service = self.configuration.services_by_name.get(work.service)
        if service is None or service.cold_per_s <= 0.0:
            return
        for target in targets:
            is_assigned = target.cold_rate is not None and not target.cold_senders_changed
            if target.cold_until > now and not is_assigned:
                bucket = cold_bucket(
                    self.entry_id,
                    self.entries,
                    target.registration.target_id,
                    service.cold_per_s,
                    now,
                )
                if bucket is not None and target.cold_rate is not None:
                    # A full bucket at each change would let frequent changes exceed the rate.
                    bucket.cap(target.cold_rate.available(now), now)
                target.cold_rate = NO_COLD_REQUESTS if bucket is None else bucket
                target.cold_senders_changed = False

    def _retry_after(self, work: Work, now: float) -> float:
        """Return the seconds until a slot may be free: the service's mean working time.

        If all servers are backing off, return the seconds until the first of them accepts requests.
        """
        targets = self.targets.in_regions(work.service, work.regions or frozenset())
        free_at = min((target.backoff_until for target in targets), default=now)
        if free_at > now:
            return free_at - now
        mean = self.work_times.service_mean(work.service, work.route.goal)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, mean))

    def _turns(self, route: Route) -> WeightedRoundRobin:
        known = self._turns_by_route.get(route.name)
        if known is not None and known[0].parts == route.parts:
            return known[1]
        turns = WeightedRoundRobin(route.parts)
        self._turns_by_route[route.name] = (route, turns)
        return turns


def _attempts(route: Route, arrival: Arrival, is_forwarded: bool) -> int:
    """Return to how many servers this entry may send a request."""
    if not is_forwarded or arrival.attempts is None:
        return route.attempts
    return min(route.attempts, arrival.attempts)
