"""Decides which of the two aggregators of a group sends the group's sums."""

from briarspur.gateway.groups import GroupView

__all__ = ["LeaderRole"]

LEADER_TIMEOUT_S = 0.5
"""Time without sums from the first aggregator after which the second one sends them. Members
consider each other gone after 1.2 s without any."""
START_DELAY_S = 0.3
"""Time after its start in which an aggregator receives the news of its members. Sums sent earlier
would replace those of the previous leader by the aggregator's own requests alone."""
TAKEOVER_DELAY_S = 1.5
"""Time after its start from which the first aggregator takes over from the second one: by then it
has received the news of all other groups."""
ALONE_WAIT_S = 1.0
"""Time after its start from which an entry leads its group if it receives no news from its members.
"""


class LeaderRole:
    """Decides whether this entry is the leader, which sends the sums of its group.

    The first aggregator leads as long as it is alive. The second one receives the same news; it
    replaces the first one until that is back and has received enough news. Two simultaneous leaders
    are harmless, since the sums of one replace those of the other.
    """

    def __init__(self, groups: GroupView) -> None:
        self._groups = groups
        self._started_at: float | None = None
        self._other_leader_at = float("-inf")

    def record_start(self, now: float) -> None:
        """Record the first time at which this entry could lead."""
        if self._started_at is None:
            self._started_at = now

    def record_other_leader(self, now: float) -> None:
        """Record that another entry has sent the group's sums."""
        self._other_leader_at = now

    def is_leader(self, leaving: bool, now: float) -> bool:
        """Return whether this entry sends the sums.

        Parameters
        ----------
        leaving : bool
            Whether this entry has advertised that it leaves, so that its members send it no news.
        """
        if not self._groups.is_aggregator or leaving or self._started_at is None:
            return False
        age, is_first = now - self._started_at, self._groups.is_first
        if now - self._other_leader_at <= LEADER_TIMEOUT_S:
            return is_first and age >= TAKEOVER_DELAY_S
        if not self._groups.has_live_members:
            return age >= ALONE_WAIT_S
        # If the first aggregator has just restarted, the second one leads, since it has received
        # the news of the other groups.
        return age >= (START_DELAY_S + LEADER_TIMEOUT_S if is_first else START_DELAY_S)
