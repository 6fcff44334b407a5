"""Members, updates about them, and the probe messages that carry updates."""

from dataclasses import dataclass
from enum import IntEnum

from briarspur.coord.address import Address

__all__ = [
    "Address",
    "Member",
    "MemberState",
    "MemberUpdate",
    "MembershipSettings",
    "Probe",
    "OutgoingProbe",
    "Reply",
]


class MemberState(IntEnum):
    """State of a member; of two updates with the same incarnation number the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


@dataclass(frozen=True, slots=True)
class Member:
    """One process of the cluster.

    Attributes
    ----------
    member_id : str
        Stays the same when a new process replaces this one.
    incarnation : str
        Random id of the process, different for each process.
    """

    member_id: str
    incarnation: str
    region: str
    zone: str
    host: str
    caller_port: int
    forward_port: int
    peer_port: int

    @property
    def address(self) -> Address:
        """The address on which the member answers probes."""
        return Address(self.host, self.peer_port)


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """One update about a member; the higher (incarnation_number, state) wins.

    Attributes
    ----------
    incarnation_number : int
        Increased only by the member itself, to refute a suspicion.
    """

    member: Member
    incarnation_number: int
    state: MemberState

    def replaces(self, other: "MemberUpdate") -> bool:
        """Return whether this update is newer than the other."""
        return (self.incarnation_number, self.state) > (other.incarnation_number, other.state)


@dataclass(frozen=True, slots=True)
class OutgoingProbe:
    """A probe to send; pass the result to ``on_reply`` or ``on_timeout``.

    Attributes
    ----------
    address : Address
        Where to send the probe.
    receiver : str
        Id of the member to probe; empty if only its address is known.
    is_indirect : bool
        Whether to ask the member at ``address`` to probe ``receiver``.
    """

    number: int
    address: Address
    receiver: str
    is_indirect: bool
    updates: tuple[MemberUpdate, ...]


@dataclass(frozen=True, slots=True)
class Probe:
    """A received probe."""

    sender: str
    updates: tuple[MemberUpdate, ...]


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a probe.

    Attributes
    ----------
    acknowledged : bool
        False if the sender was asked to probe another member and got no reply.
    """

    sender: str
    number: int
    acknowledged: bool
    updates: tuple[MemberUpdate, ...]


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings; times in seconds.

    Attributes
    ----------
    suspicion_timeout : float
        Time that a suspect has to refute the suspicion.
    indirect_probes : int
        Number of other members that are asked to probe a member that did not reply.
    max_updates : int
        Maximum number of updates in one message.
    resend_factor : float
        An update is sent this many times the binary logarithm of the number of members.
    unlisted_timeout : float
        How long a member that isn't on the VM list is kept while its heartbeats still arrive.
    gone_retention : float
        How long the update about a member that is gone is kept.
    """

    suspicion_timeout: float = 3.0
    indirect_probes: int = 2
    max_updates: int = 8
    resend_factor: float = 3.0
    unlisted_timeout: float = 300.0
    gone_retention: float = 600.0
