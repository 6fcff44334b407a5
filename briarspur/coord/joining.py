"""Decides when a new process knows enough other members to act as a member."""

__all__ = ["MAX_WAIT_PERIODS", "Joining"]

MAX_WAIT_PERIODS = 5
"""Number of probe periods to wait for listed addresses; they count from the first contact."""


class Joining:
    """Delays a new process until it knows the members at all addresses of the VM list.

    Without the delay, the view of a new process contains only itself at first. By every rule that
    derives owners from the view, it would own all targets of its region in addition to their actual
    owners, and its look-ups would return only itself. Targets would get twice their slots, and
    callers would have no alternative entry.

    A listed address may be dead, so the wait ends after ``MAX_WAIT_PERIODS`` periods. It starts
    with the VM list or the first contact: a process that couldn't read the list, and that no member
    has probed, knows nothing.

    Parameters
    ----------
    period : float
        Probe period in seconds.
    """

    def __init__(self, period: float) -> None:
        self._max_wait = MAX_WAIT_PERIODS * period
        self._started_at: float | None = None
        self._joined = False

    def joined(self, has_contact: bool, unknown_addresses: int, now: float) -> bool:
        """Return whether the process may act as a member; once True, always True.

        Parameters
        ----------
        has_contact : bool
            Whether the VM list was read or another member is known.
        unknown_addresses : int
            Number of listed addresses at which no member is known.
        """
        if self._joined or not has_contact:
            return self._joined
        if self._started_at is None:
            self._started_at = now
        self._joined = unknown_addresses == 0 or now - self._started_at >= self._max_wait
        return self._joined
