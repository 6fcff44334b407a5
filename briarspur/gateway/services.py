"""What all exchanges of a process share, and the request that each of them handles."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from twisted.web.http_headers import Headers

from briarspur.codes import Code
from briarspur.gateway.content import RequestContent
from briarspur.gateway.dialect import Dialect
from briarspur.gateway.forwarding import ForwardAttempt
from briarspur.gateway.notrun import Proof
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.pool import ConnectionPool
from briarspur.gateway.steering import Steering
from briarspur.gateway.work import Arrival, Attempt, Work

__all__ = ["Clock", "ExchangeLog", "IncomingRequest", "Services"]


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A complete request as received.

    Attributes
    ----------
    receive_s : float
        Seconds that it took to receive the request.
    """

    method: bytes
    uri: bytes
    headers: Headers
    body: bytes
    receive_s: float = 0.0

    def remaining(self, timeout: float) -> float:
        """Return what is left of the seconds for which the caller waits."""
        return timeout - self.receive_s

    def content(self, arrival: Arrival) -> RequestContent:
        """Return what identifies this request if its caller sends it again."""
        # Without keys there is one caller: copies of one request come from several addresses.
        caller = arrival.key_digest or b""
        return RequestContent(self.method, arrival.host, self.uri, self.body, caller)


class ExchangeLog(Protocol):
    """Logs the attempts and the final response of each request."""

    def attempt_started(self, attempt: Attempt, number: int, why: str) -> None:
        """Record the start of an attempt."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, detail: str, now: float) -> None:
        """Record the end of an attempt."""

    def forward_started(self, attempt: ForwardAttempt, why: str) -> None:
        """Record that a request is passed on to another entry."""

    def forward_ended(
        self, attempt: ForwardAttempt, outcome: Outcome, detail: str, now: float
    ) -> None:
        """Record the end of an attempt by way of another entry."""

    def request_ended(
        self,
        work: Work,
        code: Code,
        status: int,
        now: float,
        detail: str = "",
        proof: Proof | None = None,
    ) -> None:
        """Record the final response.

        Parameters
        ----------
        detail : str, optional
            Cause of a response that this process generated.
        proof : Proof or None
            What a response relies on that states that the request was not run; None for others.
        """


class Clock(Protocol):
    """Monotonic time and delayed calls."""

    def seconds(self) -> float:
        """Return the monotonic time in seconds."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object
    ) -> Any:
        """Schedule a call after a delay in seconds."""


@dataclass(frozen=True, slots=True)
class Services:
    """The dependencies shared by all exchanges of a process."""

    steering: Steering
    pool: ConnectionPool
    clock: Clock
    dialect: Dialect
    log: ExchangeLog
