"""One open attempt of a request: collects or relays its answer and reports how it ended."""

from dataclasses import dataclass, field
from typing import Protocol

from twisted.web.http_headers import Headers

from briarspur.answerhead import AnswerHead
from briarspur.answers import Declined, is_continuation, is_draining, is_resumable, parse_declined
from briarspur.backend import Attempt, AttemptError
from briarspur.bufferedrequest import Flow
from briarspur.codes import Code
from briarspur.headers import answer_headers
from briarspur.messages import Dispatch, Failure, Forward, Request
from briarspur.refusal import Answer, Refusal

__all__ = ["AttemptOwner", "Caller", "InboundRequest", "OpenAttempt", "OpenRequest"]


class Caller(Protocol):
    """The open connection of a caller that waits for its answer."""

    def begin(self, head: AnswerHead, from_entry: bool, flow: Flow) -> None:
        """Send the head of an answer; ``flow`` is paused while the caller does not read."""

    def write(self, data: bytes) -> None:
        """Send a part of the body."""

    def change_flow(self, flow: Flow) -> None:
        """Pause another flow from now on, which delivers the rest of the body."""

    def finish(self) -> None:
        """End a complete answer."""

    def reply(self, answer: Answer, code: Code) -> None:
        """Send a complete answer."""

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the final answer."""

    def abort(self, refusal: Refusal) -> None:
        """Abort the connection, so that a truncated body can't be mistaken for a complete one."""


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """A received request, with the headers and body that the core does not need."""

    request: Request
    headers: Headers
    body: bytes
    caller: Caller


@dataclass(slots=True)
class OpenRequest:
    """A request without a final answer, or with an attempt that continues without its caller.

    Attributes
    ----------
    caller : Caller or None
        None once the caller has disconnected or got its final answer.
    bytes_sent : int
        Body bytes sent to the caller.
    first_head : AnswerHead or None
        The head that was sent to the caller.
    peer_code : Code or None
        The code of the last answer of another entry.
    entity_changed : bool
        The rest of the body was requested, but the answer contained another entity.
    region : str
        Region that this entry last dispatched the request to; empty if it did not.
    """

    inbound: InboundRequest
    arrived: float
    caller: Caller | None
    attempts_by_id: dict[int, "OpenAttempt"] = field(default_factory=dict)
    bytes_sent: int = 0
    first_head: AnswerHead | None = None
    peer_code: Code | None = None
    entity_changed: bool = False
    region: str = ""

    @property
    def request(self) -> Request:
        """The request as passed to the core."""
        return self.inbound.request

    def can_resume(self) -> bool:
        """Return whether the rest of a truncated body may be requested."""
        return (
            self.first_head is not None
            and not self.entity_changed
            and self.request.method == "GET"
            and not self.inbound.headers.hasHeader(b"Range")
            and is_resumable(self.first_head)
        )


class AttemptOwner(Protocol):
    """Receiver of the events of attempts, which it passes to the core."""

    def attempt_began(self, attempt: "OpenAttempt", status: int) -> bool:
        """Report the head; return whether to relay the answer."""

    def target_leaving(self, target_id: str) -> None:
        """Report that a backend server accepts no more requests."""

    def body_part_sent(self, attempt: "OpenAttempt", size: int) -> None:
        """Account for body bytes sent to a caller."""

    def attempt_ended(self, attempt: "OpenAttempt", answer: Answer | None) -> None:
        """Report a complete answer."""

    def attempt_failed(
        self, attempt: "OpenAttempt", failure: Failure, retry_after: float | None, crashed: bool
    ) -> None:
        """Report that the attempt ended without a complete answer."""


