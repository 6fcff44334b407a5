"""What an entry knows of one incarnation of a backend server."""

from zlib import crc32

from briarspur.gateway.breaker import Breaker
from briarspur.gateway.registration import Registration
from briarspur.gateway.tokens import TokenBucket
from briarspur.gateway.warmth import Warmth

__all__ = ["FASTEST", "Target", "target_number"]

SPEED_WEIGHT = 0.15
"""Share of a new sample in the mean speed."""
TROUBLE_WEIGHT = 0.1
"""Share of a new sample in the mean trouble."""
SLOWEST = 20.0
FASTEST = 0.3
"""Bounds of the mean speed, so that one sample can't put a server out of use for long."""
FORGET_PER_S = 0.25
"""Share of the deviation from normal speed, and of the trouble, forgotten in a second without
requests; a server that was avoided is tried again after some seconds. Trouble that only answers
could end kept a server avoided for as long as the others had room."""


def target_number(target_id: str, born: int) -> int:
    """Return 32 bits that name an incarnation in load news, the same in every process."""
    return crc32(f"{target_id}/{born}".encode())


class Target:
    """One incarnation of a backend server.

    Attributes
    ----------
    in_flight : int
        Requests of this entry that it has.
    elsewhere : int
        Requests of the other entries that it has, by their latest news.
    speed : float
        Mean ratio of the time it takes to the time that is expected.
    trouble : float
        Share of its latest answers that were rejections or could not be used.
    invited_at : float
        When this entry last sent it an object only to make it warm there.
    cold_until : float
        When it stops being cold, on this entry's clock.
    leaving : bool
        It said itself, in an answer to some entry, that it takes no new work.
    rest_until : float
        Until when it wants nothing from this entry, on this entry's clock.
    """

    __slots__ = (
        "_speed_at",
        "_trouble_at",
        "breaker",
        "cold_rate",
        "cold_until",
        "elsewhere",
        "gone",
        "in_flight",
        "invited_at",
        "leaving",
        "number",
        "region",
        "registration",
        "rest_until",
        "speed",
        "trouble",
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
        self.speed = 1.0
        self.gone = False
        self.leaving = False
        self.rest_until = float("-inf")
        self.trouble = 0.0
        self.invited_at = float("-inf")
        self.cold_until = now + registration.cold_s
        self.cold_rate: TokenBucket | None = None
        self._speed_at = now
        self._trouble_at = now

    def rests(self, now: float) -> bool:
        """Return whether it wants nothing from this entry now."""
        return self.rest_until > now

    @property
    def load(self) -> int:
        """Requests of all entries that it has, as far as known."""
        return self.in_flight + self.elsewhere

    def learn_trouble(self, troubled: bool, now: float) -> None:
        """Take whether an answer was a rejection or could not be used."""
        current = self.current_trouble(now)
        self.trouble = current + TROUBLE_WEIGHT * (float(troubled) - current)
        self._trouble_at = now

    def current_trouble(self, now: float) -> float:
        """Return the mean trouble, forgotten by the time since the last answer."""
        if self.trouble == 0.0:
            return 0.0
        return self.trouble * max(0.0, 1.0 - FORGET_PER_S * (now - self._trouble_at))

    def learn_speed(self, ratio: float, now: float) -> None:
        """Take the ratio of a measured time to the expected one."""
        current = self.current_speed(now)
        speed = current + SPEED_WEIGHT * (ratio - current)
        self.speed = min(SLOWEST, max(FASTEST, speed))
        self._speed_at = now

    def at_least_as_slow(self, ratio: float, now: float) -> None:
        """Take a time that is not over yet: the server is at least this slow."""
        if ratio > self.current_speed(now):
            self.speed = min(SLOWEST, ratio)
            self._speed_at = now

    def current_speed(self, now: float) -> float:
        """Return the mean speed, drawn towards 1 by the time since the last sample."""
        if self.speed == 1.0:
            return 1.0
        kept = max(0.0, 1.0 - FORGET_PER_S * (now - self._speed_at))
        return 1.0 + (self.speed - 1.0) * kept
