"""Tests of requests that one entry sends on to another."""

import json
import math

from briarspur.codes import Code
from briarspur.messages import Action, EntryAddress, Failure, Forward, Refuse, Request
from briarspur.refusal import Refusal
from tests.httpfakes import HOST, Connection, DirectCore, Front, RawBackend, RawCaller, Read
from tests.loop import LoopTestCase


class ForwardingCore(DirectCore):
    """A core that sends each request on to another entry."""

    port = 0
    relay_refusals = False

    def dispatch(self, request: Request, now: float, resume_at: int) -> Action:
        self.last_attempt += 1
        self.requests_by_attempt[self.last_attempt] = request
        return Forward(
            request_id=request.request_id,
            attempt_id=self.last_attempt,
            entry=EntryAddress("entry-2", HOST, 1, self.port, 1),
            deadline=now + 5.0,
            dispatch_only=True,
            relay_refusals=self.relay_refusals,
            resume_at=resume_at,
            region="south",
        )


class RefusingCore(DirectCore):
    """A core that refuses each request with one code."""

    code = Code.KEY_REUSED

    def request_arrived(self, request: Request, now: float, wall: float) -> list[Action]:
        return [Refuse(request.request_id, Refusal(self.code, retry_after=3.0))]


async def answer_ok(connection: Connection, head: bytes) -> None:
    connection.send_answer(b"whole")


class ForwardTest(LoopTestCase):
    """Two entries: one forwards, the other decides."""

    def ask(self, first: ForwardingCore, second: DirectCore) -> Read:
        async def work() -> Read:
            async with RawBackend(answer_ok) as backend, Front(second) as behind:
                second.target = backend.address
                first.port = behind.forward_port
                async with Front(first) as front, RawCaller(front.caller_port) as caller:
                    self.front = front
                    key = b"Idempotency-Key: 12345678\r\n"
                    return await caller.get(b"/booking/", key)

        return self.run_on_loop(work())

    def test_a_forwarded_answer_is_counted_where_it_ran(self) -> None:
        # Half of a region's callers are moved to another. Counted under the entry's own region,
        # the service's page goes on showing that nothing has moved.
        self.ask(ForwardingCore(None), DirectCore(None))  # type: ignore[arg-type]
        self.assertEqual(self.front.regions, ["south"])

    def test_request_is_forwarded_whole(self) -> None:
        first, second = ForwardingCore(None), DirectCore(None)  # type: ignore[arg-type]
        read = self.ask(first, second)
        self.assertEqual((read.status, read.body), (200, b"whole"))
        self.assertEqual(read.headers[b"briarspur-code"], b"1000")
        sent, came = first.requests[0], second.requests[0]
        self.assertEqual(came.request_id, sent.request_id)
        self.assertEqual((came.key, came.body_digest), (sent.key, sent.body_digest))
        self.assertEqual((came.block, came.forwarded_by), (sent.block, "entry-1"))
        self.assertTrue(came.dispatch_only)
        self.assertTrue(math.isfinite(came.deadline))

    def test_refusal_that_was_not_run_is_reported_as_shed(self) -> None:
        first, second = ForwardingCore(None), RefusingCore(None)  # type: ignore[arg-type]
        read = self.ask(first, second)
        self.assertEqual(first.events, [("failed", Failure.SHED, 3.0, 0, False, False)])
        self.assertEqual(json.loads(read.body)["name"], "KEY_REUSED")

    def test_unknown_outcome_is_reported_as_lost(self) -> None:
        """The entry behind dispatched a booking and lost sight of it.

        Were its refusal taken for a plain one, the first entry would send the booking elsewhere.
        """
        first, second = ForwardingCore(None), RefusingCore(None)  # type: ignore[arg-type]
        second.code = Code.DEADLINE_PASSED_AFTER_DISPATCH
        read = self.ask(first, second)
        self.assertEqual(first.events[0][:2], ("failed", Failure.LOST))
        self.assertEqual(json.loads(read.body)["ran"], "unknown")
        self.assertEqual(json.loads(read.body)["name"], "DEADLINE_PASSED_AFTER_DISPATCH")

    def test_word_of_the_home_is_relayed(self) -> None:
        first, second = ForwardingCore(None), RefusingCore(None)  # type: ignore[arg-type]
        first.relay_refusals = True
        read = self.ask(first, second)
        self.assertEqual(first.events[0], ("began", 422))
        self.assertEqual(json.loads(read.body)["name"], "KEY_REUSED")
        self.assertEqual(read.headers[b"briarspur-ran"], b"no")

    def test_answer_of_something_that_is_no_entry_proves_nothing(self) -> None:
        async def work() -> Read:
            async def not_run(connection: Connection, head: bytes) -> None:
                connection.send_answer(b"", b"503 Busy", b"Request-Not-Run: true\r\n")

            async with RawBackend(not_run) as stranger:
                first.port = stranger.port
                async with Front(first) as front, RawCaller(front.caller_port) as caller:
                    return await caller.get(b"/booking/")

        first = ForwardingCore(None)  # type: ignore[arg-type]
        self.assertEqual(json.loads(self.run_on_loop(work()).body)["ran"], "unknown")
        self.assertEqual(first.events[0][:2], ("failed", Failure.LOST))
