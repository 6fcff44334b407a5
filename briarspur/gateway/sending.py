"""One attempt on the wire: a request sent to a backend server, and its answer."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from twisted.web.http_headers import Headers

from briarspur.answerhead import AnswerHead
from briarspur.codes import Code
from briarspur.gateway.connection import Expected, TargetConnection
from briarspur.gateway.dialect import Dialect
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.pool import Connecting, ConnectionPool
from briarspur.gateway.steering import Steering
from briarspur.gateway.work import Attempt, Work

__all__ = ["Clock", "ExchangeLog", "IncomingRequest", "Sending", "SendingOwner", "Services"]


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request as it came, whole."""

    method: bytes
    uri: bytes
    headers: Headers
    body: bytes


class ExchangeLog(Protocol):
    """Who keeps the story of a request."""

    def attempt_started(self, attempt: Attempt, number: int, why: str) -> None:
        """Note an attempt."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, detail: str, now: float) -> None:
        """Note the end of an attempt."""

    def request_ended(
        self, work: Work, code: Code, status: int, now: float, detail: str = ""
    ) -> None:
        """Note the final answer, with what led to it if it is our own."""


class Clock(Protocol):
    """Monotonic time and delayed calls."""

    def seconds(self) -> float:
        """Return the time in seconds."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object
    ) -> Any:
        """Call after a delay in seconds."""


@dataclass(frozen=True, slots=True)
class Services:
    """What every exchange of a process uses."""

    steering: Steering
    pool: ConnectionPool
    clock: Clock
    dialect: Dialect
    log: ExchangeLog


class SendingOwner(Protocol):
    """The exchange that an attempt belongs to."""

    @property
    def request(self) -> IncomingRequest:
        """The request to be sent."""

    def sending_began(self, sending: "Sending", head: AnswerHead) -> None:
        """Take the head of an answer that may be passed on."""

    def sending_grew(self, sending: "Sending") -> None:
        """Note that there is more of its body."""

    def sending_ended(self, sending: "Sending", outcome: Outcome, detail: str) -> None:
        """Take the end of the attempt."""


class Sending:
    """One attempt on the wire; implements :class:`AnswerSink`."""

    def __init__(self, owner: SendingOwner, services: Services, attempt: Attempt) -> None:
        self._owner = owner
        self._services = services
        self.attempt = attempt
        self.head: AnswerHead | None = None
        self.ended = False
        self.held = 0
        self._parts: list[bytes] = []
        self._connection: TargetConnection | None = None
        self._connecting: Connecting | None = None

    def start(self) -> None:
        """Send over a kept connection, or make one."""
        registration = self.attempt.target.registration
        address = (registration.host, registration.port)
        pool = self._services.pool
        connection = pool.take_idle(address, self.attempt.work.route.repeatable)
        if connection is not None:
            self._send(connection)
            return
        self._connecting = Connecting(self._connected, self._not_connected)
        pool.connect(address, self._connecting)

    def give_up(self, outcome: Outcome) -> None:
        """End the attempt and close its connection, which also ends the server's work."""
        if self.ended:
            return
        if self._connecting is not None:
            self._connecting.cancel()
        connection, self._connection = self._connection, None
        self._end(outcome, "")
        if connection is not None:
            connection.abort()

    def take_body(self) -> bytes:
        """Return what was read of the body and not taken yet."""
        body = b"".join(self._parts)
        self._parts.clear()
        self.held = 0
        return body

    def pause(self) -> None:
        """Stop reading the answer while the caller does not."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Go on reading the answer."""
        if self._connection is not None:
            self._connection.resume()

    # Connection

    def _connected(self, connection: TargetConnection, seconds: float) -> None:
        self._services.steering.transit.record_connect(self.attempt.target, seconds)
        self._connecting = None
        if self.ended:
            connection.abort()
            return
        # The server may have left or asked for rest, or its zone been evacuated, while the
        # connection was made. Its 0.5 s would add to the time in which that became known: a request
        # chosen just before would reach the server later than its operators were promised.
        now = self._services.clock.seconds()
        if not self._services.steering.targets.accepts_work(self.attempt.target, now):
            connection.abort()
            self._end(Outcome.DEPARTED, "")
            return
        self._send(connection)

    def _not_connected(self, reason: str) -> None:
        self._connecting = None
        if not self.ended:
            self._end(Outcome.NOT_SENT, reason)

    def _send(self, connection: TargetConnection) -> None:
        services, work = self._services, self.attempt.work
        left = work.deadline - services.clock.seconds()
        if left <= 0.0:
            services.pool.connection_idle(connection)
            self._end(Outcome.NOT_SENT, "deadline")
            return
        work.sent += 1
        self._connection = connection
        request = self._owner.request
        dialect = services.dialect
        data = dialect.request_bytes(
            request.method,
            request.uri,
            request.headers,
            request.body,
            self.attempt.target.registration.target_id,
            math.floor(left * 1000.0),
            None if work.customer is None else work.customer.name,
        )
        request_id = work.request_id.encode("latin-1")
        expected = Expected(
            request.method, lambda headers: dialect.matches_request(headers, request_id)
        )
        connection.send(data, expected, self)

    # Answer

    def answer_began(self, head: AnswerHead) -> None:
        """Take the head, and what the server says of itself: its body may take long."""
        self.head = head
        services = self._services
        notice = services.dialect.notice(head)
        if notice is not None:
            services.steering.record_notice(self.attempt.target, notice, services.clock.seconds())
        if self._is_passed_on(head):
            self._owner.sending_began(self, head)

    def answer_data(self, data: bytes) -> None:
        """Take a part of the body."""
        self._parts.append(data)
        self.held += len(data)
        if self.head is not None and self._is_passed_on(self.head):
            self._owner.sending_grew(self)

    def answer_ended(self) -> None:
        """Judge the whole answer."""
        if self.ended:
            return
        assert self.head is not None
        self._connection = None
        outcome = self._services.dialect.outcome(self.head)
        self._end(outcome, str(self.head.status))

    def answer_broken(self, reason: str) -> None:
        """Note that no whole answer came; an earlier head may have settled what it means."""
        if self.ended:
            return
        self._connection = None
        outcome = Outcome.LOST
        if self.head is not None:
            judged = self._services.dialect.outcome(self.head)
            if judged in (Outcome.REJECTED, Outcome.MISDIRECTED):
                outcome = judged
            else:
                outcome = Outcome.INVALID
        registration = self.attempt.target.registration
        self._services.pool.discard_idle((registration.host, registration.port))
        self._end(outcome, reason)

    def _is_passed_on(self, head: AnswerHead) -> bool:
        return self._services.dialect.outcome(head) is Outcome.ANSWERED

    def _end(self, outcome: Outcome, detail: str) -> None:
        if self.ended:
            return
        self.ended = True
        self._owner.sending_ended(self, outcome, detail)
