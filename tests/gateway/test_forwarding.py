"""Tests of requests that are passed on to other entries."""

import unittest
from collections import Counter
from dataclasses import replace

from twisted.web.http_headers import Headers

from briarspur.answerhead import AnswerHead
from briarspur.codes import Code
from briarspur.gateway.configuration import RouteKind
from briarspur.gateway.content import RequestContent
from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.fleet import Fleet
from briarspur.gateway.forwarding import ForwardAttempt, Forwarding
from briarspur.gateway.loadview import SeenEntry
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.steering import Steering
from briarspur.gateway.work import Attempt, Refused, Work
from briarspur.platform.dialect import PlatformDialect
from tests.gateway.samples import arrival, begun, route, sent, steering


def entry(number: int, zone: str = "a-1", processor: float = 1.0) -> EntryRecord:
    return EntryRecord(f"e-{number}", 1, f"h-{number}", zone, zone[0], 80, 81, 82, processor)


def cut_off(core: Steering, helpers: list[EntryRecord]) -> Steering:
    """Let a core detect that it reaches no server."""
    core.reachability.record_unconnected(1)
    core.reachability.record_unconnected(2)
    core.reachability.begin_round(3, 0.0)
    core.reachability.end_round(0, 3, 3, 0.0)
    core.forwarding = Forwarding("e-0", "a-1", "a", lambda now: helpers)
    return core


def forwarded(core: Steering, work: Work, now: float = 1.0) -> ForwardAttempt:
    attempt = core.next_attempt(work, now)
    assert isinstance(attempt, ForwardAttempt), attempt
    return attempt


class SpreadTest(unittest.TestCase):
    """Which entry gets a request."""

    def test_near_entries_are_preferred_until_they_have_many_requests(self) -> None:
        """Guards against one entry that gets the requests of all that are cut off."""
        core = cut_off(steering(), [entry(1), entry(2, "a-2"), entry(3, "b-1"), entry(4, "b-1")])
        chosen: Counter[str] = Counter()
        for number in range(60):
            chosen[forwarded(core, begun(core, request_id=f"r-{number}")).helper.entry_id] += 1
        self.assertGreaterEqual(chosen["e-1"], chosen["e-2"])
        self.assertGreater(chosen["e-2"], chosen["e-3"])
        self.assertGreater(min(chosen.values()), 8)

    def test_entries_that_can_do_more_get_more(self) -> None:
        core = cut_off(steering(), [entry(1), entry(2, processor=3.0)])
        chosen: Counter[str] = Counter()
        for number in range(40):
            chosen[forwarded(core, begun(core, request_id=f"r-{number}")).helper.entry_id] += 1
        self.assertGreater(chosen["e-2"], 2 * chosen["e-1"])

    def test_requests_with_home_regions_stay_there(self) -> None:
        """Guards against bodies that leave the regions to which a route is bound."""
        core = cut_off(
            steering(routes=[route(regions=frozenset("b"))]), [entry(1), entry(2, "b-1")]
        )
        for _ in range(9):
            self.assertEqual("e-2", forwarded(core, begun(core)).helper.entry_id)

    def test_the_fleet_is_searched_at_intervals(self) -> None:
        """Guards against a search of all entries of a large fleet for each request."""
        searches: list[float] = []

        def helpers(now: float) -> list[EntryRecord]:
            searches.append(now)
            return [entry(number, "a-1" if number % 9 == 0 else "b-1") for number in range(900)]

        core = cut_off(steering(), [])
        core.forwarding = Forwarding("e-0", "a-1", "a", helpers)
        for number in range(50):
            helper = forwarded(core, begun(core, request_id=f"r-{number}"), 1.0).helper
            self.assertEqual("a-1", helper.zone)
        self.assertEqual(1, len(searches))

    def test_entries_that_are_cut_off_get_none(self) -> None:
        fleet = Fleet(entry(0))
        for number in (1, 2):
            fleet.recorded(entry(number))
            fleet.record_seen(SeenEntry(f"e-{number}", 1, False, 0.0, number == 1), 0.0)
        self.assertEqual(["e-2"], [record.entry_id for record in fleet.helpers(0.0)])
        callers = [record.entry_id for record in fleet.for_caller("a", "a-1", 0.0)]
        self.assertEqual(["e-0", "e-2"], callers, "callers are not sent there")
        fleet.cut_off = True
        self.assertEqual(["e-2"], [r.entry_id for r in fleet.for_caller("a", "a-1", 0.0)])
        fleet.record_seen(SeenEntry("e-2", 1, False, 0.0, True), 0.1)
        self.assertEqual(3, len(fleet.for_caller("a", "a-1", 0.1)), "all are cut off")

    def test_what_entries_see_of_others_is_passed_on(self) -> None:
        """Guards against large fleets in which only the neighbours learn of a cut."""
        fleet, other = Fleet(entry(0)), Fleet(entry(1))
        fleet.recorded(entry(2))
        other.recorded(entry(0))
        other.recorded(entry(2))
        for is_cut_off, at in ((True, 0.0), (False, 0.2), (True, 0.4)):
            fleet.cut_off = is_cut_off
            fleet.record_seen(SeenEntry("e-2", 1, False, 0.0, is_cut_off), at)
            other.record_all_seen(fleet.seen_entries(at, lambda record: True), at)
            self.assertEqual(0 if is_cut_off else 2, len(other.helpers(at)))


