"""What an entry writes about itself to the store, so that others find it."""

from dataclasses import dataclass

__all__ = ["EntryRecord"]


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """One entry process.

    Attributes
    ----------
    started : int
        Unix time of its start in milliseconds; a later record of the same entry replaces it.
    caller_port, news_port, peer_port : int
        For callers (TCP), load news (UDP) and other entries' calls (TCP).
    """

    entry_id: str
    started: int
    host: str
    zone: str
    region: str
    caller_port: int
    news_port: int
    peer_port: int
