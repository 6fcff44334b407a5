"""The state of a request: the request as received, its requirements and its attempts."""

import math
from dataclasses import dataclass, field

from briarspur.codes import Code
from briarspur.gateway.configuration import Route
from briarspur.gateway.content import RequestContent
from briarspur.gateway.customers import Customer
from briarspur.gateway.retrybudget import Retry
from briarspur.gateway.target import Target

__all__ = [
    "HEDGE_FACTOR",
    "HEDGE_SLACK_S",
    "MAX_RETRY_AFTER_S",
    "MIN_ATTEMPT_S",
    "MIN_RETRY_AFTER_S",
    "STARTING_RETRY_AFTER_S",
    "Arrival",
    "Attempt",
    "Bounds",
    "Refused",
    "Work",
]

MIN_ATTEMPT_S = 0.02
"""A request with less time left is not sent, since no answer could arrive in time."""
HEDGE_FACTOR = 3.0
HEDGE_SLACK_S = 0.15
"""A repeatable request that has taken three times the expected time plus 150 ms is also sent to a
second server: by then a lost connection or a stalled server is likelier than a long piece of work,
since the longest work takes three times the mean."""
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
"""Bounds of the Retry-After time of a refusal."""
STARTING_RETRY_AFTER_S = 0.4
"""Retry-After time of an entry that has just started."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that a deployment configures; times in seconds.

    Attributes
    ----------
    configuration_s : float
        Time within which an acknowledged configuration must be applied.
    revoke_s : float
        Time after which an entry that can't learn of revoked keys accepts no keys at all; infinite
        if it continues to accept the keys it knows.
    """

    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 60.0
    configuration_s: float = 2.5
    revoke_s: float = math.inf
    quota_window: float = 5.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as received.

    Attributes
    ----------
    timeout : float
        Seconds the caller will wait; infinite if it named no limit.
    size : int
        Size of the body in bytes.
    key_digest : bytes or None
        Digest of the request's API key; None if it has none.
    content : RequestContent, optional
        Identifies the request among those that are sent again.
    attempts : int or None
        Servers to which the entry that passed it on lets it be sent; None if that is not stated.
    """

    request_id: str
    host: str
    path: str
    key: bytes | None
    timeout: float
    size: int = 0
    key_digest: bytes | None = field(default=None, repr=False)
    content: RequestContent | None = field(default=None, repr=False)
    attempts: int | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """The gateway's own final answer to a request that was not run."""

    code: Code
    retry_after: float | None = None
    detail: str = ""


@dataclass(slots=True)
class Work:
    """A request that was accepted and its progress.

    Attributes
    ----------
    customer : Customer or None
        The customer who sent it; None if the route needs no key and the request has no known one.
    regions : frozenset of str or None
        Regions that both its route and its customer allow, empty if any region is allowed; None if
        they have no region in common.
    attempts : int
        Servers to which it may be sent.
    sent : int
        Servers to which it was sent, or may have been sent by other entries.
    addresses : set of tuple
        Where it was sent to.
    may_have_run : bool
        Whether an attempt ended without proof that the request was not run.
    unanswered : int
        Attempts that have not ended.
    arrived_by : float
        When the attempts that were given up have reached a server, or never will.
    retries : list of Retry
        Retries that the budget of its service allowed.
    content : RequestContent or None
        Identifies the request among those that are sent again; None if that is unknown.
    is_forwarded : bool
        Whether another entry passed it on, which counts it for the customer's quota.
    helpers : list of str
        Entries that it was passed on to.
    """

    request_id: str
    route: Route
    service: str
    key: int | None
    arrived: float
    deadline: float
    version: int
    attempts: int
    size: int = 0
    customer: Customer | None = None
    regions: frozenset[str] | None = frozenset()
    tried: list[Target] = field(default_factory=list)
    sent: int = 0
    hedged: bool = False
    addresses: set[tuple[str, int]] = field(default_factory=set)
    may_have_run: bool = False
    unanswered: int = 0
    arrived_by: float = -math.inf
    retries: list[Retry] = field(default_factory=list)
    content: RequestContent | None = field(default=None, repr=False)
    is_forwarded: bool = False
    helpers: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Attempt:
    """One attempt to run a request at a backend server.

    Attributes
    ----------
    queued : bool
        Whether it had to queue at the server, so that its time is no sample of the working time.
    warms_object : bool
        Whether it is the server's first request for its object, as far as this entry knows.
    sent : bool
        Whether any of it was sent.
    connection_failed : bool
        Whether no connection could be made.
    is_first_on_connection : bool
        Whether a new connection was made for it.
    is_trial : bool
        Whether it finds out whether servers answer again, while the request is passed on as well.
    """

    work: Work
    target: Target
    warm: bool
    expected: float
    transit: float
    queued: bool
    started: float
    warms_object: bool = False
    sent: bool = False
    connection_failed: bool = False
    is_first_on_connection: bool = False
    is_trial: bool = False
    ended: bool = False

    @property
    def overdue_after(self) -> float:
        """Seconds from the start after which the attempt is overdue."""
        return HEDGE_FACTOR * self.expected + HEDGE_SLACK_S
