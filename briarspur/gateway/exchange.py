"""One caller's request on its way: attempts at backend servers, and the answer back."""

from collections.abc import Callable
from typing import Any, Protocol

from briarspur.answerhead import AnswerHead
from briarspur.bufferedrequest import Flow
from briarspur.codes import CODES, Code, Ran
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.sending import IncomingRequest, Sending, Services
from briarspur.gateway.work import Attempt, Refused, Work

__all__ = ["Caller", "Exchange"]

HELD_BYTES = 262_144
"""An answer up to this size is passed on once it is whole, so that one that breaks off can be asked
for again; a longer one is streamed. 100 such answers in flight take 26 MB of a process's 300."""
SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504


class Caller(Protocol):
    """The caller's side of an exchange."""

    def begin(self, head: AnswerHead, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of an answer."""

    def follow(self, flow: Flow) -> None:
        """Slow the flow of the body while the caller does not read."""

    def write(self, data: bytes) -> None:
        """Send a part of the body."""

    def end(self) -> None:
        """End the answer."""

    def refuse(self, refused: Refused) -> None:
        """Send a final answer of our own."""

    def abort(self) -> None:
        """Cut the connection, so that a part can't be taken for the whole."""


class Exchange:
    """Carries one request until its final answer.

    Usually one attempt runs. A second one runs beside it when the first is far later than
    expected; the answer that is whole first is passed on and the other attempt is given up.
    """

    def __init__(
        self,
        services: Services,
        request: IncomingRequest,
        work: Work,
        caller: Caller,
        on_ended: "Callable[[Exchange], None]",
    ) -> None:
        self._services = services
        self.request = request
        self.work = work
        self._caller = caller
        self._on_ended = on_ended
        self._sendings: list[Sending] = []
        self._timers: list[Any] = []
        self._streaming: Sending | None = None
        self.done = False
        # The answer is decided: attempts that end from now on lead to nothing. Without it, giving
        # up the slower of two attempts counted as a failure and brought on a retry, whose answer
        # then met a caller that had been answered.
        self._decided = False

    def start(self) -> None:
        """Make the first attempt."""
        now = self._services.clock.seconds()
        first = self._services.steering.next_attempt(self.work, now)
        if isinstance(first, Refused):
            self._refuse(first)
            return
        self._later(self.work.deadline - now, self._deadline_passed)
        self._attempt(first, "first")

    def caller_gone(self) -> None:
        """Stop what is done for a caller that has hung up.

        A request that can't be repeated runs to its end: half of it undone would be worse.
        """
        if self.done:
            return
        self._decided = True
        if self.work.route.repeatable:
            for sending in list(self._sendings):
                sending.give_up(Outcome.ABANDONED)
        self._finish(Code.CALLER_GONE, 0)

    # Events of attempts

    def sending_began(self, sending: Sending, head: AnswerHead) -> None:
        """Stream a long answer, as soon as its head is there."""
        if head.length is not None and head.length > HELD_BYTES and not self._decided:
            self._stream(sending)

    def sending_grew(self, sending: Sending) -> None:
        """Stream an answer that turned out to be long, or pass on the next part."""
        if self.done:
            return
        if self._streaming is sending:
            self._caller.write(sending.take_body())
        elif not self._decided and sending.held > HELD_BYTES:
            self._stream(sending)

    def sending_ended(self, sending: Sending, outcome: Outcome, detail: str) -> None:
        """Pass the answer on, or decide about another attempt."""
        now = self._services.clock.seconds()
        self._sendings.remove(sending)
        steering = self._services.steering
        steering.attempt_ended(sending.attempt, outcome, now)
        self._services.log.attempt_ended(sending.attempt, outcome, detail, now)
        if self.done:
            return
        if self._streaming is sending:
            self._stream_ended(outcome)
            return
        if self._decided:
            return
        if outcome is Outcome.ANSWERED:
            self._deliver(sending)
            return
        if self._sendings:
            # The other attempt may still bring the answer.
            return
        again = steering.retry(self.work, outcome, now)
        if isinstance(again, Attempt):
            self._attempt(again, outcome.value)
        elif outcome is Outcome.SERVER_ERROR:
            self._deliver(sending)
        elif again is not None:
            self._refuse(again)
        else:
            self._refuse(Refused(_failure_code(self.work, outcome), detail=detail))

    # Parts

    def _attempt(self, attempt: Attempt, why: str) -> None:
        sending = Sending(self, self._services, attempt)
        self._sendings.append(sending)
        self._services.log.attempt_started(attempt, len(self.work.tried), why)
        self._later(attempt.overdue_after, self._overdue, sending)
        sending.start()

    def _overdue(self, sending: Sending) -> None:
        if self.done or sending.ended or self._streaming is not None:
            return
        now = self._services.clock.seconds()
        self._services.steering.record_overdue(sending.attempt, now)
        if len(self._sendings) > 1:
            return
        second = self._services.steering.hedge(self.work, now)
        if second is not None:
            self._attempt(second, "hedge")

    def _deadline_passed(self) -> None:
        if self.done:
            return
        self._decided = True
        streaming, self._streaming = self._streaming, None
        for sending in list(self._sendings):
            sending.give_up(Outcome.TIMED_OUT)
        if streaming is not None:
            self._cut(Code.ANSWER_CUT_SHORT)
            return
        once = not self.work.route.repeatable
        self._refuse(Refused(Code.DEADLINE_PASSED_AFTER_DISPATCH if once else Code.DEADLINE_PASSED))

    def _deliver(self, sending: Sending) -> None:
        assert sending.head is not None
        self._decided = True
        head, body = sending.head, sending.take_body()
        self._give_up_others(sending)
        self._services.steering.record_answer_size(self.work, len(body))
        whole = AnswerHead(head.status, head.headers, len(body))
        self._caller.begin(whole, self._services.dialect.answer_headers(head.headers))
        self._caller.write(body)
        self._caller.end()
        self._finish(Code.ANSWERED, head.status)

    def _stream(self, sending: Sending) -> None:
        assert sending.head is not None
        self._streaming = sending
        self._decided = True
        self._give_up_others(sending)
        head = sending.head
        self._caller.begin(head, self._services.dialect.answer_headers(head.headers))
        self._caller.follow(sending)
        self._caller.write(sending.take_body())

    def _stream_ended(self, outcome: Outcome) -> None:
        assert self._streaming is not None and self._streaming.head is not None
        if outcome in (Outcome.ANSWERED, Outcome.SERVER_ERROR):
            self._caller.end()
            self._finish(Code.ANSWERED, self._streaming.head.status)
        else:
            self._cut(Code.ANSWER_CUT_SHORT)

    def _cut(self, code: Code) -> None:
        self._caller.abort()
        self._finish(code, 0)

    def _give_up_others(self, kept: Sending) -> None:
        for sending in list(self._sendings):
            if sending is not kept:
                sending.give_up(Outcome.ABANDONED)

    def _refuse(self, refused: Refused) -> None:
        if CODES[refused.code].ran is Ran.NO:
            self._services.steering.quotas.refund(self.work.customer)
        self._caller.refuse(refused)
        status = self._services.dialect.status(refused.code)
        self._finish(refused.code, status, refused.detail)

    def _finish(self, code: Code, status: int, detail: str = "") -> None:
        if self.done:
            return
        self.done = True
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()
        services = self._services
        now = services.clock.seconds()
        services.log.request_ended(self.work, code, status, now, detail)
        self._on_ended(self)

    def _later(self, delay: float, call: Callable[..., object], *args: object) -> None:
        self._timers.append(self._services.clock.callLater(max(0.0, delay), call, *args))


def _failure_code(work: Work, outcome: Outcome) -> Code:
    if outcome is Outcome.TIMED_OUT:
        return Code.DEADLINE_PASSED
    if not work.route.repeatable:
        return Code.OUTCOME_UNKNOWN
    return Code.ANSWER_CUT_SHORT if outcome is Outcome.INVALID else Code.CONNECTION_LOST
