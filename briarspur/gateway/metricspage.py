"""The metrics of a gateway process, as exposed to scrapers."""

from collections import Counter
from typing import TYPE_CHECKING

from briarspur.gateway.exposition import Exposition
from briarspur.unhandled import errors

if TYPE_CHECKING:
    from briarspur.gateway.app import Gateway

__all__ = ["metrics_text"]

MAX_CUSTOMERS = 50
"""Maximum number of customers listed by name, those with the most refusals first."""


def metrics_text(gateway: "Gateway") -> bytes:
    """Return the metrics page."""
    page = Exposition()
    page.values("requests_total", "code", gateway.log.final_counts)
    page.values("attempts_total", "outcome", gateway.log.outcome_counts)
    page.values("forwards_total", "outcome", gateway.log.forward_counts)
    page.values("not_run_responses_total", "proof", gateway.log.not_run_counts)
    for route, histogram in sorted(gateway.log.answer_times.items()):
        page.histogram("answer_seconds", histogram, route=route)
    page.histogram("attempt_seconds", gateway.log.attempt_times)
    page.value("open_requests", len(gateway.open_exchanges))
    page.value("target_connections_total", gateway.pool.created)
    _add_targets(page, gateway)
    _add_retries(page, gateway)
    page.value("servers_unreachable", int(gateway.steering.reachability.is_cut_off))
    page.value("requests_suspended", gateway.steering.suspects.count_suspended())
    page.value("entries_live", len(gateway.entry_ids))
    page.value("configuration_version", gateway.steering.version)
    _add_store(page, gateway)
    for source, ages in sorted(gateway.applier.departure_ages.items()):
        page.histogram("departure_age_seconds", ages, way=source)
    page.value("objects_malformed_total", gateway.applier.malformed_objects)
    page.value("configuration_parts_malformed_total", gateway.applier.malformed_parts)
    for name, count in gateway.steering.quotas.refusals_by_name.most_common(MAX_CUSTOMERS):
        page.value("quota_refusals_total", count, customer=name)
    page.value("news_malformed_total", gateway.news_port.malformed)
    page.value("unhandled_errors_total", errors.count)
    return page.text()


def _add_targets(page: Exposition, gateway: "Gateway") -> None:
    now = gateway.pool.seconds()
    leaving = Counter(
        target.registration.service
        for target in gateway.steering.targets.by_number.values()
        if target.leaving
    )
    page.values("targets_leaving", "service", leaving)
    for service, targets in sorted(gateway.steering.targets.by_service.items()):
        page.value("targets", len(targets), service=service)
        suspected = sum(target.breaker.suspected(now) for target in targets)
        page.value("targets_suspected", suspected, service=service)
        limited = gateway.steering.limits.count_limited(targets)
        page.value("targets_limited", limited, service=service)
        page.value("targets_resting", sum(t.is_backing_off(now) for t in targets), service=service)
        page.value("in_flight", sum(target.load for target in targets), service=service)


def _add_retries(page: Exposition, gateway: "Gateway") -> None:
    budgets = gateway.steering.retry_budgets
    for service, usage in budgets.usage_by_service(gateway.pool.seconds()).items():
        page.value("retries_used", usage.retries, service=service)
        page.value("retries_unanswered", usage.unanswered, service=service)
        page.value("retries_allowed", usage.allowed, service=service)
    page.values("retry_refusals_total", "service", budgets.refusals_by_service)
    for service, counts in sorted(gateway.steering.repeats.by_service.items()):
        for reason, count in sorted(counts.items()):
            page.value("attempts_repeated_total", count, service=service, reason=reason)
    page.value("retry_entries", budgets.entries.get(gateway.pool.seconds()))


def _add_store(page: Exposition, gateway: "Gateway") -> None:
    now = gateway.pool.seconds()
    for kind, sync in gateway.syncs.items():
        name = kind.name.lower()
        page.value("store_age_seconds", now - sync.current_at, kind=name)
        page.value("store_era", sync.replica.era, kind=name)
        page.value("store_calls_total", sync.answered_calls, kind=name, result="answered")
        page.value("store_calls_total", sync.failed_calls, kind=name, result="failed")
