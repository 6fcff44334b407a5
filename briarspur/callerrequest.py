"""One request on a connection, and the way its answer takes back."""

from collections.abc import Iterable
from typing import Protocol, cast

from expression import Result
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.http import HTTPChannel

from briarspur import headers as names
from briarspur.answerhead import AnswerHead
from briarspur.attempts import InboundRequest
from briarspur.channel import CallerChannel
from briarspur.codes import CODES, Code
from briarspur.heldrequest import Flow, FlowProducer, HeldRequest
from briarspur.inbound import RawRequest, block_of
from briarspur.messages import Request
from briarspur.refusal import Answer, Refusal, refusal_answer

__all__ = ["RequestHandler", "CarriedRequest", "RequestOwner"]

NO_BODY = frozenset({204, 304})


class RequestHandler(Protocol):
    """Who takes requests; :class:`briarspur.requestdriver.RequestDriver` in a daemon."""

    def handle(self, inbound: InboundRequest) -> None:
        """Take a request; its caller hears of the answer."""

    def caller_gone(self, request_id: str) -> None:
        """Note that nobody waits for a request any more."""


class RequestOwner(Protocol):
    """The server of an exchange."""

    @property
    def request_handler(self) -> RequestHandler:
        """Who takes requests."""

    def refused(self, refusal: Refusal) -> None:
        """Count and log a request that was refused before it was carried."""


class CarriedRequest(HeldRequest):
    """One request, and the way its answer takes back: the caller as the carrier sees it."""

    def __init__(self, channel: HTTPChannel, owner: RequestOwner) -> None:
        super().__init__(channel)
        self._owner = owner
        self._waiting_id: str | None = None
        self.request_id = ""

    def connectionLost(self, reason: TwistedFailure) -> None:  # noqa: N802
        """Tell whoever answers that nobody waits any more."""
        super().connectionLost(reason)
        waiting_id, self._waiting_id = self._waiting_id, None
        if waiting_id is not None:
            self._owner.request_handler.caller_gone(waiting_id)

    def begin(self, head: AnswerHead, from_entry: bool, flow: Flow) -> None:
        """Send the head of an answer; ``flow`` is slowed while the caller does not read."""
        self._send_head(head.status, names.answer_headers(head.headers, from_entry))
        if not from_entry:
            self._set_code(Code.ANSWERED)
        if head.length is not None and self.method != b"HEAD" and head.status not in NO_BODY:
            self.setHeader(b"Content-Length", b"%d" % head.length)
        self.registerProducer(FlowProducer(flow), True)
        super().write(b"")

    def change_flow(self, flow: Flow) -> None:
        """Slow another flow from now on: the rest of the body comes from there."""
        paused = cast(FlowProducer, self.producer).paused
        self.unregisterProducer()
        self.registerProducer(FlowProducer(flow, paused), True)

    def finish(self) -> None:
        """End the answer."""
        self._waiting_id = None
        if self._disconnected or self.finished:
            return
        if self.producer is not None:
            self.unregisterProducer()
        super().finish()

    def reply(self, answer: Answer, code: Code) -> None:
        """Send a whole answer."""
        self._send_head(answer.status, answer.headers)
        self._set_code(code)
        if answer.status not in NO_BODY:
            self.setHeader(b"Content-Length", b"%d" % len(answer.body))
        self.write(answer.body)
        self.finish()

    def refuse(self, refusal: Refusal) -> None:
        """Send a final answer of our own."""
        self.reply(refusal_answer(refusal), refusal.code)

    def abort(self, refusal: Refusal) -> None:
        """Cut the connection, so that a part of a body can't be taken for the whole.

        A caller that reads to the end of the connection, or a chunked answer that is ended in
        order, would look complete; a reset never does.
        """
        self._waiting_id = None
        if self.producer is not None:
            self.unregisterProducer()
        if not self._disconnected:
            cast(CallerChannel, self.channel).abort()

    def raw(self) -> RawRequest | None:
        """Return the request as it came; None if the sender's address is no IP number."""
        block = block_of(self.client.host)
        if block is None:
            return None
        return RawRequest(self.method, self.uri, self.requestHeaders, self.take_body(), block)

    def carry(self, raw: RawRequest, read: Result[Request, Refusal]) -> None:
        """Hand a request to the carrier, or refuse it."""
        if read.is_error():
            self._owner.refused(read.error)
            self.refuse(read.error)
            return
        request = read.ok
        self.request_id = request.request_id
        self._waiting_id = request.request_id
        self._owner.request_handler.handle(InboundRequest(request, raw.headers, raw.body, self))

    def _send_head(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> None:
        self.setResponseCode(status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)
        self.setHeader(names.REQUEST_ID, self.request_id.encode())

    def _set_code(self, code: Code) -> None:
        self.setHeader(names.CODE, b"%d" % code)
        self.setHeader(names.RAN, CODES[code].ran.value.encode())
