"""The active configuration: routes, services and limits, as immutable values."""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

from briarspur.gateway.customers import Customers

__all__ = [
    "Configuration",
    "Limits",
    "Route",
    "RouteKind",
    "RouteTable",
    "Service",
    "SplitPart",
    "WeightedRoundRobin",
]


class RouteKind(Enum):
    """Kind of the requests of a route, which decides whether they may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE_ONLY = "once_only"
    DOWNLOAD = "download"
    UPLOAD = "upload"


REPEATABLE = frozenset({RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD})
"""Kinds whose requests may run more than once. Uploads are not among them: a delivery note whose
response was lost would be recorded twice."""


@dataclass(frozen=True, slots=True)
class SplitPart:
    """A service of a route and its weight; a route without a split has one part."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A route for the requests of one host below one path prefix.

    Attributes
    ----------
    timeout : float
        Maximum time that a caller waits for its response, in seconds.
    goal : float
        Time within which a response is useful to its caller, in seconds.
    attempts : int
        Maximum number of backend servers to which one request may be sent.
    priority : int
        0 is the most urgent priority.
    sticky : bool
        Backend servers respond faster for objects that they handled recently.
    regions : frozenset of str
        Regions where requests may run; empty for all.
    public : bool
        Requests need no API key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    parts: tuple[SplitPart, ...]
    timeout: float
    goal: float
    attempts: int
    priority: int
    sticky: bool
    regions: frozenset[str] = frozenset()
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind in REPEATABLE


@dataclass(frozen=True, slots=True)
class Service:
    """The settings of one service.

    Attributes
    ----------
    max_connections : int
        Maximum connections to one backend server from all its clients together.
    cold_s : float
        Time for which a backend server is cold after its start, in seconds.
    cold_per_s : float
        Maximum requests per second to a cold backend server.
    """

    name: str
    max_connections: int
    cold_s: float
    cold_per_s: float


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size of a request, and on the seconds for sending it and for being idle."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_s: float = 5.0
    idle_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the complete configuration.

    Attributes
    ----------
    complete : bool
        Every route of the document could be parsed. If not, a request that matches no route may
        match a skipped one, so "no such route" might be wrong.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, Service]
    limits: Limits = Limits()
    complete: bool = True
    customers: Customers = field(default_factory=Customers, compare=False)
    table: "RouteTable" = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "table", RouteTable(self.routes))


class RouteTable:
    """Finds the route of a request: the one of its host with the longest matching prefix.

    Every prefix ends with a slash, so the candidates are the parts of the path up to each slash.
    Looking these up, longest first, costs one dictionary access per slash in the path, independent
    of the number of routes.
    """

    def __init__(self, routes: tuple[Route, ...]) -> None:
        by_host: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in routes:
            by_host[route.host.lower()][route.prefix] = route
        self._by_host = dict(by_host)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request; ``host`` may include a port, ``path`` a query."""
        by_prefix = self._by_host.get(host.partition(":")[0].lower())
        if by_prefix is None:
            return None
        end = path.partition("?")[0].rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class WeightedRoundRobin:
    """Distributes the requests of a route over its split by smooth weighted round-robin.

    Each request goes to the part that is furthest behind its share. Over any number of requests,
    each part is within one request of its share; with random selection, 200 requests would deviate
    by up to 7 %.
    """

    def __init__(self, parts: tuple[SplitPart, ...]) -> None:
        self._parts = parts
        self._total = sum(part.weight for part in parts)
        self._credits = [0.0] * len(parts)

    def next(self) -> str:
        """Return the service for the next request."""
        if len(self._parts) == 1:
            return self._parts[0].service
        best = 0
        for index, part in enumerate(self._parts):
            self._credits[index] += part.weight
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= self._total
        return self._parts[best].service
