"""Tests of objects that are used in another zone, and of when they are warmed up nearer."""

import unittest

from briarspur.gateway.configuration import RouteKind
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.steering import Steering
from briarspur.gateway.warmcopies import AccruedCosts
from briarspur.gateway.work import Arrival, Attempt, Work
from tests.gateway.samples import registration, route, steering

UPLOAD = route("notes", "/notes/", RouteKind.UPLOAD)
COLD, WARM = 0.6, 0.2


def deployment() -> Steering:
    """Return the entry of zone a-1, with servers in both zones of its region."""
    core = steering(0, [route(), UPLOAD], slots=4)
    for number, zone in enumerate(("a-1", "a-1", "a-2", "a-2")):
        core.targets.registered(registration(f"t-{number}", zone=zone, slots=4), 0.0)
    for target in core.targets.by_number.values():
        for key in (1, 2, 3):
            target.warmth.add(key)
    for name in ("times", "notes"):
        times = core.work_times.route(name, 0.25)
        times.warm, times.cold = WARM, COLD
    return core


def warm_only_at(core: Steering, target_id: str, path: str, key: bytes) -> int:
    work = core.begin(Arrival("r", "quay.example", path, key, 2.0), 0.0)
    assert isinstance(work, Work) and work.key is not None
    target = core.targets.get(target_id)
    assert target is not None
    target.warmth.add(work.key)
    return work.key


def place(core: Steering, path: str, key: bytes, size: int) -> str:
    """Send one request, let it end, and return the zone that it ran in."""
    work = core.begin(Arrival("r", "quay.example", path, key, 2.0, size), 0.0)
    assert isinstance(work, Work)
    attempt = core.next_attempt(work, 0.0)
    assert isinstance(attempt, Attempt)
    core.attempt_ended(attempt, Outcome.ABANDONED, 0.0)
    return attempt.target.registration.zone


class WarmCopyTest(unittest.TestCase):
    """Guards against half of the bytes of every object crossing zones as long as it is requested.

    An object's callers are in both zones of a region. While the object was warm at one server, the
    entries of the other zone sent all its requests there. Operators pay for each of these bytes.
    """

    def test_an_object_with_large_bodies_is_warmed_up_nearer_after_few_requests(self) -> None:
        core = deployment()
        warm_only_at(core, "t-2", "/notes/x", b"7")
        zones = [place(core, "/notes/x", b"7", 30_000) for _ in range(10)]
        self.assertEqual("a-2", zones[0])
        self.assertEqual(["a-1"] * 7, zones[3:])

    def test_an_object_with_small_bodies_is_not_warmed_up_nearer(self) -> None:
        core = deployment()
        warm_only_at(core, "t-2", "/times/x", b"7")
        zones = {place(core, "/times/x", b"7", 400) for _ in range(50)}
        self.assertEqual({"a-2"}, zones)

    def test_under_load_no_object_is_warmed_up_nearer(self) -> None:
        core = deployment()
        warm_only_at(core, "t-2", "/notes/x", b"7")
        for name, load in (("t-0", 2), ("t-1", 2), ("t-2", 3), ("t-3", 4)):
            target = core.targets.get(name)
            assert target is not None
            target.elsewhere = load
        zones = {place(core, "/notes/x", b"7", 2_000) for _ in range(60)}
        self.assertEqual({"a-2"}, zones)


class AccruedCostsTest(unittest.TestCase):
    """A warm copy pays off once the network cost has added up to its price."""

    def test_the_cost_accrues_until_it_is_paid_off(self) -> None:
        costs = AccruedCosts()
        self.assertFalse(costs.add("info", 7, 0.25, 0.5))
        self.assertTrue(costs.add("info", 7, 0.25, 0.5))
        costs.pay_off("info", 7)
        self.assertFalse(costs.add("info", 7, 0.25, 0.5))
        self.assertFalse(costs.add("info", 8, 0.25, 0.5))