class OpenAttempt:
    """Handles the events of one attempt.

    An answer that has to be kept is collected before any of it is sent to the caller. So the caller
    of a once-only request gets a complete answer or a refusal with a code, and rarely an aborted
    connection. Beyond ``max_kept_bytes`` the answer is relayed as it arrives.

    Attributes
    ----------
    size : int
        Body bytes received.
    """

    def __init__(
        self,
        owner: AttemptOwner,
        action: Dispatch | Forward,
        open_request: OpenRequest,
        max_kept_bytes: int,
    ) -> None:
        self.action = action
        self.open_request = open_request
        self.size = 0
        self.head: AnswerHead | None = None
        self.handle: Attempt | None = None
        self._owner = owner
        self._max_kept_bytes = max_kept_bytes
        self._collected: list[bytes] | None = [] if action.keep_answer else None
        self._relaying = False
        self._pause_reasons: set[str] = set()

    @property
    def attempt_id(self) -> int:
        """The id that the core assigned to this attempt."""
        return self.action.attempt_id

    @property
    def status(self) -> int:
        """The status of the answer; 0 if none has arrived."""
        return self.head.status if self.head is not None else 0

    @property
    def to_entry(self) -> bool:
        """Whether the receiver is another entry."""
        return isinstance(self.action, Forward)

    def cancel(self) -> None:
        """Cancel the attempt; no event follows."""
        if self.handle is not None:
            self.handle.cancel()

    def head_received(self, head: AnswerHead) -> None:
        """Handle the head of a declined request, of the rest of a body, or of an answer."""
        assert self.handle is not None
        self.head = head
        if isinstance(self.action, Dispatch) and is_draining(head):
            self._owner.target_leaving(self.action.target.target_id)
        declined = self._parse_declined(head)
        if declined is not None:
            self._handle_declined(declined)
        elif self.action.resume_at and not self._is_continuation(head):
            self.open_request.entity_changed = True
            self.cancel()
            self._owner.attempt_failed(self, Failure.CUT_SHORT, None, False)
        elif self._collected is not None:
            self.handle.start_body()
        elif not self._owner.attempt_began(self, head.status):
            self.cancel()

    def relay(self) -> None:
        """Relay the answer: the part already collected now, the rest as it arrives."""
        assert self.handle is not None and self.head is not None
        self._relaying = True
        caller = self.open_request.caller
        if self.open_request.first_head is None:
            self.open_request.first_head = self.head
            if caller is not None:
                caller.begin(self.head, self.to_entry, _CallerFlow(self))
        elif caller is not None:
            caller.change_flow(_CallerFlow(self))
        if self._collected is None:
            self.handle.start_body()
            # start_body resumes the transport, even if the caller is not ready for more data.
            if self._pause_reasons:
                self.handle.pause()
            return
        for data in self._collected:
            self._send_to_caller(data)
        if self.size > self._max_kept_bytes:
            self._collected.clear()

    def data_received(self, data: bytes) -> None:
        """Collect or relay a part of the body."""
        self.size += len(data)
        if self._relaying:
            self._send_to_caller(data)
            return
        assert self._collected is not None and self.head is not None
        self._collected.append(data)
        if self.size > self._max_kept_bytes:
            self._start_relaying()

    def body_ended(self) -> None:
        """Report a complete answer, to be kept if it is small enough."""
        assert self.head is not None
        if not self._relaying and not self._start_relaying():
            return
        first = self.open_request.first_head
        expected = first.length if first is not None and self.action.resume_at else None
        if expected is not None and self.open_request.bytes_sent != expected:
            self._owner.attempt_failed(self, Failure.CUT_SHORT, None, False)
            return
        self._owner.attempt_ended(self, self._kept_answer())

    def attempt_failed(self, failed: AttemptError) -> None:
        """Report that the attempt failed."""
        self._owner.attempt_failed(self, failed.failure, None, failed.crashed)

    def pause(self, reason: str) -> None:
        """Stop reading the body for the given reason."""
        if not self._pause_reasons and self.handle is not None:
            self.handle.pause()
        self._pause_reasons.add(reason)

    def resume(self, reason: str) -> None:
        """Withdraw a reason; continue reading once there is none left."""
        self._pause_reasons.discard(reason)
        if not self._pause_reasons and self.handle is not None:
            self.handle.resume()

    def _parse_declined(self, head: AnswerHead) -> Declined | None:
        """Return a :class:`Declined` unless the head has to be relayed as an answer."""
        declined = parse_declined(head, self.to_entry)
        relayed = isinstance(self.action, Forward) and self.action.relay_refusals
        # Only the home of a key knows its outcome, so its refusal is relayed unchanged.
        if relayed and declined is not None and declined.code is not None:
            return None
        return declined

    def _handle_declined(self, declined: Declined) -> None:
        assert self.handle is not None
        self.handle.discard_body()
        if declined.code is not None:
            self.open_request.peer_code = declined.code
        self._owner.attempt_failed(self, declined.failure, declined.retry_after, False)

    def _is_continuation(self, head: AnswerHead) -> bool:
        first = self.open_request.first_head
        return first is not None and is_continuation(first, head, self.action.resume_at)

    def _start_relaying(self) -> bool:
        """Report the head of a collected answer; return whether it is relayed."""
        assert self.head is not None
        if self._owner.attempt_began(self, self.head.status):
            return True
        self.cancel()
        return False

    def _send_to_caller(self, data: bytes) -> None:
        caller = self.open_request.caller
        if caller is None:
            return
        caller.write(data)
        self.open_request.bytes_sent += len(data)
        self._owner.body_part_sent(self, len(data))

    def _kept_answer(self) -> Answer | None:
        if self._collected is None or self.size > self._max_kept_bytes:
            return None
        assert self.head is not None
        pairs = tuple(answer_headers(self.head.headers, self.to_entry))
        return Answer(self.head.status, pairs, b"".join(self._collected))


class _CallerFlow:
    """Pauses an attempt while its caller does not read.

    Without it, a whole chart pack would be buffered in this process for a caller on a slow link.
    Once reading stops, the connection's receive window fills up and the backend server waits.
    """

    def __init__(self, attempt: OpenAttempt) -> None:
        self._attempt = attempt

    def pause(self) -> None:
        self._attempt.pause("caller")

    def resume(self) -> None:
        self._attempt.resume("caller")