class SteeringTest(unittest.TestCase):
    """Requests of an entry that reaches no server, and at the entry that gets them."""

    def test_without_another_entry_servers_are_tried(self) -> None:
        """Guards against refusing everything when all entries are cut off, or none is."""
        core = cut_off(steering(), [])
        self.assertIsInstance(core.next_attempt(begun(core), 1.0), Attempt)

    def test_a_request_is_passed_on_once(self) -> None:
        """Guards against requests that entries pass to and fro."""
        core = cut_off(steering(), [entry(1)])
        work = core.begin(arrival(), 1.0, is_forwarded=True)
        assert isinstance(work, Work)
        refused = core.next_attempt(work, 1.0)
        assert isinstance(refused, Refused)
        self.assertIs(Code.NOT_READY, refused.code)

    def test_a_failed_entry_is_not_tried_again(self) -> None:
        core = cut_off(steering(), [entry(1), entry(2)])
        work = begun(core)
        first = forwarded(core, work)
        core.forward_ended(first, Outcome.NOT_SENT, 1.1)
        second = core.retry(work, Outcome.NOT_SENT, 1.1)
        assert isinstance(second, ForwardAttempt)
        self.assertNotEqual(first.helper.entry_id, second.helper.entry_id)

    def test_a_booking_that_another_entry_may_have_sent_is_not_repeated(self) -> None:
        core = cut_off(
            steering(routes=[route("book", "/book/", RouteKind.ONCE_ONLY)]), [entry(1), entry(2)]
        )
        work = begun(core, path="/book/1")
        core.forward_ended(forwarded(core, work), Outcome.LOST, 1.1)
        self.assertIsNone(core.retry(work, Outcome.LOST, 1.1))

    def test_retries_are_counted_where_they_are_made(self) -> None:
        """Guards against requests that raise the retry budget of two entries."""
        core = steering()
        for number in range(100):
            core.begin(arrival(f"r-{number}"), 1.0, is_forwarded=True)
        self.assertEqual(0, core.retry_budgets.usage("info", 1.0).requests)

    def test_attempts_that_another_entry_grants_are_kept(self) -> None:
        """Guards against attempts that are counted anew at each entry."""
        for granted, expected in ((1, Code.ATTEMPTS_SPENT), (2, None), (9, None)):
            core = steering()
            work = core.begin(replace(arrival(), attempts=granted), 1.0, is_forwarded=True)
            assert isinstance(work, Work)
            core.attempt_ended(sent(core, work, 1.0), Outcome.REJECTED, 1.1)
            retry = core.retry(work, Outcome.REJECTED, 1.1)
            with self.subTest(granted=granted):
                self.assertEqual(expected, retry.code if isinstance(retry, Refused) else None)
                self.assertLessEqual(work.attempts, work.route.attempts)

    def test_a_request_that_a_server_rejected_is_not_refused_as_not_ready(self) -> None:
        """Guards against retries by way of a third entry that no budget allowed."""
        for second in (Outcome.REJECTED, Outcome.NOT_SENT):
            core = steering(5, routes=[route(attempts=4)])
            work = core.begin(arrival(), 1.0, is_forwarded=True)
            assert isinstance(work, Work)
            core.attempt_ended(sent(core, work, 1.0), Outcome.REJECTED, 1.1)
            again = core.retry(work, Outcome.REJECTED, 1.1)
            assert isinstance(again, Attempt)
            core.attempt_ended(again, second, 1.2)
            cut_off(core, [])
            refused = core.retry(work, second, 1.2)
            assert isinstance(refused, Refused)
            with self.subTest(second=second):
                self.assertIs(Code.ATTEMPTS_SPENT, refused.code)

    def test_callers_cannot_grant_attempts(self) -> None:
        work = steering().begin(replace(arrival(), attempts=1), 1.0)
        assert isinstance(work, Work)
        self.assertEqual(work.route.attempts, work.attempts)

    def test_a_request_with_one_attempt_is_no_trial(self) -> None:
        """Guards against requests that wait for a server that may not respond."""
        core = cut_off(steering(routes=[route(attempts=1)]), [entry(1)])
        self.assertIsInstance(core.next_attempt(begun(core), 1.0), ForwardAttempt)

    def test_a_trial_goes_to_a_server_and_to_an_entry(self) -> None:
        core = steering(4)
        for target in list(core.targets.by_number)[:3]:
            core.reachability.record_unanswered(target)
        core.reachability.begin_round(4, 0.0)
        core.reachability.end_round(3, 3, 4, 0.0)
        core.forwarding = Forwarding("e-0", "a-1", "a", lambda now: [entry(1)])
        work = begun(core)
        trial = core.next_attempt(work, 1.0)
        assert isinstance(trial, Attempt)
        self.assertTrue(trial.is_trial)
        self.assertIsInstance(core.hedge(work, 1.0), ForwardAttempt)
        self.assertIsInstance(core.next_attempt(begun(core), 1.1), ForwardAttempt)
        core.attempt_ended(trial, Outcome.ANSWERED, 1.2)
        self.assertIsInstance(core.next_attempt(begun(core), 1.3), Attempt)

    def test_a_trial_without_a_usable_server_is_passed_on(self) -> None:
        """Guards against refusing a request since all servers are suspected while none responds."""
        core = steering(4)
        for number, target in core.targets.by_number.items():
            core.reachability.record_unanswered(number)
            target.breaker.failed(1.0)
        core.reachability.begin_round(4, 0.0)
        core.reachability.end_round(3, 3, 4, 0.0)
        core.forwarding = Forwarding("e-0", "a-1", "a", lambda now: [entry(1)])
        self.assertIsInstance(core.next_attempt(begun(core), 1.0), ForwardAttempt)

    def test_failures_of_the_time_without_servers_are_forgotten(self) -> None:
        """Guards against an entry that avoids sound servers after a cut has healed."""
        core = steering(1)
        attempt = sent(core, begun(core))
        attempt.connection_failed = True
        core.attempt_ended(attempt, Outcome.NOT_SENT, 0.5)
        self.assertIsInstance(core.next_attempt(begun(core), 0.6), Refused)
        core.servers_returned()
        self.assertIsInstance(core.next_attempt(begun(core), 0.6), Attempt)

    def test_losses_of_an_entry_that_reaches_no_server_are_not_reported(self) -> None:
        """Guards against suspending requests that only a cut of the network has lost."""
        core = steering(6)
        content = RequestContent(b"GET", "quay.example", b"/times/x", b"", b"c-1")
        for at in (1.0, 9.0):
            work = begun(core)
            work.content = content
            core.attempt_ended(sent(core, work), Outcome.LOST, at)
        core.suspects.retract_own(5.0, 10.0)
        states = [loss.state.name for loss in core.suspects.to_report(False, 10.0)]
        self.assertEqual({"OPEN", "REFUTED"}, set(states))
        work = begun(core, 10.0)
        work.content = other = RequestContent(b"GET", "quay.example", b"/times/y", b"", b"c-1")
        attempt = sent(core, work, 10.0)
        cut_off(core, [])
        core.attempt_ended(attempt, Outcome.LOST, 10.5)
        self.assertFalse(core.suspects.is_suspected(other))


