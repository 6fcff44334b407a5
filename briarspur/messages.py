"""Typed messages between the decision core and the shell around it.

The core reads no clock and does no I/O. The shell calls a method of :class:`briarspur.core.Core`
for each event and carries out the actions that it returns. All times are seconds on the shell's
monotonic clock; sizes are in bytes.
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
    "Priority",
    "Refusal",
    "Refuse",
    "Reply",
    "Request",
    "RequestKind",
    "SettledClaim",
    "ShiftKind",
    "TargetAddress",
]


class RequestKind(Enum):
    """The two classes of request."""

    IDEMPOTENT = "idempotent"
    ONCE_ONLY = "once_only"


class Priority(IntEnum):
    """The order of service under overload; lower numbers come first."""

    ONCE_ONLY = 0
    INTERACTIVE = 1
    DOWNLOAD = 2
    BULK = 3


class ShiftKind(Enum):
    """The kinds of shift between regions; each has a separate cap in the policy."""

    PLANNED = "planned"
    EMERGENCY = "emergency"
    RETURN = "return"


class Failure(Enum):
    """How an attempt ended without a complete answer.

    Only ``NOT_SENT`` and ``SHED`` prove that the request was not run: no byte of it was written to
    a transport, or the backend server reported it.
    """

    NOT_SENT = "not sent"
    SHED = "shed"
    LOST = "lost"
    CUT_SHORT = "cut short"
    DEADLINE = "deadline"


class ClaimResult(Enum):
    """The result of claiming a foreign key, which no look-up issued."""

    ACQUIRED = "ours"
    TAKEN = "taken"
    UNSETTLED = "unsettled"


@dataclass(frozen=True, slots=True)
class SettledClaim:
    """The result of a claim.

    Attributes
    ----------
    holder : str or None
        The incarnation that holds the claim, if it is taken.
    retry_after : float or None
        Seconds after which an unsettled claim can succeed, if that is known.
    """

    result: ClaimResult
    holder: str | None = None
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """The host and ports that an entry listens on."""

    entry_id: str
    host: str
    caller_port: int
    forward_port: int
    peer_port: int


@dataclass(frozen=True, slots=True)
class TargetAddress:
    """The host and port that a backend server listens on."""

    target_id: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request of a caller, as read by the shell.

    Attributes
    ----------
    request_id : str
        Assigned by the first entry and kept when the request is forwarded.
    path : str
        Path and query as received.
    key : str or None
        Value of the Idempotency-Key header.
    body_digest : bytes
        SHA-256 of method, path and body; identifies a request.
    block : int
        The caller's block of clients: the first 32 bits of its IP address.
    deadline : float
        When the answer becomes useless, on the receiver's monotonic clock.
    forwarded_by : str or None
        The entry that forwarded it; a forwarded request is not forwarded to a third entry unless
        its receiver is the home of its key.
    dispatch_only : bool
        The key's home forwarded it for dispatch only: this entry must not look up the key.
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
    """Send the request to a backend server; from now on it counts as run unless proven otherwise.

    Attributes
    ----------
    attempt_id : int
        Events of the attempt carry this id; events of attempts that have ended are ignored.
    keep_answer : bool
        Collect the complete answer and pass it to ``answer_ended``, so that it can be kept.
    resume_at : int
        Request the body from this byte on, by Range with If-Range; 0 requests all of it.
    priority : Priority
        Selects the share of the link's rate for the answer's bytes.
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
    """Forward the request to another entry.

    Attributes
    ----------
    dispatch_only : bool
        True if this entry is the key's home and the other one must only dispatch.
    relay_refusals : bool
        True if the other entry is the key's home: all its answers are relayed, including refusals,
        because only it knows the outcome of the key. If False, an answer with ``Briarspur-Ran: no``
        is reported as ``Failure.SHED``.
    region : str
        Region of the other entry; answers are counted by the region that ran the request.
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
    """Relay the answer of this attempt to the caller as it arrives, starting with its head."""

    request_id: str
    attempt_id: int


@dataclass(frozen=True, slots=True)
class Reply:
    """Send the caller a kept answer."""

    request_id: str
    answer: Answer
    code: Code = Code.REPLAYED


@dataclass(frozen=True, slots=True)
class Refuse:
    """Send the caller a refusal as the final answer."""

    request_id: str
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Abort:
    """Abort the caller's connection, because a part of the body has already been sent."""

    request_id: str
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt by closing its connection."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class Claim:
    """Claim a foreign key in the object store, then call ``claim_settled``."""

    request_id: str
    key: str
    body_digest: bytes


@dataclass(frozen=True, slots=True)
class FetchOutcome:
    """Read an outcome that a terminated incarnation stored, then call ``outcome_fetched``."""

    request_id: str
    incarnation: str
    key: str


Action = Dispatch | Forward | Begin | Reply | Refuse | Abort | Cancel | Claim | FetchOutcome
