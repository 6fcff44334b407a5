"""Typed messages between entries."""

from dataclasses import dataclass, field

from briarspur.coord.members import MemberUpdate
from briarspur.exchange import News

__all__ = ["BorrowAsked", "Gossip", "ObjectCopy", "ObjectVersion", "PeerProbe", "PeerReply"]


@dataclass(frozen=True, slots=True)
class ObjectVersion:
    """Which version of an object an entry has in force."""

    name: str
    version: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class ObjectCopy:
    """An object as one entry passes it to another."""

    name: str
    version: int
    digest: bytes
    value: bytes


@dataclass(frozen=True, slots=True)
class Gossip:
    """What rides on every probe and reply."""

    updates: tuple[MemberUpdate, ...] = ()
    objects: tuple[ObjectVersion, ...] = ()
    news: News = field(default_factory=News)


@dataclass(frozen=True, slots=True)
class PeerProbe:
    """A probe.

    Attributes
    ----------
    receiver : str
        Whom the probe is for; not its addressee, if that one shall probe another.
    """

    sender: str
    receiver: str
    number: int
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class PeerReply:
    """The answer to a probe.

    Attributes
    ----------
    acknowledged : bool
        False if the addressee was asked to probe another, which did not answer it.
    """

    sender: str
    number: int
    acknowledged: bool
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class BorrowAsked:
    """A request for a part of a limit; ``lifetime`` in seconds."""

    sender: str
    resource: str
    amount: int
    transfer_id: str
    lifetime: float
