"""Tests of the routing decisions of one entry."""

import unittest
from collections import Counter

from briarspur.codes import Code
from briarspur.gateway.breaker import FAILURE_EXPIRY_S
from briarspur.gateway.configuration import RouteKind
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.steering import Steering
from briarspur.gateway.target import DECAY_PER_S
from briarspur.gateway.work import STARTING_RETRY_AFTER_S, Attempt, Bounds, Refused
from tests.gateway.samples import (
    ZONE_REGIONS,
    arrival,
    begun,
    configuration,
    registration,
    route,
    sent,
    steering,
)

BOOKING = route("booking", "/booking/", RouteKind.ONCE_ONLY)


class ServerChoiceTest(unittest.TestCase):
    """Which server is chosen for a request."""

    def test_entries_agree_on_the_first_server_of_an_object(self) -> None:
        first = {
            sent(steering(6, entry_id=f"e-{n}"), begun(steering(6))).target.registration.target_id
            for n in range(4)
        }
        self.assertEqual(1, len(first))

    def test_an_object_stays_where_it_is_warm(self) -> None:
        core = steering(6)
        attempt = sent(core, begun(core))
        core.attempt_ended(attempt, Outcome.ANSWERED, 0.3)
        for number in range(5):
            again = sent(core, begun(core, now=1.0 + number), 1.0 + number)
            self.assertIs(attempt.target, again.target)
            self.assertTrue(again.warm)
            core.attempt_ended(again, Outcome.ANSWERED, 1.1 + number)

    def test_overlapping_requests_of_an_object_go_to_one_server(self) -> None:
        """Guards against cold runs of overlapping requests in the first seconds after a start.

        No object is warm anywhere then. When an object counted as warm only after its first answer,
        each overlapping request went to another idle server and took the cold time there: 868 of
        1,390 were late.
        """
        core = steering(6, slots=4)
        targets = {sent(core, begun(core)).target for _ in range(4)}
        self.assertEqual(1, len(targets))

    def test_requests_move_from_a_busy_server_to_another_one(self) -> None:
        core = steering(3, slots=2)
        counts = Counter(sent(core, begun(core)).target for _ in range(6))
        self.assertGreaterEqual(len(counts), 2)
        self.assertLessEqual(max(counts.values()), 3)

    def test_a_request_that_no_server_can_answer_in_time_is_refused_at_once(self) -> None:
        core = steering(1, slots=2)
        refused = None
        for _ in range(20):
            step = core.next_attempt(begun(core), 0.0)
            if isinstance(step, Refused):
                refused = step
                break
        assert refused is not None
        self.assertIs(Code.OVERLOADED, refused.code)
        self.assertGreater(refused.retry_after or 0.0, 0.0)

    def test_a_new_server_gets_objects_that_are_warm_elsewhere(self) -> None:
        """Guards against new servers that stay idle because all objects are warm at the old ones.

        No object moved to a new server, since its first request there would have been cold: six of
        ten servers that joined got nothing.
        """
        core = steering(2, slots=4)
        now = 0.0
        for number in range(40):
            now += 0.1
            core.attempt_ended(
                sent(core, begun(core, now, key=b"%d" % number), now), Outcome.ANSWERED, now + 0.05
            )
        core.targets.registered(registration("new", slots=4), now)
        new = core.targets.get("new")
        assert new is not None
        used = 0
        for number in range(40):
            now += 0.1
            attempt = sent(core, begun(core, now, key=b"%d" % number), now)
            used += attempt.target is new
            core.attempt_ended(attempt, Outcome.ANSWERED, now + 0.05)
        self.assertGreater(used, 2)

    def test_after_a_cache_miss_an_object_returns_to_a_server_that_still_holds_it(self) -> None:
        """Guards against objects that stay spread over too many servers after a burst.

        The burst spread the objects over more servers than can keep them. Each entry continued to
        use all these servers, and each request evicted the object of another one: every fifth
        request took the cold time for as long as the load lasted.
        """
        core = steering(2)
        first, second = core.targets.by_service["info"]
        work = begun(core)
        for target in (first, second):
            assert work.key is not None
            for key in (work.key, 1, 2, 3, 4):
                target.warmth.add(key)
        attempt = sent(core, work)
        core.attempt_ended(attempt, Outcome.ANSWERED, 0.36)
        self.assertNotIn(work.key, attempt.target.warmth)
        again = sent(core, begun(core, 1.0), 1.0)
        self.assertIsNot(attempt.target, again.target)
        core.attempt_ended(again, Outcome.ANSWERED, 1.36)
        self.assertIn(work.key, again.target.warmth, "no other server holds it")

    def test_one_lost_answer_does_not_put_a_server_out_of_use_for_bookings(self) -> None:
        """Guards against a booking server that gets no bookings after one lost answer.

        The server stayed suspected, which added 2 s to its cost, until its next answer. No other
        requests go to that service, so no answer came and its load stayed on the other servers.
        """
        core = steering(2, [BOOKING], slots=4)
        work = begun(core, path="/booking/x")
        lost = sent(core, work)
        core.attempt_ended(lost, Outcome.LOST, 0.3)
        at_once = sent(core, begun(core, now=1.0, path="/booking/x"), 1.0)
        self.assertIsNot(lost.target, at_once.target)
        core.attempt_ended(at_once, Outcome.ABANDONED, 1.1)
        later = 0.3 + FAILURE_EXPIRY_S + 0.1
        again = {
            sent(core, begun(core, now=later, key=b"%d" % n, path="/booking/x"), later).target
            for n in range(4)
        }
        self.assertIn(lost.target, again)

    def test_the_error_rate_decays_without_answers(self) -> None:
        """Guards against avoiding a server forever after it failed for some seconds."""
        core = steering(1)
        target = core.targets.by_service["info"][0]
        for _ in range(20):
            target.learn_error(True, 10.0)
        self.assertGreater(target.current_error_rate(10.0), 0.8)
        self.assertEqual(0.0, target.current_error_rate(10.0 + 1.0 / DECAY_PER_S))

    def test_a_request_stays_in_the_regions_of_its_route(self) -> None:
        core = steering(0, [route(regions=frozenset({"b"}))])
        core.targets.registered(registration("near", zone="a-1"), 0.0)
        self.assertIsInstance(core.next_attempt(begun(core), 0.0), Refused)
        core.targets.registered(registration("far", zone="b-1"), 0.0)
        self.assertEqual("far", sent(core, begun(core)).target.registration.target_id)

    def test_an_evacuated_zone_gets_no_requests_and_is_cold_on_its_return(self) -> None:
        core = steering(2)
        core.targets.evacuate({"a-1"}, 0.0)
        step = core.next_attempt(begun(core), 0.0)
        assert isinstance(step, Refused)
        self.assertIs(Code.NO_TARGET, step.code)
        core.targets.evacuate((), 5.0)
        sends = [core.next_attempt(begun(core, 5.0), 5.0) for _ in range(30)]
        self.assertLessEqual(sum(isinstance(s, Attempt) for s in sends), 2)

    def test_a_misdirected_answer_ends_the_use_of_the_server(self) -> None:
        core = steering(1)
        attempt = sent(core, begun(core))
        core.attempt_ended(attempt, Outcome.MISDIRECTED, 0.1)
        self.assertIsInstance(core.next_attempt(begun(core), 0.1), Refused)
        core.targets.registered(registration("t-0", born=2), 0.2)
        self.assertIsInstance(core.next_attempt(begun(core), 0.2), Attempt)

    def test_a_server_that_restarts_under_its_id_holds_no_objects(self) -> None:
        core = steering(1)
        old = sent(core, begun(core)).target
        core.targets.registered(registration("t-0", born=2), 1.0)
        new = sent(core, begun(core, 1.0), 1.0)
        self.assertIsNot(old, new.target)
        self.assertFalse(new.warm)
        self.assertEqual(1, new.target.load)


