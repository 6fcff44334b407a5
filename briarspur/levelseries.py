"""A service's recent minutes in memory, bounded: what a burn report is made of; pure."""

from briarspur.latency import Histogram, encode, merge
from briarspur.windows import HOUR_S, SLOT_S, THREE_DAYS, Slot, coalesce

__all__ = ["LevelSeries"]


class LevelSeries:
    """Three days of one service: counts by minute for six hours, by hour before.

    Latencies are kept encoded: by minute for an hour, by hour before. A service takes about
    0.5 MB at the most.
    """

    def __init__(self) -> None:
        self.slots: list[Slot] = []
        self._latency_by_minute: dict[int, str] = {}
        self._latency_by_hour: dict[int, str] = {}

    def add(self, slot: Slot, latency: str) -> None:
        """Add a minute, with its latencies encoded; a minute that is there already is kept."""
        if any(present.start == slot.start for present in self.slots[-SLOT_S:]):
            return
        self.slots.append(slot)
        if not latency:
            return
        self._latency_by_minute[slot.start] = latency
        hour = slot.start // HOUR_S
        whole = merge([self._latency_by_hour.get(hour, ""), latency])
        self._latency_by_hour[hour] = encode(whole)

    def trim(self, now: float) -> None:
        """Drop what is too old for any window, and sum what is old by hour."""
        self.slots = coalesce(self.slots, now)
        first_minute = now - HOUR_S - SLOT_S
        first_hour = (now - THREE_DAYS.seconds) // HOUR_S
        self._latency_by_minute = {
            start: text for start, text in self._latency_by_minute.items() if start >= first_minute
        }
        self._latency_by_hour = {
            hour: text for hour, text in self._latency_by_hour.items() if hour >= first_hour
        }

    def latency_of_last_hour(self) -> Histogram:
        """Return the latencies of the last hour's whole answers."""
        return merge(self._latency_by_minute.values())

    def latency(self) -> Histogram:
        """Return the latencies of all whole answers kept, by whole hours."""
        return merge(self._latency_by_hour.values())
