"""Tests of limits on all entries together: cold servers, retries, failing servers."""

import math
import unittest
from collections import defaultdict
from dataclasses import dataclass, replace

from hypothesis import example, given, settings
from hypothesis import strategies as st

from briarspur.gateway.breaker import MIN_PAUSE_S, Breaker
from briarspur.gateway.coldstart import cold_bucket
from briarspur.gateway.configuration import Service
from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.fleet import Fleet
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.retrybudget import RetryBudget
from briarspur.gateway.retrybudgets import RetryBudgets
from briarspur.gateway.steering import MAX_HOLDUP_S
from briarspur.gateway.windowmaximum import WindowMaximum
from briarspur.gateway.work import Attempt, Refused
from tests.gateway.samples import begun, configuration, registration, sent, steering
from tools.soakretries import RetryBound

FIXED = settings(derandomize=True, deadline=None, database=None)


@dataclass(frozen=True, slots=True)
class LoadSpan:
    """A time with an even load.

    Attributes
    ----------
    fails : bool
        Whether servers fail all requests.
    restarts : bool
        Whether the entry's process restarts first.
    """

    length_s: float
    per_s: float
    fails: bool
    restarts: bool


SPACED_BURSTS = (
    LoadSpan(1.5, 200.0, False, False),
    LoadSpan(5.0, 5.0, False, False),
    LoadSpan(1.5, 200.0, True, False),
    LoadSpan(8.0, 5.0, True, False),
)
FAILING_AND_RESTARTING = (LoadSpan(3.0, 50.0, True, False), LoadSpan(8.0, 50.0, True, True))
LOAD_SPANS = st.builds(
    LoadSpan,
    st.sampled_from([0.5, 1.5, 3.0, 5.0, 8.0, 12.0]),
    st.sampled_from([5.0, 50.0, 200.0]),
    st.booleans(),
    st.booleans(),
)


def entry_record(entry_id: str) -> EntryRecord:
    return EntryRecord(entry_id, 1, "127.0.0.1", "a-1", "a", 80, 81, 82)


