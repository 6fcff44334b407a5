"""Typed messages between the filters of the decision core and the shells around it.

The core reads no clock and does no I/O. A shell tells it what happened (a method of
:class:`briarspur.core.Core` for each event) and carries out the actions it returns. All times are
seconds on the shell's monotonic clock; byte counts are bytes.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum

from briarspur.codes import Code
from briarspur.refusal import Answer, Refusal

__all__ = [
    "Abort",
    "Action",
    "Answer",
    "Begin",
    "Cancel",
    "Claim",
    "ClaimResult",
    "Dispatch",
    "EntryAddress",
    "Failure",
    "FetchOutcome",
    "Forward",
    "Kind",
    "MovedBy",
    "Priority",
    "Refusal",
    "Refuse",
    "Reply",
    "Request",
    "SettledClaim",
    "TargetAddress",
]


class Kind(Enum):
    """The two classes of request."""

    IDEMPOTENT = "idempotent"
    ONCE_ONLY = "once_only"


class Priority(IntEnum):
    """Who is served first under overload; a lower number goes first."""

    ONCE_ONLY = 0
    INTERACTIVE = 1
    DOWNLOAD = 2
    BULK = 3


class MovedBy(Enum):
    """The kinds of shift; each has a cap of its own in the policy."""

    PLANNED = "planned"
    EMERGENCY = "emergency"
    RETURN = "return"


class Failure(Enum):
    """How an attempt ended without a whole answer.

    ``NOT_SENT`` and ``SHED`` alone prove that the request was not run: no byte of it was handed
    to a transport, or the backend server said so itself.
    """

    NOT_SENT = "not sent"
    SHED = "shed"
    LOST = "lost"
    CUT_SHORT = "cut short"
    DEADLINE = "deadline"


class ClaimResult(Enum):
    """What became of the claim of a key that no look-up of ours handed out."""

    OURS = "ours"
    TAKEN = "taken"
    UNSETTLED = "unsettled"


@dataclass(frozen=True, slots=True)
class SettledClaim:
    """What became of a claim, and which incarnation holds it if it is taken."""

    result: ClaimResult
    holder: str | None = None


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """Where an entry listens."""

    entry_id: str
    host: str
    caller_port: int
    forward_port: int
    peer_port: int


@dataclass(frozen=True, slots=True)
class TargetAddress:
    """Where a backend server listens."""

    target_id: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request, whole, as the shell read it.

    Attributes
    ----------
    request_id : str
        Given by the first entry; follows the request through a forward.
    path : str
        Path and query as sent.
    key : str or None
        The Idempotency-Key.
    body_digest : bytes
        SHA-256 of method, path and body; tells one request from another.
    block : int
        The caller's block of clients: the first 32 bits of its address.
    deadline : float
        When the answer is worth nothing any more, on the receiver's monotonic clock.
    forwarded_by : str or None
        The entry that sent it on; a forwarded request is never forwarded to a third entry, unless
        its receiver is the home of its key.
    dispatch_only : bool
        The key's home sent it here to be dispatched: this entry must not look the key up.
    """

    request_id: str
    method: str
    path: str
    key: str | None
    body_digest: bytes
    block: int
    deadline: float
    forwarded_by: str | None = None
    dispatch_only: bool = False


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the request to a backend server. From here on it counts as run, unless shown not to be.

    Attributes
    ----------
    attempt_id : int
        Events about the attempt carry it; events of an attempt the core has ended are dropped.
    keep_answer : bool
        Collect the whole answer and hand it to ``answer_ended``, so that it can be remembered.
    resume_at : int
        Ask for the body from this byte on (Range with If-Range); 0 asks for all of it.
    priority : Priority
        Share of the link the answer's bytes are paced under.
    """

    request_id: str
    attempt_id: int
    target: TargetAddress
    service: str
    region: str
    priority: Priority
    deadline: float
    keep_answer: bool = False
    resume_at: int = 0


@dataclass(frozen=True, slots=True)
class Forward:
    """Send the request on to another entry.

    Attributes
    ----------
    dispatch_only : bool
        True if this entry is the key's home and the other shall only dispatch.
    relay_refusals : bool
        True if the other entry is the key's home: whatever it answers is passed on, also a refusal,
        since it alone knows what became of the key. False: an answer with ``Briarspur-Ran: no`` is
        reported as ``Failure.SHED``.
    region : str
        Region of the other entry: answers are counted by where they ran.
    """

    request_id: str
    attempt_id: int
    entry: EntryAddress
    deadline: float
    dispatch_only: bool = False
    relay_refusals: bool = False
    keep_answer: bool = False
    resume_at: int = 0
    region: str = ""


@dataclass(frozen=True, slots=True)
class Begin:
    """Pass the answer of this attempt on to the caller, from its head on, as it arrives."""

    request_id: str
    attempt_id: int


@dataclass(frozen=True, slots=True)
class Reply:
    """Give the caller a remembered whole answer."""

    request_id: str
    answer: Answer
    code: Code = Code.REPLAYED


@dataclass(frozen=True, slots=True)
class Refuse:
    """Give the caller a final answer of our own."""

    request_id: str
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Abort:
    """Cut the caller's connection, because a part of the body was already passed on."""

    request_id: str
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Cancel:
    """Give an attempt up and let the backend server know by closing its connection."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class Claim:
    """Create the claim of a foreign key in the object store; answer with ``claim_settled``."""

    request_id: str
    key: str
    body_digest: bytes


@dataclass(frozen=True, slots=True)
class FetchOutcome:
    """Read the outcome a gone incarnation left in the store; answer with ``outcome_fetched``."""

    request_id: str
    incarnation: str
    key: str


Action = Dispatch | Forward | Begin | Reply | Refuse | Abort | Cancel | Claim | FetchOutcome
