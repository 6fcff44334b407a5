"""A request on its way: what came, what it needs, and its attempts at backend servers."""

import math
from dataclasses import dataclass, field

from briarspur.codes import Code
from briarspur.gateway.configuration import Route
from briarspur.gateway.customers import Customer
from briarspur.gateway.target import Target

__all__ = [
    "LEAST_RETRY_AFTER",
    "MOST_RETRY_AFTER",
    "SHORTEST_TRY",
    "STARTING_RETRY_AFTER",
    "Arrival",
    "Attempt",
    "Bounds",
    "Refused",
    "Work",
]

SHORTEST_TRY = 0.02
"""Seconds; a request with less time left is not sent, since no answer could come back in time."""
HEDGE_FACTOR = 3.0
HEDGE_SLACK = 0.15
"""A repeatable request that has taken three times as long as expected, and 150 ms more, is sent to
a second server: by then a lost connection or a stalled server is likelier than a long piece of
work, whose longest is three times the mean."""
LEAST_RETRY_AFTER = 0.05
MOST_RETRY_AFTER = 1.0
"""Seconds; bounds of the time after which a refused caller may come back."""
STARTING_RETRY_AFTER = 0.4
"""Seconds after which a caller may come back to an entry that has just started."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures of the deployment; times in seconds.

    Attributes
    ----------
    configuration_s : float
        Time in which a configuration must be in force after its acknowledgement.
    revoke_s : float
        Time after which an entry that can't know which keys were taken away admits none; infinite
        if it goes on with those that it knows.
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
    """A request as it came.

    Attributes
    ----------
    patience : float
        Seconds the caller will wait; infinite if it did not say.
    size : int
        Bytes of its body.
    key_digest : bytes or None
        Stands for the API key that it carries; None if it carries none.
    """

    request_id: str
    host: str
    path: str
    key: bytes | None
    patience: float
    size: int = 0
    key_digest: bytes | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class Refused:
    """A final answer of our own to a request that was not run."""

    code: Code
    retry_after: float | None = None
    detail: str = ""


@dataclass(slots=True)
class Work:
    """One request on its way.

    Attributes
    ----------
    customer : Customer or None
        Whose request it is; None if it needs no key and carries none that is known.
    regions : frozenset of str
        Where it may run by its route and its customer; None if they have no region in common.
    """

    request_id: str
    route: Route
    service: str
    key: int | None
    arrived: float
    deadline: float
    version: int
    size: int = 0
    customer: Customer | None = None
    regions: frozenset[str] | None = frozenset()
    tried: list[Target] = field(default_factory=list)
    sent: int = 0
    hedged: bool = False


@dataclass(slots=True)
class Attempt:
    """One sending of a request.

    Attributes
    ----------
    queued : bool
        Others were before it at the server, so that its time says little about the work.
    warms : bool
        It is the first of its object there, as far as known.
    """

    work: Work
    target: Target
    warm: bool
    expected: float
    transit: float
    queued: bool
    started: float
    warms: bool = False
    ended: bool = False

    @property
    def overdue_after(self) -> float:
        """Seconds after its start when it is suspiciously late."""
        return HEDGE_FACTOR * self.expected + HEDGE_SLACK