class DialectTest(unittest.TestCase):
    """What entries say to each other about a request."""

    def setUp(self) -> None:
        self.dialect = PlatformDialect()
        self.headers = Headers(
            {
                b"X-Request-Id": [b"r-1"],
                b"X-Credential": [b"k"],
                b"X-Deadline-Ms": [b"9000"],
                b"X-Tenant-Id": [b"mallory"],
                b"Connection": [b"close"],
            }
        )

    def test_a_request_keeps_its_key_and_gets_the_remaining_time(self) -> None:
        data = self.dialect.forwarded_bytes(b"POST", b"/times/1", self.headers, b"body", 1234, 3)
        lines = data.split(b"\r\n")
        self.assertEqual(b"POST /times/1 HTTP/1.1", lines[0])
        for line in (b"X-Credential: k", b"X-Deadline-Ms: 1234", b"Content-Length: 4"):
            self.assertIn(line, lines)
        for name in (b"X-Tenant-Id", b"Connection", b"X-Expected-Instance", b"9000", b"Source"):
            self.assertNotIn(name, data)

    def test_servers_do_not_learn_the_callers_address(self) -> None:
        self.headers.addRawHeader(b"Briarspur-Source-Address", b"10.0.0.7")
        data = self.dialect.request_bytes(b"GET", b"/", self.headers, b"", "t-1", 10)
        self.assertNotIn(b"10.0.0.7", data)

    def test_a_refusal_of_an_entry_is_told_from_a_servers_response(self) -> None:
        """Guards against a server's failure that is reported as not run."""
        refusal = Headers({b"Briarspur-Code": [b"2100"], b"Retry-After": [b"0.300"]})
        self.assertEqual(
            Refused(Code.OVERLOADED, 0.3), self.dialect.refusal(AnswerHead(503, refusal, 0))
        )
        for headers in (Headers(), Headers({b"Briarspur-Code": [b"x"]})):
            self.assertIsNone(self.dialect.refusal(AnswerHead(503, headers, 0)))
        shown = self.dialect.answer_headers(Headers({b"Briarspur-Code": [b"2100"]}))
        self.assertEqual([], shown, "a server can't forge one")
