"""Small configurations, targets and decision cores (``Steering``) for tests of the gateway."""

from collections.abc import Sequence

from briarspur.gateway.configuration import Configuration, Route, RouteKind, Service, SplitPart
from briarspur.gateway.registration import Registration
from briarspur.gateway.steering import Steering
from briarspur.gateway.work import Arrival, Attempt, Bounds, Work

ZONE_REGIONS = {"a-1": "a", "a-2": "a", "b-1": "b"}


def route(
    name: str = "times",
    prefix: str = "/times/",
    kind: RouteKind = RouteKind.IDEMPOTENT,
    parts: Sequence[SplitPart] = (SplitPart("info", 1.0),),
    timeout: float = 2.0,
    attempts: int = 2,
    regions: frozenset[str] = frozenset(),
) -> Route:
    return Route(
        name=name,
        host="quay.example",
        prefix=prefix,
        kind=kind,
        parts=tuple(parts),
        timeout=timeout,
        goal=0.25,
        attempts=attempts,
        priority=1,
        sticky=True,
        regions=regions,
    )


def configuration(version: int = 1, routes: Sequence[Route] = ()) -> Configuration:
    services = {name: Service(name, 100, 3.0, 10.0) for name in ("info", "booking")}
    return Configuration(version, tuple(routes) or (route(),), services)


def registration(
    target_id: str,
    born: int = 1,
    service: str = "info",
    zone: str = "a-1",
    slots: int = 2,
    draining: bool = False,
    cold_s: float = 0.0,
    port: int = 80,
) -> Registration:
    return Registration(target_id, born, service, "127.0.0.1", port, zone, slots, draining, cold_s)


def steering(
    targets: int = 3,
    routes: Sequence[Route] = (),
    entry_id: str = "entry-1",
    bounds: Bounds | None = None,
    slots: int = 2,
) -> Steering:
    """Return a decision core with a configuration and some targets of the service ``info``."""
    core = Steering(entry_id, "a-1", "a", ZONE_REGIONS, bounds or Bounds())
    core.apply_configuration(configuration(1, routes))
    for number in range(targets):
        core.targets.registered(registration(f"t-{number}", slots=slots), 0.0)
    return core


def arrival(
    request_id: str = "r-1", path: str = "/times/x", key: bytes | None = b"7", timeout: float = 2.0
) -> Arrival:
    return Arrival(request_id, "quay.example", path, key, timeout)


def begun(core: Steering, now: float = 0.0, **fields: object) -> Work:
    work = core.begin(arrival(**fields), now)  # type: ignore[arg-type]
    assert isinstance(work, Work), work
    return work


def sent(core: Steering, work: Work, now: float = 0.0) -> Attempt:
    attempt = core.next_attempt(work, now)
    assert isinstance(attempt, Attempt), attempt
    work.sent += 1
    return attempt