class RetryTest(unittest.TestCase):
    """Which requests are retried or hedged."""

    def test_a_booking_is_retried_only_if_it_was_provably_not_run(self) -> None:
        for outcome in Outcome:
            core = steering(3, [BOOKING])
            work = begun(core, path="/booking/1")
            attempt = sent(core, work)
            core.attempt_ended(attempt, outcome, 0.1)
            again = core.retry(work, outcome, 0.1)
            with self.subTest(outcome):
                proven = outcome in (
                    Outcome.NOT_SENT,
                    Outcome.DEPARTED,
                    Outcome.REJECTED,
                    Outcome.MISDIRECTED,
                )
                self.assertEqual(proven, isinstance(again, Attempt))
                if not proven:
                    # A refusal would promise that it was not run.
                    self.assertIsNone(again)

    def test_a_retry_goes_to_another_server(self) -> None:
        core = steering(3)
        work = begun(core)
        first = sent(core, work)
        core.attempt_ended(first, Outcome.LOST, 0.1)
        again = core.retry(work, Outcome.LOST, 0.1)
        assert isinstance(again, Attempt)
        self.assertIsNot(first.target, again.target)

    def test_attempts_are_bounded(self) -> None:
        core = steering(5)
        work = begun(core)
        for _ in range(2):
            core.attempt_ended(sent(core, work), Outcome.REJECTED, 0.1)
        step = core.retry(work, Outcome.REJECTED, 0.1)
        assert isinstance(step, Refused)
        self.assertIs(Code.ATTEMPTS_SPENT, step.code)

    def test_a_retry_beyond_the_budget_is_refused(self) -> None:
        core = steering(5, bounds=Bounds(retry_ratio=0.0, retry_slack=0.0))
        work = begun(core)
        core.attempt_ended(sent(core, work), Outcome.REJECTED, 0.1)
        step = core.retry(work, Outcome.REJECTED, 0.1)
        assert isinstance(step, Refused)
        self.assertIs(Code.RETRY_BUDGET_SPENT, step.code)

    def test_an_overdue_request_is_hedged_once(self) -> None:
        core = steering(3)
        work = begun(core)
        first = sent(core, work)
        core.record_overdue(first, 1.0)
        second = core.hedge(work, 1.0)
        assert second is not None
        self.assertIsNot(first.target, second.target)
        self.assertIsNone(core.hedge(work, 1.1))
        self.assertGreater(first.target.current_slowdown(1.0), 2.0)

    def test_a_booking_is_not_hedged(self) -> None:
        core = steering(3, [BOOKING])
        work = begun(core, path="/booking/1")
        sent(core, work)
        self.assertIsNone(core.hedge(work, 1.0))


