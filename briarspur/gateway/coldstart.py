"""Which entries send how much to a cold backend server, so that all together keep to its rate."""

from collections.abc import Iterable

from briarspur.coord.rendezvous import rank
from briarspur.gateway.tokens import TokenBucket

__all__ = ["cold_bucket"]

SENDERS = 3
"""Entries that may send to one cold server. Each may begin with a whole request, so the burst of
all is this number; it must stay below the slack of the smallest deployment (5 requests)."""
RATE_SHARE = 0.9
"""Share of the server's rate that is used in total; the rest covers entries whose views of the
members differ for a moment."""


def cold_bucket(
    me: str, entries: Iterable[str], target_id: str, per_s: float, now: float
) -> TokenBucket | None:
    """Return this entry's part of a cold server's rate; None if others send to it.

    Parameters
    ----------
    entries : iterable of str
        The live entries, this one included.
    per_s : float
        Requests per second that the server bears from all entries.
    """
    senders = rank(target_id, entries)[:SENDERS]
    if me not in senders:
        return None
    return TokenBucket(RATE_SHARE * per_s / len(senders), 1.0, now)
