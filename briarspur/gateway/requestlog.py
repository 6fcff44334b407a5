"""The story of each request: log lines within a bound, counters and latency histograms."""

from collections import Counter
from collections.abc import Callable
from zlib import crc32

from briarspur import logs
from briarspur.codes import CODES, Code, Ran
from briarspur.gateway.histogram import Histogram
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.tokens import TokenBucket
from briarspur.gateway.work import Attempt, Refused, Work

__all__ = ["RequestLog"]

ROUTINE_PER_S = 5.0
"""Requests answered as they should whose lines are written per second; beyond, whole requests are
left out by their ids."""
FAILURES_PER_S = 200.0
"""Lines about refusals and failures per second; beyond, they are counted only."""
BURST_S = 2.0
"""Seconds of the rates above that may come at once."""
LARGEST_STEP = 10
"""Sampling goes down to one request in two to this power."""
LONGEST_AGE = 9_999.0
"""Seconds shown for knowledge that the store never confirmed."""
WINDOW = 1.0
"""Seconds over which the rate of requests is taken to choose the sampling."""


class RequestLog:
    """Writes the lines of requests and counts them; implements :class:`ExchangeLog`.

    All lines of a request are written or none, by its id alone: every entry that an id passes
    through chooses alike. Refusals and failures are always written, within their own bound.

    Parameters
    ----------
    store_age : callable
        Returns the seconds since the store confirmed what this entry knows.
    """

    def __init__(self, clock: Callable[[], float], store_age: Callable[[], float]) -> None:
        self._clock = clock
        self._store_age = store_age
        now = clock()
        self._failures = TokenBucket(FAILURES_PER_S, FAILURES_PER_S * BURST_S, now)
        self._window_began = now
        self._in_window = 0
        self._step = 0
        self._left_out = 0
        self.finals: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.answer_times: dict[str, Histogram] = {}
        self.attempt_times = Histogram()

    def attempt_started(self, attempt: Attempt, number: int, why: str) -> None:
        """Note an attempt."""
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
        """Note the end of an attempt."""
        self.outcomes[outcome.value] += 1
        seconds = now - attempt.started
        self.attempt_times.record(seconds)
        if outcome is Outcome.ANSWERED:
            if not self._is_sampled(attempt.work.request_id):
                return
        elif not self._may_tell_failure():
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
        )

    def request_ended(
        self, work: Work, code: Code, status: int, now: float, detail: str = ""
    ) -> None:
        """Note the final answer, with what led to it if it is our own."""
        self.finals[code.name] += 1
        seconds = now - work.arrived
        self._histogram(work.route.name).record(seconds)
        if code is Code.ANSWERED:
            if not self._is_sampled(work.request_id):
                self._left_out += 1
                return
        elif not self._may_tell_failure():
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
            store_age=f"{min(self._store_age(), LONGEST_AGE):.1f}",
            detail=detail or None,
        )

    def refused(
        self, request_id: str, refused: Refused, host: str, path: str, version: int
    ) -> None:
        """Note a request that was refused before it had a route."""
        self.finals[refused.code.name] += 1
        if self._may_tell_failure():
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

    def arrived(self) -> None:
        """Count a request for the choice of the sampling."""
        self._in_window += 1
        now = self._clock()
        if now - self._window_began < WINDOW:
            return
        rate = self._in_window / (now - self._window_began)
        step = 0
        while rate / 2.0**step > ROUTINE_PER_S and step < LARGEST_STEP:
            step += 1
        if step != self._step:
            logs.event("log-sampling", one_in=2**step, rate=f"{rate:.0f}", left_out=self._left_out)
            self._step, self._left_out = step, 0
        self._window_began, self._in_window = now, 0

    def _is_sampled(self, request_id: str) -> bool:
        return crc32(request_id.encode()) % (1 << self._step) == 0

    def _may_tell_failure(self) -> bool:
        if self._failures.take(self._clock()):
            return True
        self.finals["lines_left_out"] += 1
        return False

    def _histogram(self, route: str) -> Histogram:
        histogram = self.answer_times.get(route)
        if histogram is None:
            histogram = self.answer_times[route] = Histogram()
        return histogram


def _final_event(code: Code) -> str:
    if code is Code.ANSWERED:
        return "answered"
    return "refused" if CODES[code].ran is Ran.NO else "failed"