class ConfigurationTest(unittest.TestCase):
    """How the configuration and the lack of one affect requests."""

    def test_an_older_version_is_not_applied(self) -> None:
        core = steering()
        self.assertTrue(core.apply_configuration(configuration(5)))
        self.assertFalse(core.apply_configuration(configuration(4)))
        self.assertEqual(5, core.version)

    def test_without_a_configuration_requests_are_refused_as_not_ready(self) -> None:
        core = Steering("e", "a-1", "a", ZONE_REGIONS, Bounds())
        step = core.begin(arrival(), 0.0)
        assert isinstance(step, Refused)
        self.assertIs(Code.NOT_READY, step.code)

    def test_an_entry_that_knows_no_server_yet_sends_a_short_retry_after(self) -> None:
        """Guards against a Retry-After of an entry at its start that uses up the callers' time.

        The entry was ready after 0.35 s, but asked callers to wait for 1 s of the 1.1 s they had.
        """
        for core in (Steering("e", "a-1", "a", ZONE_REGIONS, Bounds()), steering(0)):
            step = core.begin(arrival(), 0.0)
            if not isinstance(step, Refused):
                refused = core.next_attempt(step, 0.0)
                assert isinstance(refused, Refused)
                step = refused
            self.assertIs(Code.NOT_READY, step.code)
            self.assertEqual(STARTING_RETRY_AFTER_S, step.retry_after)

    def test_a_request_without_a_route_is_refused(self) -> None:
        step = steering().begin(arrival(path="/other/"), 0.0)
        assert isinstance(step, Refused)
        self.assertIs(Code.NO_ROUTE, step.code)

    def test_the_timeout_of_the_route_bounds_that_of_the_caller(self) -> None:
        core = steering(routes=[route(timeout=0.8)])
        self.assertEqual(0.8, begun(core, timeout=5.0).deadline)
        self.assertEqual(0.5, begun(core, timeout=0.5).deadline)
