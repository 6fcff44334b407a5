"""The record that an entry writes to the store so that other entries find it."""

from dataclasses import dataclass
from functools import lru_cache
from zlib import crc32

__all__ = ["DEFAULT_LINK_MBPS", "DEFAULT_PROCESSOR_CORES", "EntryRecord", "process_number"]

DEFAULT_PROCESSOR_CORES = 1.0
DEFAULT_LINK_MBPS = 1_000.0


@lru_cache(maxsize=8_192)
def process_number(entry_id: str, started: int) -> int:
    """Return the 32 bits that identify a process of an entry in news; the same on every entry."""
    return crc32(f"{entry_id}/{started}".encode())


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """The record of one entry process.

    Attributes
    ----------
    started : int
        Unix time of its start in milliseconds; a record with a later start replaces it.
    caller_port, news_port, peer_port : int
        Ports for callers (TCP), load news (UDP) and calls from other entries (TCP).
    processor : float
        Processing capacity of its VM, in cores.
    link_mbps : float
        Capacity of its VM's link, in Mbit/s.
    """

    entry_id: str
    started: int
    host: str
    zone: str
    region: str
    caller_port: int
    news_port: int
    peer_port: int
    processor: float = DEFAULT_PROCESSOR_CORES
    link_mbps: float = DEFAULT_LINK_MBPS

    @property
    def number(self) -> int:
        """The number that identifies this process in news."""
        return process_number(self.entry_id, self.started)
