"""Interface for the HTTP messages of a deployment, implemented by its platform package."""

from typing import Protocol

from twisted.web.http_headers import Headers

from briarspur.answerhead import AnswerHead
from briarspur.codes import Code
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.servernotice import ServerNotice
from briarspur.gateway.work import Arrival, Refused

__all__ = ["Dialect"]


class Dialect(Protocol):
    """Translates between HTTP messages and the gateway's types."""

    def arrival(self, uri: bytes, headers: Headers, size: int) -> Arrival:
        """Parse the head of a caller's request."""

    def request_bytes(
        self,
        method: bytes,
        uri: bytes,
        headers: Headers,
        body: bytes,
        target_id: str,
        remaining_ms: int,
        customer_name: str | None = None,
    ) -> bytes:
        """Return a request as it is sent to a backend server.

        Parameters
        ----------
        target_id : str
            The only server that may run it.
        remaining_ms : int
            Milliseconds that the server has left for the request.
        customer_name : str, optional
            Customer of the request; a customer stated by the caller itself is not forwarded.
        """

    def forwarded_bytes(
        self,
        method: bytes,
        uri: bytes,
        headers: Headers,
        body: bytes,
        remaining_ms: int,
        attempts: int,
    ) -> bytes:
        """Return a request as it is passed on to another entry.

        Parameters
        ----------
        attempts : int
            Servers to which that entry may send it.
        """

    def refusal(self, head: AnswerHead) -> Refused | None:
        """Return the refusal of another entry; None if the response is a server's."""

    def matches_request(self, headers: Headers, request_id: bytes) -> bool | None:
        """Return whether a response is the one to a request; None if it names no request."""

    def outcome(self, head: AnswerHead) -> Outcome:
        """Return the outcome stated by the head of a backend server's response."""

    def states_not_run(self, status: int) -> bool:
        """Return whether callers take a status for the statement that a request was not run."""

    def notice(self, head: AnswerHead) -> ServerNotice | None:
        """Return the notices of the server in a response; None if it may be another server's."""

    def answer_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return the headers of a response that are sent to the caller."""

    def status(self, code: Code) -> int:
        """Return the HTTP status of a final response made by the gateway itself."""
