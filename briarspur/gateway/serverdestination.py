"""A backend server as the destination of a request."""

from briarspur.answerhead import AnswerHead
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.services import IncomingRequest, Services
from briarspur.gateway.work import Attempt

__all__ = ["ServerDestination"]


class ServerDestination:
    """The backend server of one attempt; implements :class:`Destination`."""

    def __init__(self, services: Services, attempt: Attempt) -> None:
        self._services = services
        self.attempt = attempt

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the server."""
        registration = self.attempt.target.registration
        return registration.host, registration.port

    @property
    def echoes_ids(self) -> bool:
        """Return True: servers may send responses late, which only the id identifies."""
        return True

    @property
    def overdue_after(self) -> float:
        """Seconds from the start after which the response is overdue."""
        return 0.0 if self.attempt.is_trial else self.attempt.overdue_after

    def record_overdue(self, now: float) -> None:
        """Record that the server is slower than expected."""
        if not self.attempt.is_trial:
            self._services.steering.record_overdue(self.attempt, now)

    def record_end(self, outcome: Outcome, detail: str, was_sent: bool, now: float) -> None:
        """Record what the end of the attempt says about the server."""
        self.attempt.sent = was_sent
        self._services.steering.attempt_ended(self.attempt, outcome, now)
        self._services.log.attempt_ended(self.attempt, outcome, detail, now)

    def connected(self, seconds: float) -> None:
        """Record the time that it took to connect."""
        self.attempt.is_first_on_connection = True
        self._services.steering.transit.record_connect(self.attempt.target, seconds)

    def connection_failed(self) -> None:
        """Record that the server could not be reached."""
        self.attempt.connection_failed = True

    def accepts(self, now: float) -> bool:
        """Return whether the server may still get the request."""
        # While the connection was being made, the server may have left or requested a backoff, or
        # its zone may have been evacuated. Connecting adds up to 0.5 s to the time until this entry
        # learns of the change, so a request routed just before the change would reach the server
        # later than is guaranteed to the operators.
        return self._services.steering.may_still_send(self.attempt, now)

    def allot_attempts(self) -> int:
        """Return 1, as the request is sent to this server alone."""
        return 1

    def encode(self, request: IncomingRequest, remaining_ms: int) -> bytes:
        """Return the request for this server alone."""
        customer = self.attempt.work.customer
        return self._services.dialect.request_bytes(
            request.method,
            request.uri,
            request.headers,
            request.body,
            self.attempt.target.registration.target_id,
            remaining_ms,
            None if customer is None else customer.name,
        )

    def head_received(self, head: AnswerHead) -> None:
        """Record the server's notices."""
        services = self._services
        notice = services.dialect.notice(head)
        if notice is not None:
            services.steering.record_notice(self.attempt.target, notice, services.clock.seconds())

    def outcome(self, head: AnswerHead) -> Outcome:
        """Return the outcome that the server states."""
        return self._services.dialect.outcome(head)
