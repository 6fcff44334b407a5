"""Logging of requests: rate-limited log lines, counters and latency histograms."""

from collections import Counter
from collections.abc import Callable
from zlib import crc32

from briarspur import logs
from briarspur.codes import CODES, Code, Ran
from briarspur.gateway.forwarding import ForwardAttempt
from briarspur.gateway.histogram import Histogram
from briarspur.gateway.notrun import Proof
from briarspur.gateway.outcome import UNANSWERED, Outcome
from briarspur.gateway.tokens import TokenBucket
from briarspur.gateway.work import Attempt, Refused, Work

__all__ = ["RequestLog"]

MAX_ROUTINE_REQUESTS_PER_S = 5.0
"""Successful requests logged per second. Above this rate requests are sampled by id, so that either
all lines of a request are logged or none."""
MAX_FAILURE_LINES_PER_S = 200.0
"""Log lines for refusals and failures per second. Above this rate they are only counted."""
FAILURE_BURST_S = 2.0
"""Burst of failure lines, in seconds of the rate above."""
MAX_SAMPLING_EXPONENT = 10
"""The lowest sampling rate is one request in two to this power."""
MAX_SHOWN_AGE_S = 9_999.0
"""Logged as the age of data that the store has never confirmed."""
RATE_WINDOW_S = 1.0
"""The sampling rate is adjusted to the request rate over this time."""