class ColdRateTest(unittest.TestCase):
    """A cold server gets no more requests than it can handle, from all entries together."""

    @FIXED
    @given(st.integers(1, 120), st.sampled_from([2.0, 11.0, 40.0]))
    def test_any_second_stays_within_the_rate_and_its_slack(self, fleet: int, rate: float) -> None:
        """Guards against a server that is overloaded and crashes each time it starts.

        Ninety entries each sent a first request to a server that had just started. It crashed
        immediately, restarted cold, and crashed again.
        """
        entries = [f"entry-{n}" for n in range(fleet)]
        made = [cold_bucket(entry, entries, "t-1", rate, 0.0) for entry in entries]
        buckets = [bucket for bucket in made if bucket is not None]
        self.assertTrue(buckets)
        by_second: dict[int, int] = defaultdict(int)
        times: list[float] = []
        for step in range(300):
            now = step * 0.01
            for bucket in buckets:
                while bucket.take(now):
                    times.append(now)
                    by_second[int(now)] += 1
        busiest = max(sum(t <= u < t + 1.0 for u in times) for t in times)
        self.assertLessEqual(busiest, 1.5 * rate + 5.0)

    def test_frequent_changes_of_the_fleet_keep_the_rate(self) -> None:
        """Guards against a cold server that gets a burst at each change of the live entries."""
        per_s, names = 3.0, [f"e-{number}" for number in range(10)]
        cores = [steering(0, entry_id=name) for name in names]
        for core in cores:
            changed = configuration(2)
            services = {"info": Service("info", 100, 3.0, per_s)}
            core.apply_configuration(replace(changed, services_by_name=services))
            core.targets.registered(registration("t-1", cold_s=60.0, slots=100), 0.0)
            core.set_live_entries(names)
        times: list[float] = []
        for step in range(300):
            now = step * 0.02
            for core in cores:
                if step % 12 == 0:
                    core.set_live_entries(names[: 10 - step // 12 % 2])
                attempt = core.next_attempt(begun(core, now, key=None), now)
                if isinstance(attempt, Attempt):
                    times.append(now)
                    core.attempt_ended(attempt, Outcome.ANSWERED, now + 0.01)
        busiest = max(sum(t <= u < t + 1.0 for u in times) for t in times)
        self.assertLessEqual(busiest, 1.5 * per_s + 5.0)
        self.assertGreater(len(times), 5)

    def test_entries_that_start_together_keep_the_rate(self) -> None:
        """Guards against entries that each send to a cold server before they hear of the others."""
        per_s, records = 3.0, [entry_record(f"e-{number}") for number in range(30)]
        attempts = 0
        for record in records:
            fleet = Fleet(record)
            for other in records:
                fleet.recorded(other)
            core = steering(0, entry_id=record.entry_id)
            services = {"info": Service("info", 100, 3.0, per_s)}
            core.apply_configuration(replace(configuration(2), services_by_name=services))
            core.targets.registered(registration("t-1", cold_s=60.0, slots=100), 0.0)
            core.set_live_entries(fleet.entry_ids(0.0))
            attempts += isinstance(core.next_attempt(begun(core, key=None), 0.0), Attempt)
        self.assertLessEqual(attempts, 1.5 * per_s + 5.0)


class RetryBudgetTest(unittest.TestCase):
    """The retries of all entries together stay within one limit."""

    @FIXED
    @given(st.integers(1, 40), st.integers(0, 400))
    def test_retries_of_all_entries_stay_within_the_budget(self, fleet: int, requests: int) -> None:
        budgets = [RetryBudget(0.2, 10.0, 60.0) for _ in range(fleet)]
        for number in range(requests):
            budgets[number % fleet].request_arrived(number * 0.001)
        retries = sum(sum(b.take(1.0, fleet) is not None for _ in range(500)) for b in budgets)
        self.assertLessEqual(retries, 0.2 * requests + 60.0)

    @FIXED
    @example([LoadSpan(12.0, 50.0, False, False), *FAILING_AND_RESTARTING])
    @example([*SPACED_BURSTS, *FAILING_AND_RESTARTING])
    @given(st.lists(LOAD_SPANS, min_size=2, max_size=10))
    def test_retries_of_successive_processes_stay_within_the_budget(
        self, spans: list[LoadSpan]
    ) -> None:
        """Guards against requests that pay for the retries of two processes, or of two bursts."""
        budget, now = RetryBudget(0.2, 10.0, 0.0), 0.0
        requests, retries = [], []
        for span in spans:
            if span.restarts:
                budget = RetryBudget(0.2, 10.0, 0.0)
            end = now + span.length_s
            while now < end:
                now += 1.0 / span.per_s
                requests.append(now)
                budget.request_arrived(now)
                retry = budget.take(now, 1) if span.fails else None
                if retry is not None:
                    retry.arrived_by = now
                    retries.append(now)
        worst = RetryBound(slack=0.0).worst_window(requests, retries)
        if worst is not None:
            self.assertLessEqual(worst[1], worst[2])

    def test_the_window_slides(self) -> None:
        budget = RetryBudget(0.0, 10.0, 5.0)
        retries = [retry for _ in range(10) if (retry := budget.take(0.0, 1)) is not None]
        self.assertEqual(4, len(retries))
        for retry in retries:
            retry.arrived_by = 0.0
        self.assertFalse(budget.take(9.9, 1))
        self.assertTrue(budget.take(10.1, 1))

    def test_shares_below_one_retry_add_up_to_the_allowance(self) -> None:
        """Guards against large fleets, or fleets that have just started, that never retry."""
        for entries, slack, expected in ((10, 5.0, 4.0), (300, 90.0, 72.0), (1_700, 800.0, 640.0)):
            allowed = 0
            for number in range(entries):
                budgets = RetryBudgets(f"e-{number}", 0.2, 10.0, slack)
                budgets.entries.set(entries, 0.0)
                allowed += sum(budgets.take("info", 1.0) is not None for _ in range(5))
            with self.subTest(entries=entries):
                self.assertLessEqual(abs(allowed - expected), 2.0 * math.sqrt(entries / 4.0))
                self.assertLessEqual(allowed, slack)

    def test_an_entry_has_its_share_of_the_slack_a_window_after_its_record(self) -> None:
        budgets = RetryBudgets("e-1", 0.2, 10.0, 60.0)
        budgets.entries.set(10, 0.0)
        budgets.recorded_at = math.inf
        self.assertIsNone(budgets.take("info", 100.0))
        budgets.record_found(100.0)
        budgets.record_found(105.0)
        self.assertIsNone(budgets.take("info", 109.9))
        self.assertIsNotNone(budgets.take("info", 110.0))

    def test_a_smaller_number_of_entries_counts_after_a_window(self) -> None:
        entries = WindowMaximum(10.0, 1)
        for at, value in ((0.0, 8), (1.0, 3), (2.0, 5), (3.0, 2)):
            entries.set(value, at)
        found = [entries.get(at) for at in (3.0, 10.9, 11.1, 12.9, 13.1)]
        self.assertEqual([8, 8, 5, 5, 2], found)

    def test_a_spent_budget_tells_its_state(self) -> None:
        budgets = RetryBudgets("e-1", 0.2, 10.0, 20.0)
        budgets.entries.set(4, 0.0)
        for number in range(10):
            budgets.request_arrived("info", number * 0.1)
        retries = [budgets.take("info", 1.0) for _ in range(10)]
        assert retries[0] is not None
        retries[0].arrived_by = 1.5
        self.assertEqual(5, budgets.refusals_by_service["info"])
        self.assertEqual(
            "5 of 4.8 retries used for 10 requests, 4 unanswered", str(budgets.usage("info", 2.0))
        )


class RetriesOfARequestTest(unittest.TestCase):
    """Which retries may still arrive at a server."""

    def test_a_retry_counts_until_a_window_after_its_answer(self) -> None:
        core = steering(3)
        work = begun(core)
        core.attempt_ended(sent(core, work), Outcome.REJECTED, 0.1)
        again = core.retry(work, Outcome.REJECTED, 0.1)
        assert isinstance(again, Attempt)
        usage = core.retry_budgets.usage
        self.assertEqual((1, 1), (usage("info", 1.9).retries, usage("info", 1.9).unanswered))
        core.attempt_ended(again, Outcome.ANSWERED, 1.9)
        self.assertEqual((1, 0), (usage("info", 11.8).retries, usage("info", 11.8).unanswered))
        self.assertEqual(0, usage("info", 12.0).retries)

    def test_a_retry_that_is_not_sent_is_returned_to_the_budget(self) -> None:
        """Guards against a budget that is used up for good by retries without time left."""
        core = steering(3)
        work = begun(core)
        first = sent(core, work)
        late = work.deadline - 0.001
        self.assertIsNone(core.hedge(work, late))
        core.attempt_ended(first, Outcome.REJECTED, late)
        self.assertIsInstance(core.retry(work, Outcome.REJECTED, late), Refused)
        self.assertEqual(0, core.retry_budgets.usage("info", late).retries)

    def test_a_retry_counts_from_the_attempt_that_was_sent(self) -> None:
        core = steering(3)
        work = begun(core)
        core.attempt_ended(sent(core, work), Outcome.REJECTED, 0.1)
        unsent = core.retry(work, Outcome.REJECTED, 0.1)
        assert isinstance(unsent, Attempt)
        core.attempt_ended(unsent, Outcome.NOT_SENT, 0.2)
        again = core.retry(work, Outcome.NOT_SENT, 0.2)
        assert isinstance(again, Attempt)
        usage = core.retry_budgets.usage
        self.assertEqual((1, 1), (usage("info", 1.5).retries, usage("info", 1.5).unanswered))
        core.attempt_ended(again, Outcome.ANSWERED, 1.5)
        self.assertEqual(1, usage("info", 11.4).retries)
        self.assertEqual(0, usage("info", 11.6).retries)

    def test_a_hedge_may_arrive_after_the_first_attempt_was_given_up(self) -> None:
        core = steering(3)
        work = begun(core)
        first = sent(core, work)
        second = core.hedge(work, 1.0)
        assert second is not None
        core.attempt_ended(second, Outcome.ANSWERED, 1.2)
        core.attempt_ended(first, Outcome.ABANDONED, 1.2)
        usage = core.retry_budgets.usage
        self.assertEqual(1, usage("info", 1.3).unanswered)
        self.assertEqual(1, usage("info", 1.1 + MAX_HOLDUP_S + 10.0).retries)
        self.assertEqual(0, usage("info", 1.3 + MAX_HOLDUP_S + 10.0).retries)


class BreakerTest(unittest.TestCase):
    """One request at a time tests whether a server has recovered."""

    def test_one_trial_request_is_allowed_after_the_pause(self) -> None:
        breaker = Breaker()
        breaker.failed(0.0)
        self.assertFalse(breaker.allows(MIN_PAUSE_S - 0.01))
        self.assertTrue(breaker.allows(MIN_PAUSE_S + 0.01))
        breaker.sent()
        self.assertFalse(breaker.allows(MIN_PAUSE_S + 0.02))
        breaker.failed(MIN_PAUSE_S + 0.05)
        self.assertFalse(breaker.allows(2 * MIN_PAUSE_S + 0.04))
        self.assertTrue(breaker.allows(3 * MIN_PAUSE_S + 0.06))
        breaker.sent()
        breaker.succeeded()
        self.assertTrue(breaker.allows(3 * MIN_PAUSE_S + 0.07))

    def test_failures_of_concurrent_requests_count_once(self) -> None:
        breaker = Breaker()
        for _ in range(10):
            breaker.failed(0.0)
        self.assertTrue(breaker.allows(MIN_PAUSE_S + 0.01))
