"""Tests of the decision core."""

import random
import unittest
from typing import Any

from briarspur.codes import Code
from briarspur.coord.invariants import invariants
from briarspur.core import Core, CoreSettings
from briarspur.exchange import LEAVING_LIFETIME_S, LeavingNotice, News
from briarspur.members import MemberView
from briarspur.messages import Begin, Dispatch, Failure
from briarspur.target import OwnTarget
from tests.coredriver import CoreDriver, make_core, make_view
from tests.examples import small_policy


class ServeTest(unittest.TestCase):
    """One entry that owns targets."""

    def setUp(self) -> None:
        invariants.strict = True
        self.core = make_core("entry-1", random.Random(1))
        self.driver = CoreDriver(self.core)

    def test_request_is_dispatched_and_answered(self) -> None:
        actions = self.driver.send_request("GET", "/times/today")
        self.assertIsInstance(actions[0], Dispatch)
        began = self.core.answer_began(actions[0].attempt_id, 200, 1.0)
        self.assertIsInstance(began[0], Begin)
        self.assertEqual(self.core.answer_ended(actions[0].attempt_id, None, 10, 1.1), [])
        self.assertEqual(self.core.open_requests(), 0)
        self.assertEqual(self.core.account.in_use, 0)

    def test_unknown_path_is_refused(self) -> None:
        actions = self.driver.send_request("GET", "/nowhere")
        self.assertEqual(actions[0].refusal.code, Code.UNKNOWN_SERVICE)

    def test_a_request_that_may_have_run_is_not_refused_as_not_run(self) -> None:
        """Guards against refusals by the last attempt alone, after one that may have run."""
        first = self.driver.send_request("GET", "/booking/1")[0]
        second = self.core.attempt_failed(first.attempt_id, Failure.LOST, 0.1)[0]
        third = self.core.attempt_failed(second.attempt_id, Failure.SHED, 0.2)[0]
        [refused] = self.core.attempt_failed(third.attempt_id, Failure.SHED, 0.3, 1.5)
        self.assertEqual(
            (Code.CONNECTION_LOST, 1.5), (refused.refusal.code, refused.refusal.retry_after)
        )

    def test_late_answer_of_a_superseded_attempt_is_dropped(self) -> None:
        """Guards against sending a caller parts of the answers of two targets.

        The connection of the first attempt breaks, the request is retried, and then the answer of
        the first attempt arrives after all.
        """
        first = self.driver.send_request("GET", "/times/today")[0]
        second = self.core.attempt_failed(first.attempt_id, Failure.LOST, 0.1)[0]
        self.assertIsInstance(second, Dispatch)
        self.assertNotEqual(second.target.target_id, first.target.target_id)
        self.assertEqual(self.core.answer_began(first.attempt_id, 200, 0.2), [])
        self.assertEqual(self.core.answer_ended(first.attempt_id, None, 1, 0.2), [])

    def test_bulk_uses_idle_targets_that_no_other_service_could_use(self) -> None:
        """Guards against refusing bulk requests while their targets are idle.

        An entry owns targets of some services only. Bulk requests left a part of the region's
        in-flight limit free for other services, even if none of their targets could have used it.
        """
        self.assertIsInstance(self._second_fare(booking="leaving")[0], Dispatch)

    def test_bulk_leaves_capacity_that_other_services_could_use(self) -> None:
        self.assertEqual(self._second_fare(booking="active"), [])

    def _second_fare(self, booking: str) -> list[Any]:
        """Use three of the four units held, one of them for a fare; send another fare request."""
        document = small_policy(entries=1)
        document["regions"]["north"]["in_flight_limit"] = 8
        document["services"]["fares"] = {"path": "/fares", "rules": [{"priority": "bulk"}]}
        for target_id, target in list(document["targets"].items()):
            if target["service"] == "booking":
                target["state"] = booking
                document["targets"][f"fares-{target_id}"] = {
                    **target,
                    "service": "fares",
                    "state": "active",
                }
        driver = CoreDriver(make_core("entry-1", random.Random(1), document=document))
        for path in ("/times/1", "/times/2", "/fares/1"):
            self.assertIsInstance(driver.send_request("GET", path)[0], Dispatch)
        return list(driver.send_request("GET", "/fares/2"))

    def test_requests_queue_while_targets_are_full_and_run_later(self) -> None:
        actions = [self.driver.send_request("GET", f"/times/{n}") for n in range(4)]
        sent = [a for batch in actions for a in batch if isinstance(a, Dispatch)]
        self.assertEqual(len(sent), 2)
        self.core.answer_began(sent[0].attempt_id, 200, 0.1)
        next_sent = self.core.answer_ended(sent[0].attempt_id, None, 1, 0.1)
        self.assertIsInstance(next_sent[0], Dispatch)


