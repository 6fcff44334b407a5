"""The state of a request inside the decision core."""

from dataclasses import dataclass, field

from briarspur.coord.once import Key
from briarspur.messages import Priority, Request, RequestKind, ShiftKind
from briarspur.policy import Rule, Service

__all__ = ["Attempt", "Classified", "Work"]


@dataclass(frozen=True, slots=True)
class Classified:
    """A request with its service, its rule, its caller's home region and its deadline."""

    request: Request
    service: Service
    rule: Rule
    home: str
    deadline: float


@dataclass(slots=True)
class Attempt:
    """One attempt at a request: at one of this entry's targets or through another entry.

    Attributes
    ----------
    target_id : str or None
        The backend server; None if the request was forwarded to another entry.
    entry_id : str or None
        The entry it was forwarded to; None if it was dispatched to a target.
    to_key_home : bool
        It was forwarded to the home of its key, the only entry that may decide about the key.
    head_received : bool
        The head of the answer has arrived.
    """

    attempt_id: int
    request_id: str
    service: str
    region: str
    started: float
    target_id: str | None = None
    entry_id: str | None = None
    to_key_home: bool = False
    head_received: bool = False


@dataclass(slots=True)
class Work:
    """An open request.

    Attributes
    ----------
    counted_at : float or None
        When the shift budget counted it as traffic to ``region``; None if it was not counted.
    key : Key or None
        Set if this entry is the home of the request's key.
    attempt_count : int
        Attempts so far; those after the first one count against the retry budget.
    may_have_run : bool
        An attempt failed without proof that it was not run.
    failed_targets : set of str
        Targets on which an attempt at this request failed.
    failed_entries : set of str
        Entries through which an attempt at this request failed.
    bytes_sent : int
        Body bytes already sent to the caller.
    isolated : bool
        The request is suspected of crashing backend servers and needs a target without other
        requests.
    claim_pending : bool
        The claim of its foreign key has been sent to the store and has no result yet.
    """

    request: Request
    service: Service
    rule: Rule
    home: str
    deadline: float
    arrived: float
    region: str = ""
    moved_by: ShiftKind | None = None
    counted_at: float | None = None
    key: Key | None = None
    attempt: Attempt | None = None
    attempt_count: int = 0
    may_have_run: bool = False
    failed_targets: set[str] = field(default_factory=set)
    failed_entries: set[str] = field(default_factory=set)
    bytes_sent: int = 0
    caller_connected: bool = True
    isolated: bool = False
    queued: bool = False
    claim_pending: bool = False

    @property
    def kind(self) -> RequestKind:
        """Return the class of the request."""
        return self.rule.kind

    @property
    def priority(self) -> Priority:
        """Return the priority under overload."""
        return self.rule.priority
