"""Facts about members, and the messages that carry them."""

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
    "ProbeOut",
    "Reply",
]


class MemberState(IntEnum):
    """State of a member; of two facts with one number the higher state stands."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


@dataclass(frozen=True, slots=True)
class Member:
    """One process.

    Attributes
    ----------
    member_id : str
        Its seat; a process that replaces another has the same.
    incarnation : str
        Random, new with each process.
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
        """Where it answers probes."""
        return Address(self.host, self.peer_port)


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """One fact about a member; the higher (number, state) replaces the lower.

    Attributes
    ----------
    number : int
        Raised by the member alone, to refute a suspicion.
    """

    member: Member
    number: int
    state: MemberState

    def replaces(self, other: "MemberUpdate") -> bool:
        """Return whether this fact is the newer one."""
        return (self.number, self.state) > (other.number, other.state)


@dataclass(frozen=True, slots=True)
class ProbeOut:
    """A probe to send; report with ``on_reply`` or ``on_timeout``.

    Attributes
    ----------
    address : Address
        Where to send it.
    receiver : str
        The member that is probed; empty if only its address is known.
    via : bool
        Ask the member at ``address`` to probe ``receiver``.
    """

    number: int
    address: Address
    receiver: str
    via: bool
    updates: tuple[MemberUpdate, ...]


@dataclass(frozen=True, slots=True)
class Probe:
    """A probe that came."""

    sender: str
    updates: tuple[MemberUpdate, ...]


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a probe.

    Attributes
    ----------
    acknowledged : bool
        False if the sender was asked to probe another, and got no reply.
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
    suspicion : float
        Time a suspect has to refute.
    helpers : int
        Members asked to probe another that did not reply.
    updates : int
        Most facts on one message.
    resend : float
        A fact is sent this many times the logarithm of the number of members.
    list_patience : float
        How long a member that the VM list lacks is kept if its heartbeats still come.
    forget : float
        How long a member that is gone is remembered.
    """

    suspicion: float = 3.0
    helpers: int = 2
    updates: int = 8
    resend: float = 3.0
    list_patience: float = 300.0
    forget: float = 600.0
