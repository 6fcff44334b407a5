"""Bounded in-memory series of a service's recent minutes, the input of a burn report; no I/O."""

from briarspur.latency import Histogram, encode, merge
from briarspur.windows import HOUR_S, SLOT_S, THREE_DAYS, Slot, coalesce

__all__ = ["LevelSeries"]


class LevelSeries:
    """Three days of one service: counts by minute for the last six hours, and by hour before.

    Latencies are stored encoded: by minute for the last hour, and by hour for all. A service needs
    at most about 0.5 MB.
    """

    def __init__(self) -> None:
        self.slots: list[Slot] = []
        self._latency_by_minute: dict[int, str] = {}
        self._latency_by_hour: dict[int, str] = {}

    def add(self, slot: Slot, latency: str) -> None:
        """Add a minute with its encoded latencies; a minute that is already present is kept."""
        if any(known_slot.start == slot.start for known_slot in self.slots[-SLOT_S:]):
            return
        self.slots.append(slot)
        if not latency:
            return
        self._latency_by_minute[slot.start] = latency
        hour = slot.start // HOUR_S
        merged = merge([self._latency_by_hour.get(hour, ""), latency])
        self._latency_by_hour[hour] = encode(merged)

    def trim(self, now: float) -> None:
        """Remove data older than every window, and sum older minutes by hour."""
        self.slots = coalesce(self.slots, now)
        first_minute = now - HOUR_S - SLOT_S
        first_hour = (now - THREE_DAYS.seconds) // HOUR_S
        self._latency_by_minute = {
            start: encoded
            for start, encoded in self._latency_by_minute.items()
            if start >= first_minute
        }
        self._latency_by_hour = {
            hour: encoded for hour, encoded in self._latency_by_hour.items() if hour >= first_hour
        }

    def latency_of_last_hour(self) -> Histogram:
        """Return the latencies of complete answers in the last hour."""
        return merge(self._latency_by_minute.values())

    def latency(self) -> Histogram:
        """Return the latencies of all complete answers in the series, in steps of whole hours."""
        return merge(self._latency_by_hour.values())
