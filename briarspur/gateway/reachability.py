"""Detects that this entry can't reach the backend servers, whatever the state of each of them."""

import logging
from collections.abc import Callable
from enum import Enum

from briarspur import logs

__all__ = ["PROBES_PER_ROUND", "Reachability"]

PROBES_PER_ROUND = 3
"""Servers of different zones that are connected to, to find out whether any can be reached."""
MIN_FAILED_SERVERS = 2
"""Servers that must have failed in a row before a round: many requests fail because of one."""
MIN_SILENT_SERVERS = 3
"""Servers that must have failed to respond in a row, though they accept connections."""
MIN_ROUND_INTERVAL_S = 1.0
"""Time between two rounds while servers can be reached."""
RETURN_ROUND_INTERVAL_S = 0.5
"""Time between two rounds while none can be reached."""
ROUNDS_TO_RETURN = 2
"""Successful rounds after which servers count as reachable again."""
TRIAL_INTERVAL_S = 0.5
"""Time between two requests that are sent to silent servers, too."""
MAX_SILENCE_S = 10.0
"""Time after which silent servers that accept connections get requests again: there may be none
that can be sent to two places."""


class _Cause(Enum):
    UNCONNECTED = "no connection"
    SILENT = "no response"


class Reachability:
    """Whether this entry reaches backend servers, from its attempts and from rounds of probes.

    Servers that fail one after another start a round. If no server of the round accepts a
    connection, the entry counts as cut off until most servers of some rounds in a row do; answers
    over open connections don't matter, since these may live on while new ones are refused. If
    servers accept connections and none responds, the entry counts as cut off until one does.

    Attributes
    ----------
    on_change : callable
        Called with whether the entry is cut off from all servers now.
    """

    def __init__(self) -> None:
        self.on_change: Callable[[bool], None] = lambda is_cut_off: None
        self._cause: _Cause | None = None
        self._unconnected: set[int] = set()
        self._unanswered: set[int] = set()
        self._last_round = float("-inf")
        self._is_probing = False
        self._good_rounds = 0
        self._cut_off_at = 0.0
        self._last_trial = float("-inf")

    @property
    def is_cut_off(self) -> bool:
        """Whether the entry reaches no backend server."""
        return self._cause is not None

    # Attempts

    def record_connected(self) -> None:
        """Record that a server responded over a new connection."""
        self._unconnected.clear()

    def record_answered(self, started: float, now: float) -> None:
        """Record that a server responded to an attempt that began at the time ``started``."""
        self._unanswered.clear()
        if self._cause is _Cause.SILENT and started >= self._cut_off_at:
            self._set_cause(None, now)

    def record_unconnected(self, target: int) -> None:
        """Record that a server could not be connected to, or closed a connection at once."""
        self._unconnected.add(target)

    def record_unanswered(self, target: int) -> None:
        """Record that a server's response is overdue or was lost."""
        self._unanswered.add(target)

    def begin_trial(self, now: float) -> bool:
        """Return whether to send a request to a server that may not respond."""
        if self._cause is not _Cause.SILENT or now - self._last_trial < TRIAL_INTERVAL_S:
            return False
        self._last_trial = now
        return True

    # Rounds

    def begin_round(self, known_targets: int, now: float) -> bool:
        """Return whether to begin a round of probes now."""
        if self._is_probing or not known_targets:
            return False
        interval = RETURN_ROUND_INTERVAL_S if self.is_cut_off else MIN_ROUND_INTERVAL_S
        if now - self._last_round < interval:
            return False
        failed = max(len(self._unconnected), len(self._unanswered))
        if not self.is_cut_off and failed < min(MIN_FAILED_SERVERS, known_targets):
            return False
        self._is_probing = True
        self._last_round = now
        return True

    def end_round(self, reached: int, probed: int, known_targets: int, now: float) -> None:
        """Record how many of the probed servers were reached."""
        self._is_probing = False
        if not probed:
            return
        if not reached:
            self._good_rounds = 0
            self._set_cause(_Cause.UNCONNECTED, now)
            return
        self._good_rounds = self._good_rounds + 1 if 2 * reached > probed else 0
        match self._cause:
            case None:
                self._unconnected.clear()
                if len(self._unanswered) >= min(MIN_SILENT_SERVERS, known_targets):
                    self._set_cause(_Cause.SILENT, now)
            case _Cause.UNCONNECTED:
                if self._good_rounds >= ROUNDS_TO_RETURN:
                    self._set_cause(None, now)
            case _Cause.SILENT:
                if now - self._cut_off_at > MAX_SILENCE_S:
                    self._set_cause(None, now)

    def _set_cause(self, cause: _Cause | None, now: float) -> None:
        if cause is self._cause:
            return
        was_cut_off = self.is_cut_off
        self._cause = cause
        failed = len(self._unconnected | self._unanswered)
        if not self.is_cut_off:
            self._unconnected.clear()
            self._unanswered.clear()
        if self.is_cut_off == was_cut_off:
            return
        if cause is not None:
            self._cut_off_at = now
            logs.event("servers-unreachable", logging.WARNING, why=cause.value, failed=failed)
        else:
            logs.event("servers-reachable", after_s=f"{now - self._cut_off_at:.3f}")
        self.on_change(self.is_cut_off)
