"""One open attempt of a request: collects or passes on its answer, and tells its owner the end."""

from dataclasses import dataclass, field
from typing import Protocol

from twisted.web.http_headers import Headers

from briarspur.answerhead import AnswerHead
from briarspur.answers import Declined, continues, declined, is_draining, is_resumable
from briarspur.backend import Attempt, AttemptError
from briarspur.codes import Code
from briarspur.headers import answer_headers
from briarspur.heldrequest import Flow
from briarspur.messages import Dispatch, Failure, Forward, Request
from briarspur.refusal import Answer, Refusal

__all__ = ["AttemptOwner", "Caller", "Inbound", "OpenAttempt", "OpenRequest"]


class Caller(Protocol):
    """The open connection of a caller that waits for its answer."""

    def begin(self, head: AnswerHead, from_entry: bool, flow: Flow) -> None:
        """Send the head of an answer; ``flow`` is slowed while the caller does not read."""

    def write(self, data: bytes) -> None:
        """Send a part of the body."""

    def change_flow(self, flow: Flow) -> None:
        """Slow another flow from now on: the rest of the body comes from there."""

    def finish(self) -> None:
        """End a whole answer."""

    def reply(self, answer: Answer, code: Code) -> None:
        """Send a whole answer."""

    def refuse(self, refusal: Refusal) -> None:
        """Send a final answer of our own."""

    def abort(self, refusal: Refusal) -> None:
        """Cut the connection, so that a part of a body can't be taken for the whole."""


@dataclass(frozen=True, slots=True)
class Inbound:
    """A request as it came, with what the decisions do not need: headers and body."""

    request: Request
    headers: Headers
    body: bytes
    caller: Caller


@dataclass(slots=True)
class OpenRequest:
    """A request that has no final answer yet, or whose attempt runs on without its caller.

    Attributes
    ----------
    caller : Caller or None
        None once the caller is gone or has its final answer.
    bytes_sent : int
        Body bytes given to the caller.
    first_head : AnswerHead or None
        The head that the caller got.
    peer_code : Code or None
        What another entry answered last.
    another_entity : bool
        The rest of the body was asked for, and another entity came.
    region : str
        Where this entry dispatched the request last; empty if it did not.
    """

    inbound: Inbound
    arrived: float
    caller: Caller | None
    attempts_by_id: dict[int, "OpenAttempt"] = field(default_factory=dict)
    bytes_sent: int = 0
    first_head: AnswerHead | None = None
    peer_code: Code | None = None
    another_entity: bool = False
    region: str = ""

    @property
    def request(self) -> Request:
        """The request as the core knows it."""
        return self.inbound.request

    def can_resume(self) -> bool:
        """Return whether the rest of the body may be asked for after a cut."""
        return (
            self.first_head is not None
            and not self.another_entity
            and self.request.method == "GET"
            and not self.inbound.headers.hasHeader(b"Range")
            and is_resumable(self.first_head)
        )


class AttemptOwner(Protocol):
    """Who carries the events of attempts to the core."""

    def attempt_began(self, attempt: "OpenAttempt", status: int) -> bool:
        """Report the head; return whether the answer is to be passed on."""

    def target_leaving(self, target_id: str) -> None:
        """Note that a backend server said it takes no new work."""

    def part_passed(self, attempt: "OpenAttempt", size: int) -> None:
        """Account for body bytes given to a caller."""

    def attempt_ended(self, attempt: "OpenAttempt", answer: Answer | None) -> None:
        """Report a whole answer."""

    def attempt_failed(
        self, attempt: "OpenAttempt", failure: Failure, retry_after: float | None, crashed: bool
    ) -> None:
        """Report that no whole answer will come."""


