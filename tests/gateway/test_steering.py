"""Tests of the decisions about requests."""

import unittest
from collections import Counter

from briarspur.codes import Code
from briarspur.gateway.breaker import LAPSE
from briarspur.gateway.configuration import RouteKind
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.steering import Steering
from briarspur.gateway.target import FORGET_PER_S
from briarspur.gateway.work import STARTING_RETRY_AFTER, Attempt, Bounds, Refused
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


class PlacingTest(unittest.TestCase):
    """Which server takes a request."""

    def test_entries_agree_on_the_first_server_of_an_object(self) -> None:
        first = {
            sent(steering(6, me=f"e-{n}"), begun(steering(6))).target.registration.target_id
            for n in range(4)
        }
        self.assertEqual(1, len(first))

    def test_an_object_stays_where_it_is_warm(self) -> None:
        made = steering(6)
        attempt = sent(made, begun(made))
        made.ended(attempt, Outcome.ANSWERED, 0.3)
        for number in range(5):
            again = sent(made, begun(made, now=1.0 + number), 1.0 + number)
            self.assertIs(attempt.target, again.target)
            self.assertTrue(again.warm)
            made.ended(again, Outcome.ANSWERED, 1.1 + number)

    def test_overlapping_requests_of_an_object_go_to_one_server(self) -> None:
        """The first seconds after a start: no object is warm anywhere, and requests overlap.

        When an object counted as warm only after its first answer, each overlapping request was
        sent to another idle server and took the cold time there: 868 of 1,390 were late.
        """
        made = steering(6, slots=4)
        targets = {sent(made, begun(made)).target for _ in range(4)}
        self.assertEqual(1, len(targets))

    def test_a_busy_server_is_left_for_another_one(self) -> None:
        made = steering(3, slots=2)
        counts = Counter(sent(made, begun(made)).target for _ in range(6))
        self.assertGreaterEqual(len(counts), 2)
        self.assertLessEqual(max(counts.values()), 3)

    def test_what_nobody_can_answer_in_time_is_refused_at_once(self) -> None:
        made = steering(1, slots=2)
        refused = None
        for _ in range(20):
            step = made.next_attempt(begun(made), 0.0)
            if isinstance(step, Refused):
                refused = step
                break
        assert refused is not None
        self.assertIs(Code.OVERLOADED, refused.code)
        self.assertGreater(refused.retry_after or 0.0, 0.0)

    def test_a_newcomer_gets_objects_though_they_are_warm_elsewhere(self) -> None:
        """Servers are added while all objects are warm at the old ones.

        No object ever moved to a new server, since its first request there would have been cold:
        six of ten servers that joined got nothing.
        """
        made = steering(2, slots=4)
        now = 0.0
        for number in range(40):
            now += 0.1
            made.ended(
                sent(made, begun(made, now, key=b"%d" % number), now), Outcome.ANSWERED, now + 0.05
            )
        made.targets.registered(registration("new", slots=4), now)
        new = made.targets.get("new")
        assert new is not None
        used = 0
        for number in range(40):
            now += 0.1
            attempt = sent(made, begun(made, now, key=b"%d" % number), now)
            used += attempt.target is new
            made.ended(attempt, Outcome.ANSWERED, now + 0.05)
        self.assertGreater(used, 2)

    def test_an_object_that_was_forgotten_goes_back_to_where_it_still_is(self) -> None:
        """After a burst every fifth request takes the cold time for as long as the load lasts.

        The burst spread the objects over more servers than can keep them. Each entry went on
        sending them to all these, and each request took the place of another's object.
        """
        made = steering(2)
        first, second = made.targets.by_service["info"]
        work = begun(made)
        for target in (first, second):
            assert work.key is not None
            for key in (work.key, 1, 2, 3, 4):
                target.warmth.add(key)
        attempt = sent(made, work)
        made.ended(attempt, Outcome.ANSWERED, 0.36)
        self.assertNotIn(work.key, attempt.target.warmth)
        again = sent(made, begun(made, 1.0), 1.0)
        self.assertIsNot(attempt.target, again.target)
        made.ended(again, Outcome.ANSWERED, 1.36)
        self.assertIn(work.key, again.target.warmth, "nobody else has it")

    def test_one_lost_answer_does_not_put_a_server_out_of_use_for_bookings(self) -> None:
        """One answer of a booking server is lost, and it never gets a booking again.

        It was suspected from then on, which counted as 2 s, and only an answer would have ended
        that. No other requests go to that service, so its load stayed on the other servers.
        """
        made = steering(2, [BOOKING], slots=4)
        work = begun(made, path="/booking/x")
        lost = sent(made, work)
        made.ended(lost, Outcome.LOST, 0.3)
        at_once = sent(made, begun(made, now=1.0, path="/booking/x"), 1.0)
        self.assertIsNot(lost.target, at_once.target)
        made.ended(at_once, Outcome.ABANDONED, 1.1)
        later = 0.3 + LAPSE + 0.1
        again = {
            sent(made, begun(made, now=later, key=b"%d" % n, path="/booking/x"), later).target
            for n in range(4)
        }
        self.assertIn(lost.target, again)

    def test_trouble_is_forgotten_without_answers(self) -> None:
        """A server fails for some seconds and is avoided from then on, though it works again."""
        made = steering(1)
        target = made.targets.by_service["info"][0]
        for _ in range(20):
            target.learn_trouble(True, 10.0)
        self.assertGreater(target.current_trouble(10.0), 0.8)
        self.assertEqual(0.0, target.current_trouble(10.0 + 1.0 / FORGET_PER_S))

    def test_regions_of_a_route_bind(self) -> None:
        made = steering(0, [route(regions=frozenset({"b"}))])
        made.targets.registered(registration("near", zone="a-1"), 0.0)
        self.assertIsInstance(made.next_attempt(begun(made), 0.0), Refused)
        made.targets.registered(registration("far", zone="b-1"), 0.0)
        self.assertEqual("far", sent(made, begun(made)).target.registration.target_id)

    def test_an_evacuated_zone_gets_nothing_and_returns_cold(self) -> None:
        made = steering(2)
        made.targets.evacuate({"a-1"}, 0.0)
        step = made.next_attempt(begun(made), 0.0)
        assert isinstance(step, Refused)
        self.assertIs(Code.NO_TARGET, step.code)
        made.targets.evacuate((), 5.0)
        sends = [made.next_attempt(begun(made, 5.0), 5.0) for _ in range(30)]
        self.assertLessEqual(sum(isinstance(s, Attempt) for s in sends), 2)

    def test_another_server_at_the_address_ends_its_use(self) -> None:
        made = steering(1)
        attempt = sent(made, begun(made))
        made.ended(attempt, Outcome.MISDIRECTED, 0.1)
        self.assertIsInstance(made.next_attempt(begun(made), 0.1), Refused)
        made.targets.registered(registration("t-0", born=2), 0.2)
        self.assertIsInstance(made.next_attempt(begun(made), 0.2), Attempt)

    def test_a_server_that_starts_again_under_its_id_knows_nothing(self) -> None:
        made = steering(1)
        old = sent(made, begun(made)).target
        made.targets.registered(registration("t-0", born=2), 1.0)
        new = sent(made, begun(made, 1.0), 1.0)
        self.assertIsNot(old, new.target)
        self.assertFalse(new.warm)
        self.assertEqual(1, new.target.load)


