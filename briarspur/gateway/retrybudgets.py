"""One entry's retry budgets of all services."""

import math
from collections import Counter
from dataclasses import dataclass
from zlib import crc32

from briarspur import logs
from briarspur.gateway.retrybudget import BudgetUsage, Retry, RetryBudget
from briarspur.gateway.windowmaximum import WindowMaximum

__all__ = ["RetryBudgets"]

HASH_RANGE = 1 << 32


@dataclass(slots=True)
class _ServiceBudget:
    budget: RetryBudget
    logged_at: float = float("-inf")


class RetryBudgets:
    """Decides whether a request may be sent to a service once more.

    Parameters
    ----------
    ratio, slack : float
        Retries that all entries together may send to a service in a window: a share of its
        requests, and a number beyond that.
    window : float
        Length of the window in seconds.

    Attributes
    ----------
    entries : WindowMaximum
        Number of entries that share the slack.
    recorded_at : float
        When this entry's record was first known to be in the store; infinite before that, and minus
        infinity if the entry has run for long.
    refusals_by_service : Counter
        Retries that the budget did not allow.
    """

    # The slack is divided by the number of recorded entries, not of entries that appear live. An
    # entry that is shutting down, whose news is late or that is still unknown here sends retries
    # too; with a smaller divisor the shares would add up to more than the limit. For the same
    # reason a smaller number counts only after a window: entries whose records are gone may have
    # used their shares before, or the store may have lost the records of entries that run.
    #
    # An entry uses no slack until its record has been known for a window. Before that, its former
    # process may have used the same share, or the other entries that of a smaller divisor.

    def __init__(self, entry_id: str, ratio: float, window: float, slack: float) -> None:
        self._entry_id = entry_id
        self._ratio = ratio
        self._window = window
        self._slack = slack
        self._by_service: dict[str, _ServiceBudget] = {}
        self.entries = WindowMaximum(window, 1)
        self.recorded_at = -math.inf
        self.refusals_by_service: Counter[str] = Counter()

    def record_found(self, now: float) -> None:
        """Record that this entry's record is in the store."""
        self.recorded_at = min(self.recorded_at, now)

    def request_arrived(self, service: str, now: float) -> None:
        """Count a request that a caller sent."""
        self._budget(service).budget.request_arrived(now)

    def take(self, service: str, now: float, share: float = 1.0) -> Retry | None:
        """Count a retry and return it, or None if the budget does not allow it.

        Parameters
        ----------
        share : float
            Share of the allowance that this retry may use.
        """
        found = self._budget(service)
        retry = found.budget.take(now, self._divisor(now), share)
        if retry is None:
            self.refusals_by_service[service] += 1
            self._log_refusal(service, found, now)
        return retry

    def usage(self, service: str, now: float) -> BudgetUsage:
        """Return the state of a service's budget."""
        return self._budget(service).budget.usage(now, self._divisor(now))

    def usage_by_service(self, now: float) -> dict[str, BudgetUsage]:
        """Return the state of the budgets of all services that had requests."""
        return {service: self.usage(service, now) for service in sorted(self._by_service)}

    def _divisor(self, now: float) -> float:
        if now < self.recorded_at + self._window:
            return math.inf
        return self.entries.get(now)

    def _budget(self, service: str) -> _ServiceBudget:
        found = self._by_service.get(service)
        if found is None:
            rounding = crc32(f"{self._entry_id}/{service}".encode()) / HASH_RANGE
            budget = RetryBudget(self._ratio, self._window, self._slack, rounding)
            found = _ServiceBudget(budget)
            self._by_service[service] = found
        return found

    def _log_refusal(self, service: str, found: _ServiceBudget, now: float) -> None:
        """Log the state of a budget that is spent, once in a window."""
        if now - found.logged_at < self._window:
            return
        found.logged_at = now
        usage = found.budget.usage(now, self._divisor(now))
        logs.event(
            "retry-budget-spent",
            service=service,
            requests=usage.requests,
            retries=usage.retries,
            unanswered=usage.unanswered,
            allowed=f"{usage.allowed:.1f}",
            entries=self._divisor(now),
        )