class BackoffTest(unittest.TestCase):
    """A backend server that shed a request gets none for as long as its Retry-After says."""

    def setUp(self) -> None:
        invariants.strict = True
        self.core = make_core("entry-1", random.Random(1))
        self.driver = CoreDriver(self.core)
        self.targets = self.core.placement.targets_by_service["times"]

    def shed_by(self, own: OwnTarget, retry_after: float, now: float) -> None:
        """Send a request that only this target can get, and let the target shed it."""
        others = [each for each in self.targets.by_id.values() if each is not own]
        for each in others:
            each.reserved = True
        sent = self.driver.send_request("GET", f"/times/{now}", now)[0]
        for each in others:
            each.reserved = False
        assert isinstance(sent, Dispatch)
        self.core.attempt_failed(sent.attempt_id, Failure.SHED, now, retry_after=retry_after)

    def test_target_gets_no_request_until_the_latest_requested_end(self) -> None:
        """Guards against sending requests to a server that asked for a pause."""
        own = next(iter(self.targets.by_id.values()))
        self.shed_by(own, 3.0, 1.0)
        own.back_off(0.5, 1.2)
        self.assertEqual(0, own.free_slots(3.9))
        self.assertGreater(own.free_slots(4.0), 0)

    def test_estimated_wait_ends_when_the_first_target_is_available(self) -> None:
        """Guards against an estimate that counts servers backing off as available."""
        for number, own in enumerate(self.targets.by_id.values()):
            own.back_off(2.0 + number, 1.0)
        self.assertGreaterEqual(self.targets.estimate_wait(0, 1.5), 1.5)
        self.assertLess(self.targets.estimate_wait(0, 1.5), 1.6)


class LeavingTest(unittest.TestCase):
    """A leaving backend server gets no new work, whatever the source of that information."""

    def setUp(self) -> None:
        invariants.strict = True

    def send_request(self, core: Core, now: float = 0.0) -> list[Any]:
        return list(CoreDriver(core).send_request("GET", f"/times/{now}", now))

    def test_leaving_by_policy(self) -> None:
        """Guards against new requests to a server that operators drain for maintenance."""
        document = small_policy(entries=1)
        for target in document["targets"].values():
            target["state"] = "leaving"
        core = make_core("entry-1", random.Random(1), document=document)
        self.assertNotIsInstance(self.send_request(core)[0], Dispatch)

    def test_leaving_by_its_own_notice_until_the_notice_expires(self) -> None:
        """Guards against new requests to a server that is stopping, or none ever again."""
        core = make_core("entry-1", random.Random(1))
        for target_id in core.placement.targets_by_service["times"].by_id:
            core.exchange.record_leaving(target_id, 0.0, 0.0)
        self.assertNotIsInstance(self.send_request(core, 1.0)[0], Dispatch)
        self.assertIsInstance(self.send_request(core, LEAVING_LIFETIME_S + 1.0)[0], Dispatch)

    def test_leaving_by_a_notice_from_a_peer(self) -> None:
        core = make_core("entry-1", random.Random(1))
        ids = core.placement.targets_by_service["times"].by_id
        notices = tuple(LeavingNotice(target_id, 0.5) for target_id in ids)
        core.exchange.record_news(News(leaving=notices), 1.0)
        self.assertNotIsInstance(self.send_request(core, 1.0)[0], Dispatch)


