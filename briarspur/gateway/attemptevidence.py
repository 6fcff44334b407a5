"""What the end of an attempt says about its request, its server and the way there."""

from briarspur.gateway.outcome import UNANSWERED, Outcome
from briarspur.gateway.reachability import Reachability
from briarspur.gateway.suspects import Suspects
from briarspur.gateway.work import Attempt

__all__ = ["AttemptEvidence"]

UNSERVED_SHARE = 0.2
"""A connection that closes within this share of the expected time was closed before the server can
have worked on the request: something on the way accepted it, but the server isn't there."""
RESPONDED = frozenset({Outcome.ANSWERED, Outcome.SERVER_ERROR, Outcome.REJECTED})
"""Outcomes that only a running server causes."""


class AttemptEvidence:
    """Records the ends of attempts as evidence for and against crashes and cuts of the network."""

    def __init__(self, suspects: Suspects, reachability: Reachability) -> None:
        self._suspects = suspects
        self._reachability = reachability

    def record_end(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        """Record how an attempt ended."""
        is_unreachable = attempt.connection_failed or _was_closed_unserved(attempt, outcome, now)
        if not self._reachability.is_cut_off:
            self._record_suspicion(attempt, outcome, is_unreachable, now)
        self._record_reachability(attempt, outcome, is_unreachable, now)

    def _record_suspicion(
        self, attempt: Attempt, outcome: Outcome, is_unreachable: bool, now: float
    ) -> None:
        content, number = attempt.work.content, attempt.target.number
        was_sent = attempt.sent or outcome is not Outcome.TIMED_OUT
        if outcome in UNANSWERED and was_sent and content is not None:
            # Time-outs are frequent under overload, so the others learn of confirmed ones only.
            is_shared = outcome is Outcome.LOST
            self._suspects.record_lost(content, number, now, is_shared)
        if is_unreachable:
            self._suspects.record_unreachable(number, attempt.started, now)
        elif outcome is Outcome.MISDIRECTED:
            self._suspects.record_replaced(number, attempt.started, now)
        elif outcome in RESPONDED:
            # A request names the id that it is for, so any process that has the id responds.
            if attempt.target.registration.id_identifies_run:
                self._suspects.record_alive(number, attempt.started, now)
            if content is not None and outcome is Outcome.ANSWERED:
                self._suspects.record_answered(content, now)

    def _record_reachability(
        self, attempt: Attempt, outcome: Outcome, is_unreachable: bool, now: float
    ) -> None:
        number = attempt.target.number
        if is_unreachable:
            self._reachability.record_unconnected(number)
        elif outcome in RESPONDED or outcome is Outcome.MISDIRECTED:
            if attempt.is_first_on_connection:
                self._reachability.record_connected()
            self._reachability.record_answered(attempt.started, now)
        elif outcome in (Outcome.LOST, Outcome.TIMED_OUT):
            self._reachability.record_unanswered(number)


def _was_closed_unserved(attempt: Attempt, outcome: Outcome, now: float) -> bool:
    return outcome is Outcome.LOST and now - attempt.started < UNSERVED_SHARE * attempt.expected
