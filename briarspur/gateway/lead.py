"""Which of a group's two speakers sends its sums."""

from briarspur.gateway.groups import GroupView

__all__ = ["Lead"]

LEAD_SILENT = 0.5
"""Seconds without sums of the first speaker after which the second one sends them. The members take
one another for gone after 1.2 s without any."""
LEAD_SETTLE = 0.3
"""Seconds after its start in which a speaker hears its members. One that sent sums at once would
replace those of the speaker that has led so far by its own requests alone."""
TAKE_OVER = 1.5
"""Seconds after its start from which the first speaker takes over from the second one: by then it
has heard all other groups."""
ALONE_WAIT = 1.0
"""Seconds after its start from which an entry that hears nobody of its group speaks for it."""


class Lead:
    """Decides for one entry.

    The first speaker leads as long as it lives; the second one has heard the same and takes its
    place until it is back and knows enough. Two that lead for a moment do no harm, since their sums
    replace one another.
    """

    def __init__(self, groups: GroupView) -> None:
        self._groups = groups
        self._began: float | None = None
        self._heard_at = float("-inf")

    def started(self, now: float) -> None:
        """Note the first moment at which this entry could lead."""
        if self._began is None:
            self._began = now

    def heard_another(self, now: float) -> None:
        """Note that another entry has sent the group's sums."""
        self._heard_at = now

    def is_mine(self, leaving: bool, now: float) -> bool:
        """Return whether this entry sends the sums.

        Parameters
        ----------
        leaving : bool
            This entry has said that it leaves: its members tell it nothing more.
        """
        if not self._groups.is_aggregator or leaving or self._began is None:
            return False
        age, is_first = now - self._began, self._groups.is_first
        if now - self._heard_at <= LEAD_SILENT:
            return is_first and age >= TAKE_OVER
        if not self._groups.has_live_members:
            return age >= ALONE_WAIT
        # The second speaker, which has heard the other groups, leads if the first one has just
        # started anew.
        return age >= (LEAD_SETTLE + LEAD_SILENT if is_first else LEAD_SETTLE)
