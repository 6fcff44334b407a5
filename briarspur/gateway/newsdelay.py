"""The extra transit delay of news messages: one-way delay variation."""

import time
from dataclasses import dataclass

__all__ = ["NewsDelays", "boottime_clock"]

WINDOW_S = 30.0
"""Time over which the minimum offset is taken: long enough to contain a message that was not
delayed, short enough to follow clocks that drift apart or a network path that gets longer."""
SENDER_LIFETIME_S = 300.0
"""Time without news after which a sender is dropped."""


def boottime_clock() -> float:
    """Return the seconds of a clock that never jumps and keeps running during a suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class _Offsets:
    """The minimum differences between the receiver's clock and a sender's, in seconds.

    Attributes
    ----------
    minimum, previous_minimum : float
        The minimum of the current window and of the previous one.
    """

    started: int
    window_started_at: float
    minimum: float
    previous_minimum: float


class NewsDelays:
    """Measures the delay of messages relative to the fastest message of each sender.

    A message contains the age of its sender's data, but not how long it waited in a queue: that of
    a full link, or of a process that is busy or was stopped. Without the delay, an entry that was
    stopped for 3 s regarded the messages received meanwhile as fresh, and a departure from 3.3 s
    ago as one from 0.6 s ago. The two clocks differ by a fixed amount, so the excess over the
    minimum difference is the delay.
    """

    def __init__(self) -> None:
        self._offsets_by_sender: dict[str, _Offsets] = {}

    def delay(self, sender: str, started: int, sent_at: float, now: float) -> float:
        """Return by how many seconds a message was slower than the sender's fastest one.

        Parameters
        ----------
        started : int
            Identifies the sender's process; a later one may run on a machine with another clock.
        sent_at : float
            Time on the sender's clock when it sent the message, in seconds.
        now : float
            Time on the receiver's clock, in seconds.
        """
        offset = now - sent_at
        known = self._offsets_by_sender.get(sender)
        if known is None or known.started != started:
            self._drop_silent(now)
            self._offsets_by_sender[sender] = _Offsets(started, now, offset, offset)
            return 0.0
        if now - known.window_started_at > WINDOW_S:
            known.window_started_at = now
            known.previous_minimum, known.minimum = known.minimum, offset
        known.minimum = min(known.minimum, offset)
        return offset - min(known.minimum, known.previous_minimum)

    def _drop_silent(self, now: float) -> None:
        """Drop senders that are gone: VMs are replaced, and their names are not reused."""
        self._offsets_by_sender = {
            sender: known
            for sender, known in self._offsets_by_sender.items()
            if now - known.window_started_at <= SENDER_LIFETIME_S
        }
