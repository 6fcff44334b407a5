"""Another entry as the destination of a request, which sends it to a backend server."""

from briarspur.answerhead import AnswerHead
from briarspur.gateway.forwarding import ForwardAttempt
from briarspur.gateway.notrun import states_not_run
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.services import IncomingRequest, Services
from briarspur.gateway.work import Refused

__all__ = ["EntryDestination"]


class EntryDestination:
    """The entry that handles one attempt; implements :class:`Destination`.

    Attributes
    ----------
    refused : Refused or None
        The refusal that the other entry generated instead of a server's response.
    allotted : int
        Servers to which the other entry may send the request.
    """

    def __init__(self, services: Services, attempt: ForwardAttempt) -> None:
        self._services = services
        self.attempt = attempt
        self.refused: Refused | None = None
        self.allotted = 0

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the other entry."""
        return self.attempt.helper.host, self.attempt.helper.news_port

    @property
    def echoes_ids(self) -> bool:
        """Return False: refusals have none, but each request gets one response, in order."""
        return False

    @property
    def overdue_after(self) -> float:
        """Seconds from the start after which the response is overdue."""
        return self.attempt.overdue_after

    def record_overdue(self, now: float) -> None:
        """Do nothing: the other entry judges its servers."""

    def record_end(self, outcome: Outcome, detail: str, was_sent: bool, now: float) -> None:
        """Record the end of the attempt."""
        self._services.steering.forward_ended(self.attempt, outcome, now)
        self._services.log.forward_ended(self.attempt, outcome, detail, now)

    def connected(self, seconds: float) -> None:
        """Do nothing: the time says nothing about servers."""

    def connection_failed(self) -> None:
        """Do nothing: the news show whether the entry is alive."""

    def accepts(self, now: float) -> bool:
        """Return whether the entry may still get the request, which it may always."""
        return True

    def allot_attempts(self) -> int:
        """Return the attempts of the other entry: all that are left but one.

        One is kept for a hedge, or for a retry if the other entry is lost.
        """
        work = self.attempt.work
        self.allotted = max(1, work.attempts - work.sent - 1)
        return self.allotted

    def encode(self, request: IncomingRequest, remaining_ms: int) -> bytes:
        """Return the request for an entry."""
        return self._services.dialect.forwarded_bytes(
            request.method,
            request.uri,
            request.headers,
            request.body,
            remaining_ms,
            self.allotted,
        )

    def head_received(self, head: AnswerHead) -> None:
        """Record whether the entry refused the request."""
        self.refused = self._services.dialect.refusal(head)

    def outcome(self, head: AnswerHead) -> Outcome:
        """Return the outcome that the server or the other entry states."""
        if self.refused is not None:
            return Outcome.REJECTED if states_not_run(self.refused.code) else Outcome.LOST
        return self._services.dialect.outcome(head)
