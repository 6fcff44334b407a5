"""Divides the allowed request rate of a cold backend server among the entries."""

from collections.abc import Iterable

from briarspur.coord.rendezvous import rank
from briarspur.gateway.tokens import TokenBucket

__all__ = ["cold_bucket"]

MAX_SENDERS = 3
"""Entries that may send to one cold server. Each may start with a whole request, so this is also
the burst of all entries; it must stay below the slack of the smallest deployment (5 requests)."""
USED_RATE_SHARE = 0.9
"""Share of the server's rate that is used in total; the remainder covers moments when the entries'
views of the membership differ."""


def cold_bucket(
    entry_id: str, entries: Iterable[str], target_id: str, per_s: float, now: float
) -> TokenBucket | None:
    """Return this entry's share of a cold server's rate; None if only others may send to it.

    Parameters
    ----------
    entries : iterable of str
        Ids of the live entries, including this one.
    per_s : float
        Requests per second that the server can handle from all entries together.
    """
    senders = rank(target_id, entries)[:MAX_SENDERS]
    if entry_id not in senders:
        return None
    return TokenBucket(USED_RATE_SHARE * per_s / len(senders), 1.0, now)
