"""Tests of the decision core: requests that must not run twice."""

import random
import unittest

from briarspur.codes import CODES, Code, Ran
from briarspur.coord.invariants import invariants
from briarspur.messages import (
    ClaimResult,
    Dispatch,
    Failure,
    FetchOutcome,
    Forward,
    Refuse,
    Reply,
    SettledClaim,
)
from briarspur.refusal import Answer
from tests.coredriver import WALL, CoreDriver, make_core, make_incarnation, make_view

DEADLINE_S = 2.0
"""Deadline of a booking, as in the policy's default."""


class OnceOnlyTest(unittest.TestCase):
    """Bookings run at most once."""

    def setUp(self) -> None:
        invariants.strict = True
        self.core = make_core("entry-1", random.Random(1))
        self.driver = CoreDriver(self.core)
        self.key = self.driver.key()

    def test_booking_without_key_is_refused(self) -> None:
        refused = self.driver.send_request("POST", "/booking/new")[0]
        self.assertEqual(refused.refusal.code, Code.KEY_REQUIRED)

    def test_repeat_joins_the_running_request_and_gets_the_same_answer(self) -> None:
        sent = self.driver.send_request("POST", "/booking/new", key=self.key)[0]
        self.assertEqual(self.driver.send_request("POST", "/booking/new", key=self.key), [])
        answer = Answer(201, (), b"booked")
        self.core.answer_began(sent.attempt_id, 201, 0.1)
        replies = self.core.answer_ended(sent.attempt_id, answer, 6, 0.1)
        self.assertEqual([reply.answer.body for reply in replies], [b"booked"])
        replay = self.driver.send_request("POST", "/booking/new", key=self.key)[0]
        self.assertIsInstance(replay, Reply)

    def test_request_is_forwarded_to_the_entry_that_claimed_its_foreign_key(self) -> None:
        """Guards against an unknown outcome for an order whose outcome another entry knows."""
        claim = self.driver.send_request("POST", "/booking/new", key="a-foreign-key")[0]
        self.assertEqual(self.driver.send_request("POST", "/booking/new", key="a-foreign-key"), [])
        other = make_view(1).by_id["entry-2"]
        actions = self.core.claim_settled(
            claim.request_id, SettledClaim(ClaimResult.TAKEN, other.incarnation), 0.1
        )
        self.assertEqual([a.request_id for a in actions], [claim.request_id, "r2"])
        for action in actions:
            self.assertIsInstance(action, Forward)
            self.assertEqual(action.entry, other.address)
            self.assertFalse(action.dispatch_only)

    def test_outcome_is_fetched_if_a_terminated_entry_claimed_the_foreign_key(self) -> None:
        claim = self.driver.send_request("POST", "/booking/new", key="a-foreign-key")[0]
        [fetch] = self.core.claim_settled(
            claim.request_id, SettledClaim(ClaimResult.TAKEN, "f" * 16), 0.1
        )
        self.assertEqual(fetch, FetchOutcome(claim.request_id, "f" * 16, "a-foreign-key"))
        [refused] = self.core.outcome_fetched(claim.request_id, False, None, 0.2)
        self.assertEqual(refused.refusal.code, Code.HOME_GONE)

    def test_foreign_key_that_this_process_claimed_earlier_is_not_run(self) -> None:
        claim = self.driver.send_request("POST", "/booking/new", key="a-foreign-key")[0]
        own_claim = SettledClaim(ClaimResult.TAKEN, self.core.keys.incarnation)
        [refused] = self.core.claim_settled(claim.request_id, own_claim, 0.1)
        self.assertEqual(refused.refusal.code, Code.HOME_GONE)

    def test_booking_is_never_retried_if_its_connection_is_lost_after_dispatch(self) -> None:
        """Guards against booking a passenger twice.

        The backend server records the booking, the connection breaks before the answer arrives, and
        the entry sends the booking to another target.
        """
        sent = self.driver.send_request("POST", "/booking/new", key=self.key)[0]
        ended = self.core.attempt_failed(sent.attempt_id, Failure.LOST, 0.1)
        self.assertEqual(ended[0].refusal.code, Code.OUTCOME_UNKNOWN)
        again = self.driver.send_request("POST", "/booking/new", key=self.key)[0]
        self.assertEqual(again.refusal.code, Code.OUTCOME_UNKNOWN)

    def test_shed_booking_is_retried_elsewhere_and_finally_refused_as_not_run(self) -> None:
        sent = self.driver.send_request("POST", "/booking/new", key=self.key)[0]
        sent = self.core.attempt_failed(sent.attempt_id, Failure.SHED, 0.1)[0]
        self.assertIsInstance(sent, Dispatch)
        sent = self.core.attempt_failed(sent.attempt_id, Failure.SHED, 0.1)[0]
        self.assertIsInstance(sent, Forward)
        self.assertTrue(sent.dispatch_only)
        refused = self.core.attempt_failed(sent.attempt_id, Failure.SHED, 0.2, retry_after=1.0)[0]
        self.assertIsInstance(refused, Refuse)
        self.assertEqual(refused.refusal.code, Code.OVERLOADED)

    def test_owner_that_dispatches_for_a_home_never_retries_a_booking(self) -> None:
        """Guards against booking a passenger twice.

        The key's home owns no target and forwards the booking to an owner, which keeps no record of
        the key. The target records the booking and the connection to it breaks.
        """
        fields = {"forwarded_by": "entry-2", "dispatch_only": True, "key": self.key}
        sent = self.driver.send_request("POST", "/booking/new", **fields)[0]
        ended = self.core.attempt_failed(sent.attempt_id, Failure.LOST, 0.1)
        self.assertEqual(ended[0].refusal.code, Code.OUTCOME_UNKNOWN)

    def test_resumed_entry_dispatches_nothing_past_its_deadline(self) -> None:
        """Guards against making a booking long after its caller gave up.

        The entry's process is paused with a booking in the queue. When it resumes, the answer to
        another request frees a slot before overdue requests are removed from the queue.
        """
        running = [self.driver.send_request("GET", f"/booking/{n}")[0] for n in range(2)]
        self.assertEqual(self.driver.send_request("POST", "/booking/new", key=self.key), [])
        late = self.core.answer_ended(running[0].attempt_id, None, 1, 100.0)
        self.assertEqual(late, [])
        refused = self.core.tick(100.0, WALL + 100.0)
        self.assertEqual(refused[0].refusal.code, Code.OVERLOADED)

    def test_key_of_another_entry_is_forwarded_to_its_home(self) -> None:
        key = self.driver.key(incarnation=make_incarnation(2))
        sent = self.driver.send_request("POST", "/booking/new", key=key)[0]
        self.assertIsInstance(sent, Forward)
        self.assertTrue(sent.relay_refusals)
        self.assertFalse(sent.dispatch_only)

    def test_a_withheld_claim_is_refused_at_once_with_its_retry_after(self) -> None:
        """Guards against callers who can't know when their key will be accepted."""
        claim = self.driver.send_request("POST", "/booking/new", key="my-own-key")[0]
        settled = SettledClaim(ClaimResult.UNSETTLED, retry_after=640.0)
        [refused] = self.core.claim_settled(claim.request_id, settled, 0.1)
        self.assertEqual(
            (Code.STORE_UNAVAILABLE, 640.0), (refused.refusal.code, refused.refusal.retry_after)
        )

    def test_claim_is_still_usable_after_its_caller_disconnected(self) -> None:
        """Guards against a key with which a booking can never be made.

        The caller disconnects while the claim is on its way to the store, and then repeats the
        request. The claim exists by then, so a second one would be refused.
        """
        claim = self.driver.send_request("POST", "/booking/new", key="my-own-key")[0]
        self.core.caller_gone(claim.request_id, 0.1)
        self.core.claim_settled(claim.request_id, SettledClaim(ClaimResult.ACQUIRED), 0.2)
        again = self.driver.send_request("POST", "/booking/new", key="my-own-key")[0]
        self.assertIsInstance(again, Dispatch)

    def test_callers_are_answered_at_their_deadlines_if_a_claim_hangs(self) -> None:
        """Guards against leaving a caller with a foreign key without an answer for 6 s.

        The store hangs. The claim is attempted three times, each with the timeout of a store call,
        which is as long as the deadline; joined callers wait as long. Finally the claim succeeds.
        """
        claim = self.driver.send_request("POST", "/booking/new", key="my-own-key")[0]
        joined = self.driver.send_request("POST", "/booking/new", key="my-own-key", now=1.0)
        self.assertEqual(joined, [])
        self.assertEqual(self.core.tick(DEADLINE_S - 0.01, WALL), [])
        [first] = self.core.tick(DEADLINE_S, WALL + DEADLINE_S)
        self.assertEqual(first.request_id, claim.request_id)
        self.assertEqual(first.refusal.code, Code.STORE_UNAVAILABLE)
        self.assertIsNotNone(first.refusal.retry_after)
        [second] = self.core.tick(DEADLINE_S + 1.0, WALL + DEADLINE_S + 1.0)
        self.assertEqual(second.request_id, "r2")
        self.assertEqual(second.refusal.code, Code.STORE_UNAVAILABLE)
        settled = SettledClaim(ClaimResult.ACQUIRED)
        self.assertEqual(self.core.claim_settled(claim.request_id, settled, 6.0), [])
        self.assertEqual(self.core.open_requests(), 0)
        again = self.driver.send_request("POST", "/booking/new", key="my-own-key", now=6.0)[0]
        self.assertIsInstance(again, Dispatch)

    def test_caller_is_answered_at_its_deadline_if_fetching_the_outcome_hangs(self) -> None:
        """Guards against letting a caller whose entry died wait for 4 s while the store hangs.

        The outcome that the terminated entry stored is read in two calls, and each lasts as long as
        the timeout of a store call.
        """
        key = self.driver.key(incarnation="f" * 16)
        [fetch] = self.driver.send_request("POST", "/booking/new", key=key)
        self.assertIsInstance(fetch, FetchOutcome)
        [refused] = self.core.tick(DEADLINE_S, WALL + DEADLINE_S)
        self.assertEqual(refused.refusal.code, Code.STORE_UNAVAILABLE)
        self.assertEqual(self.core.outcome_fetched(fetch.request_id, False, None, 4.0), [])

    def test_request_forwarded_to_the_claim_holder_is_not_refused_as_waiting(self) -> None:
        """Guards against reporting "not run" for a booking that another entry is making.

        Another entry holds the claim; the request and the one that joined it are forwarded there
        and are still on their way when their deadlines pass.
        """
        claim = self.driver.send_request("POST", "/booking/new", key="a-foreign-key")[0]
        self.driver.send_request("POST", "/booking/new", key="a-foreign-key")
        other = make_view(1).by_id["entry-2"]
        taken = SettledClaim(ClaimResult.TAKEN, other.incarnation)
        self.core.claim_settled(claim.request_id, taken, 0.1)
        self.assertEqual(self.core.tick(DEADLINE_S, WALL + DEADLINE_S), [])

    def test_request_is_closed_if_all_callers_of_a_claim_disconnect(self) -> None:
        """Guards against a stopping entry that waits forever for a request without a caller.

        Two callers wait for one claim; both disconnect before its result arrives.
        """
        claim = self.driver.send_request("POST", "/booking/new", key="my-own-key")[0]
        self.driver.send_request("POST", "/booking/new", key="my-own-key")
        for request_id in (claim.request_id, "r2"):
            self.core.caller_gone(request_id, 0.1)
        self.core.claim_settled(claim.request_id, SettledClaim(ClaimResult.ACQUIRED), 0.2)
        self.assertEqual(self.core.open_requests(), 0)

    def test_unreachable_home_leaves_the_outcome_unknown(self) -> None:
        """Guards against reporting "not run" for a recorded booking, so that it is made twice.

        The first copy reached the key's home, which was then cut off; the repeat arrives at another
        entry, which can't reach the home and doesn't know of the first copy.
        """
        key = self.driver.key(incarnation=make_incarnation(2))
        sent = self.driver.send_request("POST", "/booking/new", key=key)[0]
        ended = self.core.attempt_failed(sent.attempt_id, Failure.NOT_SENT, 0.1)[0]
        self.assertIs(CODES[ended.refusal.code].ran, Ran.UNKNOWN)

    def test_key_of_a_terminated_entry_is_never_run(self) -> None:
        """Guards against booking a passenger twice.

        The home dispatched the booking and died; the repeat reaches another entry, which runs it.
        """
        key = self.driver.key(incarnation="f" * 16)
        fetch = self.driver.send_request("POST", "/booking/new", key=key)[0]
        self.assertIsInstance(fetch, FetchOutcome)
        ended = self.core.outcome_fetched(fetch.request_id, False, None, 0.1)
        self.assertEqual(ended[0].refusal.code, Code.HOME_GONE)