class TakeoverTest(unittest.TestCase):
    """A target that briefly has two owners."""

    def test_slots_are_reduced_until_the_old_owners_requests_have_ended(self) -> None:
        """Guards against using a server's slots twice, so that it sheds a booking.

        The owner of a server with three slots is cut off while three requests run; the new owner
        uses all slots immediately.
        """
        invariants.strict = True
        document = small_policy(targets=6, entries=2)
        core = make_core("entry-1", random.Random(1), entries=2, document=document)
        times = core.placement.targets_by_service["times"]
        before = set(times.by_id)
        remaining = {i: m for i, m in core.view.by_id.items() if i != "entry-2"}
        core.view_changed(MemberView(remaining), 10.0)
        taken_over = [own for target_id, own in times.by_id.items() if target_id not in before]
        self.assertTrue(taken_over)
        assert core.policy is not None
        ended = 10.0 + core.policy.services_by_name["times"].max_deadline
        for own in taken_over:
            own.ramp.assume_warm()
            self.assertLess(own.ramp.limit(ended - 0.1), own.slots)
            self.assertEqual(own.ramp.limit(ended), own.slots)


class CrashTest(unittest.TestCase):
    """Several connections broken by one crash count as one crash."""

    def test_late_broken_connection_of_an_old_crash_adds_no_suspects(self) -> None:
        """Guards against quarantining a harmless request for ten minutes.

        A target with two requests crashes. The entry notices that the first connection broke, the
        target restarts and gets another request, and only then the entry notices that the second
        connection broke.
        """
        invariants.strict = True
        core = make_core("entry-1", random.Random(1))
        driver = CoreDriver(core)
        for own in core.placement.targets_by_service["times"].by_id.values():
            own.ramp.assume_warm()
        sent = [driver.send_request("GET", f"/times/{n}")[0] for n in range(4)]
        crashed_id = sent[0].target.target_id
        old = [each for each in sent if each.target.target_id == crashed_id]
        core.attempt_failed(old[0].attempt_id, Failure.LOST, 0.1, crashed=True)
        suspects = {verdict.digest for verdict in core.quarantine.verdicts(0.2)}
        driver.send_request("GET", "/times/new", 0.2)
        core.attempt_failed(old[1].attempt_id, Failure.LOST, 0.3, crashed=True)
        verdicts = core.quarantine.verdicts(0.4)
        self.assertEqual({verdict.digest for verdict in verdicts}, suspects)
        self.assertEqual([verdict.crashes for verdict in verdicts], [1, 1])


class ShiftTest(unittest.TestCase):
    """Traffic of a lost region shifts no faster than its cap."""

    WINDOW = 5.0
    SHARE = 20
    """The emergency cap of the small policy, divided by its two entries."""

    def setUp(self) -> None:
        invariants.strict = True
        self.core = make_core("entry-2", random.Random(1), settings=CoreSettings(queue_limit=0))
        south_only = {"entry-2": make_view(1).by_id["entry-2"]}
        self.core.view_changed(MemberView(south_only), 0.0)
        self.driver = CoreDriver(self.core)

    def test_shifted_requests_beyond_the_cap_are_refused_immediately(self) -> None:
        codes = self._codes(self.SHARE + 5, now=1.0)
        self.assertEqual(codes.count(Code.SHIFT_CAPPED), 5)

    def test_refused_requests_do_not_raise_the_next_windows_allowance(self) -> None:
        """Guards against overloading a full region beyond its cap once it has room again.

        The north is lost, and the full south refuses the shifted requests for two windows. If these
        counted as served, the third window would admit as many more.
        """
        for window in range(2):
            self._codes(3 * self.SHARE, now=window * self.WINDOW + 1.0)
        codes = self._codes(4 * self.SHARE, now=2 * self.WINDOW + 1.0)
        admitted = [code for code in codes if code is not Code.SHIFT_CAPPED]
        # Two requests occupy the first slots of the two targets since the first window.
        self.assertLessEqual(len(admitted), self.SHARE + 2)

    def _codes(self, count: int, now: float) -> list[Code | None]:
        """Send requests from callers in the north; return the code of each refusal."""
        batches = [self.driver.send_request("GET", f"/times/{n}", now) for n in range(count)]
        return [getattr(getattr(b[0], "refusal", None), "code", None) for b in batches]
