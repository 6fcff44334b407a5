"""Sends a request over a connection to another process and reads its response."""

import math
from typing import Protocol

from briarspur.answerhead import AnswerHead
from briarspur.gateway.connection import ExpectedResponse, TargetConnection
from briarspur.gateway.outcome import NOT_RUN, Outcome
from briarspur.gateway.pool import PendingConnection
from briarspur.gateway.services import IncomingRequest, Services
from briarspur.gateway.work import Work

__all__ = ["Destination", "OutgoingRequest", "RequestOwner"]

MAX_FAILURE_BYTES = 262_144
"""Largest body of a failure or rejection, which is buffered, as it may be followed by a retry."""


class RequestOwner(Protocol):
    """The exchange that an outgoing request belongs to, which is notified of its progress."""

    @property
    def request(self) -> IncomingRequest:
        """The request to send."""

    def response_unidentified(self, outgoing: "OutgoingRequest") -> None:
        """Handle a discarded response that may have been the one to the request."""

    def headers_received(self, outgoing: "OutgoingRequest", head: AnswerHead) -> None:
        """Handle the headers of a response that may be forwarded to the caller."""

    def body_received(self, outgoing: "OutgoingRequest") -> None:
        """Handle a further chunk of the body, which ``pop_body`` returns."""

    def request_ended(self, outgoing: "OutgoingRequest", outcome: Outcome, detail: str) -> None:
        """Handle the end of the outgoing request."""


class Destination(Protocol):
    """Where a request is sent, and what its progress means there."""

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""

    @property
    def echoes_ids(self) -> bool:
        """Whether its responses have the id of their request."""

    @property
    def overdue_after(self) -> float:
        """Seconds from the start after which the response is overdue."""

    def record_overdue(self, now: float) -> None:
        """Record that the response is overdue."""

    def record_end(self, outcome: Outcome, detail: str, was_sent: bool, now: float) -> None:
        """Record how the attempt ended, and whether any of the request was sent."""

    def connected(self, seconds: float) -> None:
        """Record that a new connection was made, and how long that took."""

    def connection_failed(self) -> None:
        """Record that no connection could be made."""

    def accepts(self, now: float) -> bool:
        """Return whether the request may still be sent, once the connection is made."""

    def allot_attempts(self) -> int:
        """Return to how many servers this attempt may send the request; called as it is sent."""

    def encode(self, request: IncomingRequest, remaining_ms: int) -> bytes:
        """Return the request as it is sent."""

    def head_received(self, head: AnswerHead) -> None:
        """Handle the head of the response immediately, since the body may take long to arrive."""

    def outcome(self, head: AnswerHead) -> Outcome:
        """Return the outcome that the head of the response states."""


