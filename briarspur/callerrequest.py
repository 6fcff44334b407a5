"""One received request of an HTTP connection, to which its answer is sent."""

from collections.abc import Iterable
from typing import Protocol, cast

from expression import Result
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.http import HTTPChannel

from briarspur import headers as names
from briarspur.answerhead import AnswerHead
from briarspur.attempts import InboundRequest
from briarspur.bufferedrequest import BufferedRequest, Flow, FlowProducer
from briarspur.channel import CallerChannel
from briarspur.codes import CODES, Code
from briarspur.inbound import RawRequest, block_of_address
from briarspur.messages import Request
from briarspur.refusal import Answer, Refusal, refusal_answer

__all__ = ["ReceivedRequest", "RequestHandler", "RequestOwner"]

NO_BODY_STATUSES = frozenset({204, 304})


class RequestHandler(Protocol):
    """Handler of requests; :class:`briarspur.requestdriver.RequestDriver` in a daemon."""

    def handle(self, inbound: InboundRequest) -> None:
        """Handle a request; its answer is sent to its caller."""

    def caller_gone(self, request_id: str) -> None:
        """Handle the disconnect of a request's caller."""


class RequestOwner(Protocol):
    """The server that received a request."""

    @property
    def request_handler(self) -> RequestHandler:
        """The handler of requests."""

    def record_refusal(self, refusal: Refusal) -> None:
        """Count and log a refusal by the server itself, not by the handler."""


class ReceivedRequest(BufferedRequest):
    """One received request; implements :class:`briarspur.attempts.Caller` for its answer."""

    def __init__(self, channel: HTTPChannel, owner: RequestOwner) -> None:
        super().__init__(channel)
        self._owner = owner
        self._handled_id: str | None = None
        self.request_id = ""

    def connectionLost(self, reason: TwistedFailure) -> None:  # noqa: N802
        """Report to the handler that the caller has disconnected."""
        super().connectionLost(reason)
        handled_id, self._handled_id = self._handled_id, None
        if handled_id is not None:
            self._owner.request_handler.caller_gone(handled_id)

    def begin(self, head: AnswerHead, from_entry: bool, flow: Flow) -> None:
        """Send the head of an answer; ``flow`` is paused while the caller does not read."""
        self._send_head(head.status, names.answer_headers(head.headers, from_entry))
        if not from_entry:
            self._set_code(Code.ANSWERED)
        if (
            head.length is not None
            and self.method != b"HEAD"
            and head.status not in NO_BODY_STATUSES
        ):
            self.setHeader(b"Content-Length", b"%d" % head.length)
        self.registerProducer(FlowProducer(flow), True)
        super().write(b"")

    def change_flow(self, flow: Flow) -> None:
        """Pause another flow from now on, which delivers the rest of the body."""
        if self._disconnected:
            return
        paused = cast(FlowProducer, self.producer).paused
        self.unregisterProducer()
        self.registerProducer(FlowProducer(flow, paused), True)

    def finish(self) -> None:
        """End a complete answer."""
        self._handled_id = None
        if self._disconnected or self.finished:
            return
        if self.producer is not None:
            self.unregisterProducer()
        super().finish()

    def reply(self, answer: Answer, code: Code) -> None:
        """Send a complete answer."""
        self._send_head(answer.status, answer.headers)
        self._set_code(code)
        if answer.status not in NO_BODY_STATUSES:
            self.setHeader(b"Content-Length", b"%d" % len(answer.body))
        self.write(answer.body)
        self.finish()

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the final answer."""
        self.reply(refusal_answer(refusal), refusal.code)

    def abort(self, refusal: Refusal) -> None:
        """Reset the connection, so that a truncated body can't be mistaken for a complete one.

        If the connection were closed or a chunked answer ended normally, the body would look
        complete; after a reset, it never does.
        """
        self._handled_id = None
        if self._disconnected:
            return
        if self.producer is not None:
            self.unregisterProducer()
        cast(CallerChannel, self.channel).abort()

    def build_raw(self) -> RawRequest | None:
        """Return the request as received; None if the sender's address is not an IP address."""
        block = block_of_address(self.client.host)
        if block is None:
            return None
        return RawRequest(self.method, self.uri, self.requestHeaders, self.pop_body(), block)

    def handle(self, raw: RawRequest, parsed: Result[Request, Refusal]) -> None:
        """Pass a valid request to the handler, or refuse an invalid one."""
        if parsed.is_error():
            self._owner.record_refusal(parsed.error)
            self.refuse(parsed.error)
            return
        request = parsed.ok
        self.request_id = request.request_id
        self._handled_id = request.request_id
        self._owner.request_handler.handle(InboundRequest(request, raw.headers, raw.body, self))

    def _send_head(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> None:
        self.setResponseCode(status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)
        self.setHeader(names.REQUEST_ID, self.request_id.encode())

    def _set_code(self, code: Code) -> None:
        self.setHeader(names.CODE, b"%d" % code)
        self.setHeader(names.RAN, CODES[code].ran.value.encode())