class OpenAttempt:
    """Takes the events of one attempt.

    An answer that is to be remembered is collected before its caller gets any of it, so that a
    caller of a once-only request sees a whole answer or a numbered one, seldom a cut connection.
    Beyond ``most_kept`` bytes it is passed on as it comes.

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
        most_kept: int,
    ) -> None:
        self.action = action
        self.open_request = open_request
        self.size = 0
        self.head: AnswerHead | None = None
        self.handle: Attempt | None = None
        self._owner = owner
        self._most_kept = most_kept
        self._collected: list[bytes] | None = [] if action.keep_answer else None
        self._passing = False
        self._held_by: set[str] = set()

    @property
    def attempt_id(self) -> int:
        """The core's number of this attempt."""
        return self.action.attempt_id

    @property
    def status(self) -> int:
        """The answer's status; 0 if none has come."""
        return self.head.status if self.head is not None else 0

    @property
    def to_entry(self) -> bool:
        """Whether the receiver is another entry."""
        return isinstance(self.action, Forward)

    def cancel(self) -> None:
        """Give the attempt up; no event follows."""
        if self.handle is not None:
            self.handle.cancel()

    def head_received(self, head: AnswerHead) -> None:
        """Judge the head: a refusal, the rest of a cut body, or an answer."""
        assert self.handle is not None
        self.head = head
        if isinstance(self.action, Dispatch) and is_draining(head):
            self._owner.target_leaving(self.action.target.target_id)
        refused = self._refused(head)
        if refused is not None:
            self._decline(refused)
        elif self.action.resume_at and not self._continues(head):
            self.open_request.another_entity = True
            self.cancel()
            self._owner.attempt_failed(self, Failure.CUT_SHORT, None, False)
        elif self._collected is not None:
            self.handle.start_body()
        elif not self._owner.attempt_began(self, head.status):
            self.cancel()

    def pass_on(self) -> None:
        """Give the answer to the caller: what is here now, the rest as it comes."""
        assert self.handle is not None and self.head is not None
        self._passing = True
        caller = self.open_request.caller
        if self.open_request.first_head is None:
            self.open_request.first_head = self.head
            if caller is not None:
                caller.begin(self.head, self.to_entry, _CallerFlow(self))
        elif caller is not None:
            caller.change_flow(_CallerFlow(self))
        if self._collected is None:
            self.handle.start_body()
            # Reading a body starts its transport, also for a caller that is not ready for more.
            if self._held_by:
                self.handle.pause()
            return
        for data in self._collected:
            self._give(data)
        if self.size > self._most_kept:
            self._collected.clear()

    def data_received(self, data: bytes) -> None:
        """Collect or pass on a part of the body."""
        self.size += len(data)
        if self._passing:
            self._give(data)
            return
        assert self._collected is not None and self.head is not None
        self._collected.append(data)
        if self.size > self._most_kept:
            self._begin_collected()

    def body_ended(self) -> None:
        """Report a whole answer, remembered if it is small enough."""
        assert self.head is not None
        if not self._passing and not self._begin_collected():
            return
        first = self.open_request.first_head
        expected = first.length if first is not None and self.action.resume_at else None
        if expected is not None and self.open_request.bytes_sent != expected:
            self._owner.attempt_failed(self, Failure.CUT_SHORT, None, False)
            return
        self._owner.attempt_ended(self, self._kept_answer())

    def attempt_failed(self, failed: AttemptError) -> None:
        """Report a failure."""
        self._owner.attempt_failed(self, failed.failure, None, failed.crashed)

    def hold(self, reason: str) -> None:
        """Stop reading the body for one reason."""
        if not self._held_by and self.handle is not None:
            self.handle.pause()
        self._held_by.add(reason)

    def release(self, reason: str) -> None:
        """Go on reading once no reason is left."""
        self._held_by.discard(reason)
        if not self._held_by and self.handle is not None:
            self.handle.resume()

    def _refused(self, head: AnswerHead) -> Declined | None:
        """Return what the head says if the request was not surely run."""
        refused = declined(head, self.to_entry)
        relayed = isinstance(self.action, Forward) and self.action.relay_refusals
        # Only the home of a key knows what became of it: its word goes to the caller as it is.
        if relayed and refused is not None and refused.code is not None:
            return None
        return refused

    def _decline(self, refused: Declined) -> None:
        assert self.handle is not None
        self.handle.discard_body()
        if refused.code is not None:
            self.open_request.peer_code = refused.code
        self._owner.attempt_failed(self, refused.failure, refused.retry_after, False)

    def _continues(self, head: AnswerHead) -> bool:
        first = self.open_request.first_head
        return first is not None and continues(first, head, self.action.resume_at)

    def _begin_collected(self) -> bool:
        """Report the head of a collected answer; return whether it is passed on."""
        assert self.head is not None
        if self._owner.attempt_began(self, self.head.status):
            return True
        self.cancel()
        return False

    def _give(self, data: bytes) -> None:
        caller = self.open_request.caller
        if caller is None:
            return
        caller.write(data)
        self.open_request.bytes_sent += len(data)
        self._owner.part_passed(self, len(data))

    def _kept_answer(self) -> Answer | None:
        if self._collected is None or self.size > self._most_kept:
            return None
        assert self.head is not None
        pairs = tuple(answer_headers(self.head.headers, self.to_entry))
        return Answer(self.head.status, pairs, b"".join(self._collected))


class _CallerFlow:
    """Slows an attempt while its caller does not read.

    Without it a caller on a slow link would have a whole chart pack collect in this process; the
    full window of the backend's connection makes the backend server wait instead.
    """

    def __init__(self, attempt: OpenAttempt) -> None:
        self._attempt = attempt

    def pause(self) -> None:
        self._attempt.hold("caller")

    def resume(self) -> None:
        self._attempt.release("caller")
