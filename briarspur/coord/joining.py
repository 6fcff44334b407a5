"""When a process that has just begun knows enough of the others to act as a member."""

__all__ = ["PERIODS", "Joining"]

PERIODS = 5
"""Probe periods after the VM list was read during which listed addresses are waited for."""


class Joining:
    """Holds a new process back until it has heard from the members that the VM list names.

    Without it a new process sees itself alone at first, so by every rule that derives owners from
    the view it owns all targets of its region, beside their true owners, and its look-ups name
    itself alone: targets get twice their slots, and callers have no second entry to turn to.

    An address that is listed may be dead, so the wait ends after ``PERIODS`` periods. It begins
    with the list: a process that could not read it, and that nobody probed, knows nothing.

    Parameters
    ----------
    period : float
        Seconds between two probes.
    """

    def __init__(self, period: float) -> None:
        self._patience = PERIODS * period
        self._began_at: float | None = None
        self._joined = False

    def joined(self, has_list: bool, unheard: int, now: float) -> bool:
        """Return whether the process may act; once True, always True.

        Parameters
        ----------
        has_list : bool
            The VM list was read, or another member has made contact.
        unheard : int
            Listed addresses from which no member is known.
        """
        if self._joined or not has_list:
            return self._joined
        if self._began_at is None:
            self._began_at = now
        self._joined = unheard == 0 or now - self._began_at >= self._patience
        return self._joined
