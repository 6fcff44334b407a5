"""Typed messages that entries exchange."""

from dataclasses import dataclass, field

from briarspur.coord.members import MemberUpdate
from briarspur.exchange import News

__all__ = ["Gossip", "ObjectCopy", "ObjectVersion", "PeerBorrowRequest", "PeerProbe", "PeerReply"]


@dataclass(frozen=True, slots=True)
class ObjectVersion:
    """The version of an object that an entry has in force."""

    name: str
    version: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class ObjectCopy:
    """An object sent from one entry to another."""

    name: str
    version: int
    digest: bytes
    value: bytes


@dataclass(frozen=True, slots=True)
class Gossip:
    """The payload piggybacked on every probe and reply."""

    updates: tuple[MemberUpdate, ...] = ()
    objects: tuple[ObjectVersion, ...] = ()
    news: News = field(default_factory=News)


@dataclass(frozen=True, slots=True)
class PeerProbe:
    """A membership probe.

    Attributes
    ----------
    receiver : str
        Id of the entry to probe. It differs from the addressee in an indirect probe.
    """

    sender: str
    receiver: str
    number: int
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class PeerReply:
    """The reply to a probe.

    Attributes
    ----------
    acknowledged : bool
        False if the addressee of an indirect probe got no reply from the probed entry.
    """

    sender: str
    number: int
    acknowledged: bool
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class PeerBorrowRequest:
    """A request to borrow part of another entry's share of a limit; ``lifetime`` in seconds."""

    sender: str
    resource: str
    amount: int
    transfer_id: str
    lifetime: float
