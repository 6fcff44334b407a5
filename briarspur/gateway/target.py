"""What an entry knows about one incarnation of a backend server."""

from zlib import crc32

from briarspur.gateway.breaker import Breaker
from briarspur.gateway.registration import Registration
from briarspur.gateway.tokens import TokenBucket
from briarspur.gateway.warmth import Warmth

__all__ = ["MIN_SLOWDOWN", "Target", "target_number"]

SLOWDOWN_WEIGHT = 0.15
"""Weight of a new sample in the mean slowdown."""
ERROR_RATE_WEIGHT = 0.1
"""Weight of a new sample in the mean error rate."""
MAX_SLOWDOWN = 20.0
MIN_SLOWDOWN = 0.3
"""Bounds of the mean slowdown, so that one sample can't put a server out of use for long."""
DECAY_PER_S = 0.25
"""Share of the deviation from normal speed, and of the error rate, that decays per second without
requests, so that an avoided server is tried again after some seconds. When only answers lowered the
error rate, a server was avoided for as long as the others had room."""


def target_number(target_id: str, born: int) -> int:
    """Return a 32-bit hash that identifies an incarnation in load news, equal in all processes."""
    return crc32(f"{target_id}/{born}".encode())


class Target:
    """One incarnation of a backend server.

    Attributes
    ----------
    in_flight : int
        Requests that this entry has sent to it and that have not ended.
    elsewhere : int
        Requests of the other entries at the server, by their latest news.
    slowdown : float
        Mean ratio of the actual to the expected working time.
    error_rate : float
        Share of its latest answers that were rejections or unusable.
    warm_up_sent_at : float
        When this entry last sent it a request only to warm up an object there.
    cold_until : float
        When it stops being cold, on this entry's clock.
    cold_rate : TokenBucket or None
        This entry's share of its rate while it is cold; None if it was not determined yet.
    cold_senders_changed : bool
        Whether the live entries have changed since then.
    gone : bool
        Whether another server answered at its address.
    leaving : bool
        Whether it advertised, in an answer to any entry, that it accepts no new work.
    backoff_until : float
        Until when it asked this entry to send it no requests, on this entry's clock.
    """

    __slots__ = (
        "_error_rate_at",
        "_slowdown_at",
        "backoff_until",
        "breaker",
        "cold_rate",
        "cold_senders_changed",
        "cold_until",
        "elsewhere",
        "error_rate",
        "gone",
        "in_flight",
        "leaving",
        "number",
        "region",
        "registration",
        "slowdown",
        "warm_up_sent_at",
        "warmth",
    )

    def __init__(self, registration: Registration, region: str, now: float) -> None:
        self.registration = registration
        self.region = region
        self.number = target_number(registration.target_id, registration.born)
        self.breaker = Breaker()
        self.warmth = Warmth()
        self.in_flight = 0
        self.elsewhere = 0
        self.slowdown = 1.0
        self.gone = False
        self.leaving = False
        self.backoff_until = float("-inf")
        self.error_rate = 0.0
        self.warm_up_sent_at = float("-inf")
        self.cold_until = now + registration.cold_s
        self.cold_rate: TokenBucket | None = None
        self.cold_senders_changed = False
        self._slowdown_at = now
        self._error_rate_at = now

    def is_backing_off(self, now: float) -> bool:
        """Return whether it asked this entry to send it no requests now."""
        return self.backoff_until > now

    def forget_failures(self) -> None:
        """Forget failures and slow responses that the network path caused."""
        self.breaker = Breaker()
        self.slowdown = 1.0
        self.error_rate = 0.0

    @property
    def load(self) -> int:
        """Requests of all entries at the server, as far as known."""
        return self.in_flight + self.elsewhere

    def learn_error(self, is_error: bool, now: float) -> None:
        """Add an answer to the error rate; an error is a rejection or an unusable answer."""
        current = self.current_error_rate(now)
        self.error_rate = current + ERROR_RATE_WEIGHT * (float(is_error) - current)
        self._error_rate_at = now

    def current_error_rate(self, now: float) -> float:
        """Return the mean error rate, decayed since the last answer."""
        if self.error_rate == 0.0:
            return 0.0
        return self.error_rate * max(0.0, 1.0 - DECAY_PER_S * (now - self._error_rate_at))

    def learn_slowdown(self, ratio: float, now: float) -> None:
        """Add the ratio of an actual to the expected working time to the mean."""
        current = self.current_slowdown(now)
        slowdown = current + SLOWDOWN_WEIGHT * (ratio - current)
        self.slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))
        self._slowdown_at = now

    def raise_slowdown(self, ratio: float, now: float) -> None:
        """Raise the slowdown to the ratio of an unfinished attempt, if that is higher."""
        if ratio > self.current_slowdown(now):
            self.slowdown = min(MAX_SLOWDOWN, ratio)
            self._slowdown_at = now

    def current_slowdown(self, now: float) -> float:
        """Return the mean slowdown, decayed towards 1 since the last sample."""
        if self.slowdown == 1.0:
            return 1.0
        kept = max(0.0, 1.0 - DECAY_PER_S * (now - self._slowdown_at))
        return 1.0 + (self.slowdown - 1.0) * kept