class OutgoingRequest:
    """One attempt to get a response; implements :class:`ResponseSink`.

    Attributes
    ----------
    buffered_bytes : int
        Size of the body that was received and not popped yet.
    was_sent : bool
        Whether any of the request was sent.
    is_unidentified : bool
        Whether its response may belong to another request.
    """

    def __init__(
        self, owner: RequestOwner, services: Services, work: Work, destination: Destination
    ) -> None:
        self._owner = owner
        self._services = services
        self._work = work
        self.destination = destination
        self.head: AnswerHead | None = None
        self.ended = False
        self.buffered_bytes = 0
        self.was_sent = False
        self.is_unidentified = False
        self._has_discarded = False
        self._chunks: list[bytes] = []
        self._connection: TargetConnection | None = None
        self._pending_connection: PendingConnection | None = None

    # Life cycle

    def start(self) -> None:
        """Send the request over an idle connection, or open a new one."""
        pool = self._services.pool
        connection = None
        if self._can_share_connection():
            connection = pool.acquire_idle(self.destination.address, self._work.route.repeatable)
        if connection is not None:
            self._send(connection)
            return
        self._pending_connection = PendingConnection(self._connected, self._connection_failed)
        pool.connect(self.destination.address, self._pending_connection)

    def _can_share_connection(self) -> bool:
        """Return whether the id tells the response from those to earlier requests.

        Late copies of the response to an earlier attempt at the same server have the same id.
        """
        if not self.destination.echoes_ids:
            return True
        is_first = self.destination.address not in self._work.addresses
        return bool(self._work.request_id) and is_first

    def abandon(self, outcome: Outcome, detail: str = "") -> None:
        """End the attempt and close its connection, which also stops the work on it."""
        if self.ended:
            return
        if self._pending_connection is not None:
            self._pending_connection.cancel()
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
        self._end(outcome, detail)

    def pop_body(self) -> bytes:
        """Return the part of the body received since the last call."""
        body = b"".join(self._chunks)
        self._chunks.clear()
        self.buffered_bytes = 0
        return body

    def is_misstated(self, head: AnswerHead) -> bool:
        """Return whether a response that belongs to a run must not reach the caller.

        Its status would tell the caller that the request was not run, and the caller would repeat a
        request that must run once at most.
        """
        states_not_run = self._services.dialect.states_not_run(head.status)
        return states_not_run and not self._work.route.repeatable

    def pause(self) -> None:
        """Stop reading the response while the caller does not read."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Resume reading the response."""
        if self._connection is not None:
            self._connection.resume()

    # Connection

    def _connected(self, connection: TargetConnection, seconds: float) -> None:
        self.destination.connected(seconds)
        self._pending_connection = None
        if self.ended:
            connection.abort()
            return
        if not self.destination.accepts(self._services.clock.seconds()):
            connection.abort()
            self._end(Outcome.DEPARTED, "")
            return
        self._send(connection)

    def _connection_failed(self, reason: str) -> None:
        self._pending_connection = None
        if not self.ended:
            self.destination.connection_failed()
            self._end(Outcome.NOT_SENT, reason)

    def _send(self, connection: TargetConnection) -> None:
        services, work = self._services, self._work
        remaining = work.deadline - services.clock.seconds()
        if remaining <= 0.0:
            services.pool.connection_idle(connection)
            self._end(Outcome.NOT_SENT, "deadline")
            return
        work.sent += self.destination.allot_attempts()
        work.addresses.add(self.destination.address)
        self.was_sent = True
        self._connection = connection
        request = self._owner.request
        dialect = services.dialect
        request_id = work.request_id.encode("latin-1")
        expected = ExpectedResponse(
            request.method,
            lambda headers: dialect.matches_request(headers, request_id),
            self.destination.echoes_ids,
            self._accept_without_id,
        )
        connection.send(
            self.destination.encode(request, math.floor(remaining * 1000.0)), expected, self
        )

    # Response

    def response_unidentified(self) -> None:
        """Report the first discarded response that may have been the one to this request."""
        if not self._has_discarded:
            self._has_discarded = True
            self._owner.response_unidentified(self)

    def response_started(self, head: AnswerHead) -> None:
        """Handle the head, and offer a response that may be forwarded."""
        self.head = head
        self.destination.head_received(head)
        if self._outcome(head) is Outcome.ANSWERED:
            self._owner.headers_received(self, head)

    def data_received(self, data: bytes) -> None:
        """Buffer a chunk of the body, up to a limit if the response is a failure."""
        self._chunks.append(data)
        self.buffered_bytes += len(data)
        if self.head is not None and self._outcome(self.head) is Outcome.ANSWERED:
            self._owner.body_received(self)
        elif self.buffered_bytes > MAX_FAILURE_BYTES:
            connection, self._connection = self._connection, None
            if connection is not None:
                connection.abort()
            self.response_failed("the body of a failure is too long")

    def response_complete(self) -> None:
        """End the attempt with the outcome of the complete response."""
        if self.ended:
            return
        assert self.head is not None
        self._connection = None
        self._end(self._outcome(self.head), str(self.head.status))

    def response_failed(self, reason: str) -> None:
        """End the attempt; the outcome depends on the headers if they were received."""
        if self.ended:
            return
        self._connection = None
        outcome = Outcome.LOST
        if self.head is not None:
            head_outcome = self._outcome(self.head)
            if head_outcome in (Outcome.REJECTED, Outcome.MISDIRECTED):
                outcome = head_outcome
            else:
                outcome = Outcome.INVALID
        self._services.pool.discard_idle(self.destination.address)
        self._end(outcome, reason)

    def _accept_without_id(self, head: AnswerHead) -> bool:
        """Take a rejection that may belong to another request, if this one may be sent again."""
        if not self._work.route.repeatable or self.destination.outcome(head) not in NOT_RUN:
            return False
        self.is_unidentified = True
        return True

    def _outcome(self, head: AnswerHead) -> Outcome:
        """Return the outcome that the head states for this request."""
        outcome = self.destination.outcome(head)
        if outcome is Outcome.ANSWERED and self.is_misstated(head):
            return Outcome.SERVER_ERROR
        return outcome

    def _end(self, outcome: Outcome, detail: str) -> None:
        if self.ended:
            return
        self.ended = True
        self._owner.request_ended(self, outcome, detail)
