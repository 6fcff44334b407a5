"""Tests of requests that one entry forwards to another."""

import json
import math

from briarspur.codes import Code
from briarspur.messages import Action, EntryAddress, Failure, Forward, Refuse, Request
from briarspur.refusal import Refusal
from tests.httpfakes import (
    HOST,
    Connection,
    DirectCore,
    HttpEntry,
    RawBackend,
    RawCaller,
    ReceivedAnswer,
)
from tests.loop import LoopTestCase


class ForwardingCore(DirectCore):
    """A core that forwards each request to another entry."""

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
    """One entry forwards requests to a second one, which decides on them."""

    def forward(self, first: ForwardingCore, second: DirectCore) -> ReceivedAnswer:
        async def work() -> ReceivedAnswer:
            async with RawBackend(answer_ok) as backend, HttpEntry(second) as second_entry:
                second.target = backend.address
                first.port = second_entry.forward_port
                async with HttpEntry(first) as entry, RawCaller(entry.caller_port) as caller:
                    self.entry = entry
                    key = b"Idempotency-Key: 12345678\r\n"
                    return await caller.get(b"/booking/", key)

        return self.run_on_loop(work())

    def test_a_forwarded_answer_is_counted_where_it_ran(self) -> None:
        # Guards against a split that seems to have no effect: when requests are shifted to another
        # region but counted under the entry's own one, the service's page shows no shift.
        self.forward(ForwardingCore(None), DirectCore(None))  # type: ignore[arg-type]
        self.assertEqual(self.entry.regions, ["south"])

    def test_request_is_forwarded_completely(self) -> None:
        first, second = ForwardingCore(None), DirectCore(None)  # type: ignore[arg-type]
        answer = self.forward(first, second)
        self.assertEqual((answer.status, answer.body), (200, b"whole"))
        self.assertEqual(answer.headers[b"briarspur-code"], b"1000")
        sent, received = first.requests[0], second.requests[0]
        self.assertEqual(received.request_id, sent.request_id)
        self.assertEqual((received.key, received.body_digest), (sent.key, sent.body_digest))
        self.assertEqual((received.block, received.forwarded_by), (sent.block, "entry-1"))
        self.assertTrue(received.dispatch_only)
        self.assertTrue(math.isfinite(received.deadline))

    def test_refusal_that_was_not_run_is_reported_as_shed(self) -> None:
        first, second = ForwardingCore(None), RefusingCore(None)  # type: ignore[arg-type]
        answer = self.forward(first, second)
        self.assertEqual(first.events, [("failed", Failure.SHED, 3.0, 0, False, False)])
        self.assertEqual(json.loads(answer.body)["name"], "KEY_REUSED")

    def test_unknown_outcome_is_reported_as_lost(self) -> None:
        """Guard against a booking that is sent twice after its outcome became unknown.

        The second entry dispatched a booking but does not know its outcome. If its refusal counted
        as not run, the first entry would send the booking to another server.
        """
        first, second = ForwardingCore(None), RefusingCore(None)  # type: ignore[arg-type]
        second.code = Code.DEADLINE_PASSED_AFTER_DISPATCH
        answer = self.forward(first, second)
        self.assertEqual(first.events[0][:2], ("failed", Failure.LOST))
        self.assertEqual(json.loads(answer.body)["ran"], "unknown")
        self.assertEqual(json.loads(answer.body)["name"], "DEADLINE_PASSED_AFTER_DISPATCH")

    def test_refusal_by_the_home_of_a_key_is_relayed(self) -> None:
        first, second = ForwardingCore(None), RefusingCore(None)  # type: ignore[arg-type]
        first.relay_refusals = True
        answer = self.forward(first, second)
        self.assertEqual(first.events[0], ("began", 422))
        self.assertEqual(json.loads(answer.body)["name"], "KEY_REUSED")
        self.assertEqual(answer.headers[b"briarspur-ran"], b"no")

    def test_answer_of_a_server_that_is_not_an_entry_does_not_prove_not_run(self) -> None:
        async def work() -> ReceivedAnswer:
            async def not_run(connection: Connection, head: bytes) -> None:
                connection.send_answer(b"", b"503 Busy", b"Request-Not-Run: true\r\n")

            async with RawBackend(not_run) as stranger:
                first.port = stranger.port
                async with HttpEntry(first) as entry, RawCaller(entry.caller_port) as caller:
                    return await caller.get(b"/booking/")

        first = ForwardingCore(None)  # type: ignore[arg-type]
        self.assertEqual(json.loads(self.run_on_loop(work()).body)["ran"], "unknown")
        self.assertEqual(first.events[0][:2], ("failed", Failure.LOST))