class RetryTest(unittest.TestCase):
    """What is sent again."""

    def test_a_booking_is_sent_again_only_if_it_surely_was_not_run(self) -> None:
        for outcome in Outcome:
            made = steering(3, [BOOKING])
            work = begun(made, path="/booking/1")
            attempt = sent(made, work)
            made.ended(attempt, outcome, 0.1)
            again = made.retry(work, outcome, 0.1)
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

    def test_another_server_takes_the_repeat(self) -> None:
        made = steering(3)
        work = begun(made)
        first = sent(made, work)
        made.ended(first, Outcome.LOST, 0.1)
        again = made.retry(work, Outcome.LOST, 0.1)
        assert isinstance(again, Attempt)
        self.assertIsNot(first.target, again.target)

    def test_attempts_are_bounded(self) -> None:
        made = steering(5)
        work = begun(made)
        for _ in range(2):
            made.ended(sent(made, work), Outcome.REJECTED, 0.1)
        step = made.retry(work, Outcome.REJECTED, 0.1)
        assert isinstance(step, Refused)
        self.assertIs(Code.ATTEMPTS_SPENT, step.code)

    def test_a_spent_budget_ends_in_a_refusal(self) -> None:
        made = steering(5, bounds=Bounds(retry_ratio=0.0, retry_slack=0.0))
        work = begun(made)
        made.ended(sent(made, work), Outcome.REJECTED, 0.1)
        step = made.retry(work, Outcome.REJECTED, 0.1)
        assert isinstance(step, Refused)
        self.assertIs(Code.RETRY_BUDGET_SPENT, step.code)

    def test_a_late_request_gets_a_second_server_once(self) -> None:
        made = steering(3)
        work = begun(made)
        first = sent(made, work)
        made.overdue(first, 1.0)
        second = made.hedge(work, 1.0)
        assert second is not None
        self.assertIsNot(first.target, second.target)
        self.assertIsNone(made.hedge(work, 1.1))
        self.assertGreater(first.target.current_speed(1.0), 2.0)

    def test_a_late_booking_gets_none(self) -> None:
        made = steering(3, [BOOKING])
        work = begun(made, path="/booking/1")
        sent(made, work)
        self.assertIsNone(made.hedge(work, 1.0))


class ConfigurationTest(unittest.TestCase):
    """What is in force never goes back."""

    def test_an_older_version_is_not_taken(self) -> None:
        made = steering()
        self.assertTrue(made.configuration_accepted(configuration(5)))
        self.assertFalse(made.configuration_accepted(configuration(4)))
        self.assertEqual(5, made.version)

    def test_without_a_configuration_callers_are_to_come_back(self) -> None:
        made = Steering("e", "a-1", "a", ZONE_REGIONS, Bounds())
        step = made.begin(arrival(), 0.0)
        assert isinstance(step, Refused)
        self.assertIs(Code.NOT_READY, step.code)

    def test_an_entry_that_knows_no_server_yet_says_when_to_come_back(self) -> None:
        """Callers of an entry that has just started come back a second later, most of them in vain.

        It was ready after 0.35 s, but told them to wait for 1 s of the 1.1 s that they had.
        """
        for made in (Steering("e", "a-1", "a", ZONE_REGIONS, Bounds()), steering(0)):
            step = made.begin(arrival(), 0.0)
            if not isinstance(step, Refused):
                refused = made.next_attempt(step, 0.0)
                assert isinstance(refused, Refused)
                step = refused
            self.assertIs(Code.NOT_READY, step.code)
            self.assertEqual(STARTING_RETRY_AFTER, step.retry_after)

    def test_a_route_that_is_not_there(self) -> None:
        step = steering().begin(arrival(path="/other/"), 0.0)
        assert isinstance(step, Refused)
        self.assertIs(Code.NO_ROUTE, step.code)

    def test_the_route_bounds_the_callers_patience(self) -> None:
        made = steering(routes=[route(timeout=0.8)])
        self.assertEqual(0.8, begun(made, patience=5.0).deadline)
        self.assertEqual(0.5, begun(made, patience=0.5).deadline)
