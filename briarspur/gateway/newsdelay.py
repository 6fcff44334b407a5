"""How long news waited on their way, beyond the usual: one-way delay variation."""

import time
from dataclasses import dataclass

__all__ = ["NewsDelays", "sending_clock"]

WINDOW = 30.0
"""Seconds after which the smallest offset is measured anew: long enough to hold a quick message,
short enough to forget clocks that have drifted apart or a way that has become longer."""
FORGOTTEN = 300.0
"""Seconds without news after which a sender is forgotten."""


def sending_clock() -> float:
    """Return seconds that never jump and go on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class _Offsets:
    """The smallest differences between a receiver's clock and a sender's, in seconds.

    Attributes
    ----------
    smallest, smallest_before : float
        Of this window and of the one before it.
    """

    started: int
    window_began: float
    smallest: float
    smallest_before: float


class NewsDelays:
    """Measures delays against the quickest news of each sender.

    A message tells how old its sender's knowledge is, but not how long it waited in a queue: of a
    full link, or of a process that is busy or was stopped. An entry that had stood still for 3 s
    took what had come meanwhile as fresh, and a departure of 3.3 s ago as one of 0.6 s. The two
    clocks differ by a fixed amount, so the excess over the smallest difference is the wait.
    """

    def __init__(self) -> None:
        self._offsets_by_sender: dict[str, _Offsets] = {}

    def delay(self, sender: str, started: int, sent_at: float, now: float) -> float:
        """Return for how many seconds longer than the quickest one a message was on its way.

        Parameters
        ----------
        started : int
            Names the sender's process; another one may run on a machine with another clock.
        sent_at : float
            The sender's clock when it sent the message, seconds.
        now : float
            The receiver's clock, seconds.
        """
        offset = now - sent_at
        known = self._offsets_by_sender.get(sender)
        if known is None or known.started != started:
            self._forget_silent(now)
            self._offsets_by_sender[sender] = _Offsets(started, now, offset, offset)
            return 0.0
        if now - known.window_began > WINDOW:
            known.window_began = now
            known.smallest_before, known.smallest = known.smallest, offset
        known.smallest = min(known.smallest, offset)
        return offset - min(known.smallest, known.smallest_before)

    def _forget_silent(self, now: float) -> None:
        """Drop the senders that are gone: VMs are replaced, and their names do not come back."""
        self._offsets_by_sender = {
            sender: known
            for sender, known in self._offsets_by_sender.items()
            if now - known.window_began <= FORGOTTEN
        }
