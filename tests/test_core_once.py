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
from tests.bench import WALL, Bench, body, make_core, make_view

DEADLINE_S = 2.0
"""Of a booking, as in the default of the policy."""


class OnceOnlyTest(unittest.TestCase):
    """Bookings run at most once."""

    def setUp(self) -> None:
        invariants.strict = True
        self.core = make_core("entry-1", random.Random(1))
        self.bench = Bench(self.core)
        self.key = self.bench.key()

    def test_booking_without_key_is_refused(self) -> None:
        refused = self.bench.arrive("POST", "/booking/new")[0]
        self.assertEqual(refused.refusal.code, Code.KEY_REQUIRED)

    def test_repeat_joins_and_gets_the_same_answer(self) -> None:
        sent = self.bench.arrive("POST", "/booking/new", key=self.key)[0]
        self.assertEqual(self.bench.arrive("POST", "/booking/new", key=self.key), [])
        answer = Answer(201, (), b"booked")
        self.core.answer_began(sent.attempt_id, 201, 0.1)
        replies = self.core.answer_ended(sent.attempt_id, answer, 6, 0.1)
        self.assertEqual([reply.answer.body for reply in replies], [b"booked"])
        replay = self.bench.arrive("POST", "/booking/new", key=self.key)[0]
        self.assertIsInstance(replay, Reply)

    def test_foreign_key_claimed_by_another_entry_goes_there(self) -> None:
        """A caller would be told that nobody knows its order, although the other entry does."""
        claim = self.bench.arrive("POST", "/booking/new", key="a-foreign-key")[0]
        self.assertEqual(self.bench.arrive("POST", "/booking/new", key="a-foreign-key"), [])
        other = make_view(1).by_id["entry-2"]
        actions = self.core.claim_settled(
            claim.request_id, SettledClaim(ClaimResult.TAKEN, other.incarnation), 0.1
        )
        self.assertEqual([a.request_id for a in actions], [claim.request_id, "r2"])
        for action in actions:
            self.assertIsInstance(action, Forward)
            self.assertEqual(action.entry, other.address)
            self.assertFalse(action.dispatch_only)

    def test_foreign_key_claimed_by_a_gone_entry_is_looked_up(self) -> None:
        claim = self.bench.arrive("POST", "/booking/new", key="a-foreign-key")[0]
        [fetch] = self.core.claim_settled(
            claim.request_id, SettledClaim(ClaimResult.TAKEN, "f" * 16), 0.1
        )
        self.assertEqual(fetch, FetchOutcome(claim.request_id, "f" * 16, "a-foreign-key"))
        [refused] = self.core.outcome_fetched(claim.request_id, False, None, 0.2)
        self.assertEqual(refused.refusal.code, Code.HOME_GONE)

    def test_foreign_key_of_an_older_claim_of_our_own_is_not_run(self) -> None:
        claim = self.bench.arrive("POST", "/booking/new", key="a-foreign-key")[0]
        mine = SettledClaim(ClaimResult.TAKEN, self.core.keys.incarnation)
        [refused] = self.core.claim_settled(claim.request_id, mine, 0.1)
        self.assertEqual(refused.refusal.code, Code.HOME_GONE)

    def test_connection_lost_after_dispatch_is_never_tried_again(self) -> None:
        """A passenger would be booked twice.

        The backend server records the booking, its connection breaks before the answer, and the
        entry sends the booking to another target.
        """
        sent = self.bench.arrive("POST", "/booking/new", key=self.key)[0]
        ended = self.core.attempt_failed(sent.attempt_id, Failure.LOST, 0.1)
        self.assertEqual(ended[0].refusal.code, Code.OUTCOME_UNKNOWN)
        again = self.bench.arrive("POST", "/booking/new", key=self.key)[0]
        self.assertEqual(again.refusal.code, Code.OUTCOME_UNKNOWN)

    def test_shed_booking_is_tried_elsewhere_and_refused_as_not_run_at_last(self) -> None:
        sent = self.bench.arrive("POST", "/booking/new", key=self.key)[0]
        sent = self.core.attempt_failed(sent.attempt_id, Failure.SHED, 0.1)[0]
        self.assertIsInstance(sent, Dispatch)
        sent = self.core.attempt_failed(sent.attempt_id, Failure.SHED, 0.1)[0]
        self.assertIsInstance(sent, Forward)
        self.assertTrue(sent.dispatch_only)
        refused = self.core.attempt_failed(sent.attempt_id, Failure.SHED, 0.2, retry_after=1.0)[0]
        self.assertIsInstance(refused, Refuse)
        self.assertEqual(refused.refusal.code, Code.OVERLOADED)

    def test_owner_that_dispatches_for_a_home_never_tries_a_booking_again(self) -> None:
        """A passenger would be booked twice.

        The key's home has no target of its own and sends the booking to an owner, which holds no
        memory of the key. The target records it and its connection breaks.
        """
        fields = {"forwarded_by": "entry-2", "dispatch_only": True, "key": self.key}
        sent = self.bench.arrive("POST", "/booking/new", **fields)[0]
        ended = self.core.attempt_failed(sent.attempt_id, Failure.LOST, 0.1)
        self.assertEqual(ended[0].refusal.code, Code.OUTCOME_UNKNOWN)

    def test_resumed_entry_dispatches_nothing_past_its_deadline(self) -> None:
        """A booking is made long after its caller gave up, and a boat goes out for nobody.

        The entry is paused with a booking in its queue. When it resumes, the answer of another
        request frees a slot before the queue is looked through.
        """
        running = [self.bench.arrive("GET", f"/booking/{n}")[0] for n in range(2)]
        self.assertEqual(self.bench.arrive("POST", "/booking/new", key=self.key), [])
        late = self.core.answer_ended(running[0].attempt_id, None, 1, 100.0)
        self.assertEqual(late, [])
        refused = self.core.tick(100.0, WALL + 100.0)
        self.assertEqual(refused[0].refusal.code, Code.OVERLOADED)

    def test_key_of_another_entry_is_forwarded_to_its_home(self) -> None:
        key = self.bench.key(incarnation=body(2))
        sent = self.bench.arrive("POST", "/booking/new", key=key)[0]
        self.assertIsInstance(sent, Forward)
        self.assertTrue(sent.relay_refusals)
        self.assertFalse(sent.dispatch_only)

    def test_claim_whose_caller_left_can_still_be_used(self) -> None:
        """A booking can never be made with its key.

        The caller hangs up while its claim is on the way to the store and comes back; the claim is
        there, and a second one would be refused.
        """
        claim = self.bench.arrive("POST", "/booking/new", key="my-own-key")[0]
        self.core.caller_gone(claim.request_id, 0.1)
        self.core.claim_settled(claim.request_id, SettledClaim(ClaimResult.OURS), 0.2)
        again = self.bench.arrive("POST", "/booking/new", key="my-own-key")[0]
        self.assertIsInstance(again, Dispatch)

    def test_callers_of_a_hanging_claim_are_answered_at_their_deadlines(self) -> None:
        """A builder with an own key hears nothing for 6 s and does not know whether to ask again.

        The store hangs. The claim is tried three times with the timeout of a store call, each as
        long as the deadline; whoever joins it waits as long. The claim is made after all.
        """
        claim = self.bench.arrive("POST", "/booking/new", key="my-own-key")[0]
        joined = self.bench.arrive("POST", "/booking/new", key="my-own-key", now=1.0)
        self.assertEqual(joined, [])
        self.assertEqual(self.core.tick(DEADLINE_S - 0.01, WALL), [])
        [first] = self.core.tick(DEADLINE_S, WALL + DEADLINE_S)
        self.assertEqual(first.request_id, claim.request_id)
        self.assertEqual(first.refusal.code, Code.STORE_UNAVAILABLE)
        self.assertIsNotNone(first.refusal.retry_after)
        [second] = self.core.tick(DEADLINE_S + 1.0, WALL + DEADLINE_S + 1.0)
        self.assertEqual(second.request_id, "r2")
        self.assertEqual(second.refusal.code, Code.STORE_UNAVAILABLE)
        settled = SettledClaim(ClaimResult.OURS)
        self.assertEqual(self.core.claim_settled(claim.request_id, settled, 6.0), [])
        self.assertEqual(self.core.open_requests(), 0)
        again = self.bench.arrive("POST", "/booking/new", key="my-own-key", now=6.0)[0]
        self.assertIsInstance(again, Dispatch)

    def test_caller_of_a_hanging_outcome_is_answered_at_its_deadline(self) -> None:
        """A passenger whose entry died waits for 4 s while the store is silent.

        What the gone entry left is read in two calls, and each waits for the store's timeout.
        """
        key = self.bench.key(incarnation="f" * 16)
        [fetch] = self.bench.arrive("POST", "/booking/new", key=key)
        self.assertIsInstance(fetch, FetchOutcome)
        [refused] = self.core.tick(DEADLINE_S, WALL + DEADLINE_S)
        self.assertEqual(refused.refusal.code, Code.STORE_UNAVAILABLE)
        self.assertEqual(self.core.outcome_fetched(fetch.request_id, False, None, 4.0), [])

    def test_request_sent_to_the_holder_of_a_claim_is_not_refused_as_waiting(self) -> None:
        """A passenger is told that a booking was not run which another entry is just making.

        The claim is another entry's; the request and the one that joined it are sent there and
        are still on their way when their deadlines pass.
        """
        claim = self.bench.arrive("POST", "/booking/new", key="a-foreign-key")[0]
        self.bench.arrive("POST", "/booking/new", key="a-foreign-key")
        other = make_view(1).by_id["entry-2"]
        taken = SettledClaim(ClaimResult.TAKEN, other.incarnation)
        self.core.claim_settled(claim.request_id, taken, 0.1)
        self.assertEqual(self.core.tick(DEADLINE_S, WALL + DEADLINE_S), [])

    def test_all_callers_of_a_claim_leave(self) -> None:
        """A stopping entry never ends: it waits for a request whose caller is long gone.

        Two callers wait for one claim; both hang up before its answer comes.
        """
        claim = self.bench.arrive("POST", "/booking/new", key="my-own-key")[0]
        self.bench.arrive("POST", "/booking/new", key="my-own-key")
        for request_id in (claim.request_id, "r2"):
            self.core.caller_gone(request_id, 0.1)
        self.core.claim_settled(claim.request_id, SettledClaim(ClaimResult.OURS), 0.2)
        self.assertEqual(self.core.open_requests(), 0)

    def test_unreachable_home_leaves_the_outcome_unknown(self) -> None:
        """A passenger is told 'not run' of a booking that stands, and books again.

        The first copy reached the key's home, which was then cut off; the repeat comes to another
        entry, which can't reach the home and knows nothing of the first copy.
        """
        key = self.bench.key(incarnation=body(2))
        sent = self.bench.arrive("POST", "/booking/new", key=key)[0]
        ended = self.core.attempt_failed(sent.attempt_id, Failure.NOT_SENT, 0.1)[0]
        self.assertIs(CODES[ended.refusal.code].ran, Ran.UNKNOWN)

    def test_key_of_a_gone_entry_is_run_by_nobody(self) -> None:
        """A passenger would be booked twice.

        The home dispatched the booking and died; the repeat reaches another entry, which runs it.
        """
        key = self.bench.key(incarnation="f" * 16)
        asked = self.bench.arrive("POST", "/booking/new", key=key)[0]
        self.assertIsInstance(asked, FetchOutcome)
        ended = self.core.outcome_fetched(asked.request_id, False, None, 0.1)
        self.assertEqual(ended[0].refusal.code, Code.HOME_GONE)
