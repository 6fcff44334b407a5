"""A request inside the decision core: what each filter adds to it."""

from dataclasses import dataclass, field

from briarspur.coord.once import Key
from briarspur.messages import Kind, MovedBy, Priority, Request
from briarspur.policy import Rule, Service

__all__ = ["Attempt", "Classified", "Work"]


@dataclass(frozen=True, slots=True)
class Classified:
    """A request with its service, its class and the region its caller belongs to."""

    request: Request
    service: Service
    rule: Rule
    home: str
    deadline: float


@dataclass(slots=True)
class Attempt:
    """One try to have a request answered, by a target of our own or through another entry.

    Attributes
    ----------
    target_id : str or None
        The backend server; None if the request went to another entry.
    entry_id : str or None
        The entry it went to; None if it went to a target of our own.
    key_home : bool
        It went to the home of its key, which alone decides about it.
    began : bool
        The answer's head has arrived.
    """

    attempt_id: int
    request_id: str
    service: str
    region: str
    started: float
    target_id: str | None = None
    entry_id: str | None = None
    key_home: bool = False
    began: bool = False


@dataclass(slots=True)
class Work:
    """An open request.

    Attributes
    ----------
    counted_at : float or None
        When the shift budget counted it as traffic to ``region``; None if it was not sent on.
    key : Key or None
        Set if this entry is the home of the request's key.
    tries : int
        Attempts so far; the first one is paid by the caller, the others by the retry budget.
    failed_targets : set of str
        Targets that failed this request.
    full_entries : set of str
        Entries that refused it as not run.
    passed : int
        Bytes of the body already passed to the caller.
    alone : bool
        The request is suspected of crashing backend servers and runs alone on its target.
    claiming : bool
        The claim of its foreign key is on its way.
    """

    request: Request
    service: Service
    rule: Rule
    home: str
    deadline: float
    arrived: float
    region: str = ""
    moved_by: MovedBy | None = None
    counted_at: float | None = None
    key: Key | None = None
    attempt: Attempt | None = None
    tries: int = 0
    failed_targets: set[str] = field(default_factory=set)
    full_entries: set[str] = field(default_factory=set)
    passed: int = 0
    caller_here: bool = True
    alone: bool = False
    queued: bool = False
    claiming: bool = False

    @property
    def kind(self) -> Kind:
        """Return the class of the request."""
        return self.rule.kind

    @property
    def priority(self) -> Priority:
        """Return who goes first under overload."""
        return self.rule.priority
