"""The story of each request, as log lines and counts."""

from collections import Counter

from briarspur import logs
from briarspur.codes import Code
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.steering import Attempt, Work

__all__ = ["RequestLog"]


class RequestLog:
    """Writes the lines of each request; implements :class:`ExchangeLog`."""

    def __init__(self, entry_id: str) -> None:
        self._entry_id = entry_id
        self.finals: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()

    def attempt_started(self, attempt: Attempt, number: int, why: str) -> None:
        """Note an attempt."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, detail: str, now: float) -> None:
        """Note the end of an attempt."""
        self.outcomes[outcome.value] += 1
        if outcome is not Outcome.ANSWERED:
            logs.event(
                "attempt-failed",
                request=attempt.work.request_id,
                route=attempt.work.route.name,
                target=attempt.target.registration.target_id,
                outcome=outcome.value,
                detail=detail or None,
                seconds=f"{now - attempt.started:.3f}",
                expected=f"{attempt.expected:.3f}",
                load=attempt.target.load,
            )

    def request_ended(self, work: Work, code: Code, status: int, now: float) -> None:
        """Note the final answer."""
        self.finals[code.name] += 1
        if code is not Code.ANSWERED:
            logs.event(
                "request-ended",
                request=work.request_id,
                code=int(code),
                code_name=code.name,
                route=work.route.name,
                service=work.service,
                seconds=f"{now - work.arrived:.3f}",
                tried=len(work.tried),
                version=work.version,
            )
