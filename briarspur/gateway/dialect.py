"""What the HTTP messages of a deployment mean; its platform package implements it."""

from typing import Protocol

from twisted.web.http_headers import Headers

from briarspur.answerhead import AnswerHead
from briarspur.codes import Code
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.servernotice import ServerNotice
from briarspur.gateway.work import Arrival

__all__ = ["Dialect"]


class Dialect(Protocol):
    """Translates between HTTP messages and the gateway's types."""

    def arrival(self, uri: bytes, headers: Headers, size: int) -> Arrival:
        """Return what a caller's request asks for."""

    def request_bytes(
        self,
        method: bytes,
        uri: bytes,
        headers: Headers,
        body: bytes,
        target_id: str,
        left_ms: int,
        customer_name: str | None = None,
    ) -> bytes:
        """Return a request as it goes to a backend server.

        Parameters
        ----------
        target_id : str
            The only server that may run it.
        left_ms : int
            Milliseconds that the server may take.
        customer_name : str, optional
            Whose request it is; nothing that the caller says of that goes on.
        """

    def belongs(self, headers: Headers, request_id: bytes) -> bool:
        """Tell whether an answer is the one to a request."""

    def outcome(self, head: AnswerHead) -> Outcome:
        """Return what the head of a backend server's answer says."""

    def notice(self, head: AnswerHead) -> ServerNotice | None:
        """Return what an answer says of its server; None if it may be another server's."""

    def answer_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer that its caller gets."""

    def status(self, code: Code) -> int:
        """Return the HTTP status of a final answer of our own."""