class RequestLog:
    """Logs and counts requests; implements :class:`ExchangeLog`.

    Whether the lines of a request are logged depends on its id alone, so all entries that handle
    the same id decide alike. Refusals and failures are always logged, within their own rate limit.

    Parameters
    ----------
    store_age : callable
        Returns the seconds since the store last confirmed this entry's data.
    """

    def __init__(self, clock: Callable[[], float], store_age: Callable[[], float]) -> None:
        self._clock = clock
        self._store_age = store_age
        now = clock()
        self._failure_bucket = TokenBucket(
            MAX_FAILURE_LINES_PER_S, MAX_FAILURE_LINES_PER_S * FAILURE_BURST_S, now
        )
        self._window_start = now
        self._window_count = 0
        self._sampling_exponent = 0
        self._omitted = 0
        self.final_counts: Counter[str] = Counter()
        self.outcome_counts: Counter[str] = Counter()
        self.forward_counts: Counter[str] = Counter()
        self.not_run_counts: Counter[str] = Counter()
        self.answer_times: dict[str, Histogram] = {}
        self.attempt_times = Histogram()

    def attempt_started(self, attempt: Attempt, number: int, why: str) -> None:
        """Record the start of an attempt."""
        work = attempt.work
        if not self._is_sampled(work.request_id):
            return
        target = attempt.target
        logs.event(
            "attempt",
            request=work.request_id,
            number=number,
            why=why,
            target=target.registration.target_id,
            zone=target.registration.zone,
            warm="yes" if attempt.warm else "no",
            expected=f"{attempt.expected:.3f}",
            in_flight=target.in_flight,
            elsewhere=target.elsewhere,
            speed=f"{target.slowdown:.2f}",
            left=f"{work.deadline - attempt.started:.3f}",
        )

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, detail: str, now: float) -> None:
        """Record the end of an attempt."""
        self.outcome_counts[outcome.value] += 1
        seconds = now - attempt.started
        self.attempt_times.record(seconds)
        if outcome is Outcome.ANSWERED:
            if not self._is_sampled(attempt.work.request_id):
                return
        elif not self._may_log_failure():
            return
        logs.event(
            "attempt-ended",
            request=attempt.work.request_id,
            target=attempt.target.registration.target_id,
            outcome=outcome.value,
            detail=detail or None,
            seconds=f"{seconds:.3f}",
            expected=f"{attempt.expected:.3f}",
            suspected="yes" if attempt.target.breaker.suspected(now) else None,
            connection=_connection(attempt) if outcome in UNANSWERED else None,
            content=_content(attempt.work) if outcome in UNANSWERED else None,
            caller=_caller(attempt.work) if outcome in UNANSWERED else None,
        )

    def forward_started(self, attempt: ForwardAttempt, why: str) -> None:
        """Record that a request is passed on to another entry."""
        if self._is_sampled(attempt.work.request_id):
            logs.event(
                "forwarded",
                request=attempt.work.request_id,
                why=why,
                to=attempt.helper.entry_id,
                zone=attempt.helper.zone,
                left=f"{attempt.work.deadline - attempt.started:.3f}",
            )

    def forward_ended(
        self, attempt: ForwardAttempt, outcome: Outcome, detail: str, now: float
    ) -> None:
        """Record the end of an attempt by way of another entry."""
        self.forward_counts[outcome.value] += 1
        if outcome is Outcome.ANSWERED or not self._may_log_failure():
            return
        logs.event(
            "forward-ended",
            request=attempt.work.request_id,
            to=attempt.helper.entry_id,
            outcome=outcome.value,
            detail=detail or None,
            seconds=f"{now - attempt.started:.3f}",
        )

    def request_ended(
        self,
        work: Work,
        code: Code,
        status: int,
        now: float,
        detail: str = "",
        proof: Proof | None = None,
    ) -> None:
        """Record the final response; see :class:`ExchangeLog` for the parameters."""
        self.final_counts[code.name] += 1
        if proof is not None:
            self.not_run_counts[proof.value] += 1
        seconds = now - work.arrived
        self._histogram(work.route.name).record(seconds)
        if code is Code.ANSWERED and proof is None:
            if not self._is_sampled(work.request_id):
                self._omitted += 1
                return
        elif not self._may_log_failure():
            return
        logs.event(
            _final_event(code),
            request=work.request_id,
            code=int(code),
            code_name=code.name,
            status=status,
            route=work.route.name,
            service=work.service,
            key=work.key,
            seconds=f"{seconds:.3f}",
            patience=f"{work.deadline - work.arrived:.3f}",
            tried=",".join(t.registration.target_id for t in work.tried) or None,
            sent=work.sent,
            version=work.version,
            store_age=f"{min(self._store_age(), MAX_SHOWN_AGE_S):.1f}",
            not_run_by=None if proof is None else proof.value,
            detail=detail or None,
        )

    def request_refused(
        self, request_id: str, refused: Refused, host: str, path: str, version: int
    ) -> None:
        """Record a request that was refused before it was routed."""
        self.final_counts[refused.code.name] += 1
        if self._may_log_failure():
            logs.event(
                _final_event(refused.code),
                request=request_id,
                code=int(refused.code),
                code_name=refused.code.name,
                host=host,
                path=path,
                version=version,
                detail=refused.detail or None,
            )

    def request_arrived(self) -> None:
        """Count a request and adjust the sampling rate once per window."""
        self._window_count += 1
        now = self._clock()
        if now - self._window_start < RATE_WINDOW_S:
            return
        rate = self._window_count / (now - self._window_start)
        exponent = 0
        while (
            rate / 2.0**exponent > MAX_ROUTINE_REQUESTS_PER_S and exponent < MAX_SAMPLING_EXPONENT
        ):
            exponent += 1
        if exponent != self._sampling_exponent:
            logs.event(
                "log-sampling", one_in=2**exponent, rate=f"{rate:.0f}", left_out=self._omitted
            )
            self._sampling_exponent, self._omitted = exponent, 0
        self._window_start, self._window_count = now, 0

    def _is_sampled(self, request_id: str) -> bool:
        return crc32(request_id.encode()) % (1 << self._sampling_exponent) == 0

    def _may_log_failure(self) -> bool:
        if self._failure_bucket.take(self._clock()):
            return True
        self.final_counts["lines_left_out"] += 1
        return False

    def _histogram(self, route: str) -> Histogram:
        histogram = self.answer_times.get(route)
        if histogram is None:
            histogram = self.answer_times[route] = Histogram()
        return histogram


def _content(work: Work) -> str | None:
    """Return a hash that is equal for all copies of a request."""
    return None if work.content is None else f"{work.content.digest:016x}"


def _connection(attempt: Attempt) -> str | None:
    """Return whether the request was sent over a new connection or one that was used before."""
    if not attempt.sent:
        return None
    return "new" if attempt.is_first_on_connection else "reused"


def _caller(work: Work) -> str | None:
    return None if work.content is None else f"{work.content.caller:08x}"


def _final_event(code: Code) -> str:
    if code is Code.ANSWERED:
        return "answered"
    return "refused" if CODES[code].ran is Ran.NO else "failed"
