"""Tests of how changes of the store's objects are applied."""

import math
import unittest
from collections.abc import Callable
from typing import Any

from briarspur.codes import Code
from briarspur.gateway.applier import ChangeApplier
from briarspur.gateway.availability import StoreAvailability
from briarspur.gateway.departures import REREGISTRATION_S
from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.fleet import Fleet
from briarspur.gateway.loadview import SeenEntry
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.replica import ChangeSource, Kind, StoredChange
from briarspur.gateway.work import Attempt, Bounds, Refused
from briarspur.platform.gateway import PlatformCodec
from tests.gateway.samples import arrival, begun, sent, steering


def entry_value() -> dict[str, Any]:
    record = EntryRecord("x", 1, "127.0.0.1", "a-1", "a", 80, 81, 82)
    return PlatformCodec().entry_value(record)


class ApplierTest(unittest.TestCase):
    """A malformed object does not affect any other."""

    def setUp(self) -> None:
        self.now = 0.0
        bounds = Bounds(retry_ratio=0.0, retry_slack=100.0)
        self.steering = steering(0, bounds=bounds)
        self.availability = StoreAvailability()
        self.fleet = Fleet(EntryRecord("me", 1, "127.0.0.1", "a-1", "a", 80, 81, 82))
        self.applier = ChangeApplier(
            self.steering,
            self.fleet,
            PlatformCodec(),
            lambda: self.now,
            self.availability,
            lambda: 0.7,
            lambda accepted: None,
        )

    def target(self, name: str, revision: int, **changes: Any) -> None:
        value = {
            "service": "info",
            "address": "127.0.0.1:80",
            "zone": "a-1",
            "slots": 4,
            "state": "ready",
            **changes,
        }
        self.applier.apply(Kind.TARGETS, [StoredChange(name, revision, value)], ChangeSource.WATCH)

    def test_a_malformed_registration_adds_no_target_and_removes_its_own(self) -> None:
        self.target("good", 1)
        self.target("bad", 2, state="resting")
        self.assertEqual(1, len(self.steering.targets))
        self.target("good", 3, slots="many")
        self.assertEqual(0, len(self.steering.targets))
        self.assertEqual(2, self.applier.malformed_objects)

    def test_an_older_or_malformed_configuration_is_not_applied(self) -> None:
        self.assertEqual(1, self.steering.version)
        for value in ({"version": 9}, {"version": 1, "resourceList": []}, "text"):
            self.applier.apply(
                Kind.CONFIGURATION, [StoredChange("main", 5, value)], ChangeSource.WATCH
            )
        self.assertEqual(1, self.steering.version)

    def test_a_malformed_part_does_not_prevent_the_use_of_other_parts(self) -> None:
        """Guard against a malformed route that makes the gateway reject the whole configuration.

        The operator added a route that the gateway couldn't decode beside one that it could. The
        whole version was rejected: callers of the good route got refusals for as long as the bad
        one was configured. Callers of the bad one must not get the answer that it doesn't exist.
        """
        good = {
            "host": "quay.example",
            "pathPrefix": "/fares/",
            "kind": "idempotent",
            "timeoutMs": 800,
            "service": "info",
        }
        parts = [
            {"entryKind": "routes", "metadata": {"name": "good"}, "spec": good},
            {"entryKind": "routes", "metadata": {"name": "bad"}, "spec": {**good, "host": 7}},
        ]
        value = {"version": 4, "resourceList": parts}
        with self.assertLogs(level="WARNING") as logged:
            self.applier.apply(
                Kind.CONFIGURATION, [StoredChange("main", 5, value)], ChangeSource.WATCH
            )
        self.assertIn("configuration-part-malformed", "".join(logged.output))
        self.assertEqual((4, 1), (self.steering.version, self.applier.malformed_parts))
        begun(self.steering, path="/fares/x")
        unknown = self.steering.begin(arrival(path="/bad/x"), 0.0)
        assert isinstance(unknown, Refused)
        self.assertIs(Code.NOT_READY, unknown.code)
        self.assertIsNotNone(unknown.retry_after)

    def test_a_configuration_without_a_usable_route_leaves_the_last_one_in_force(self) -> None:
        bad = {"entryKind": "routes", "metadata": {"name": "bad"}, "spec": {}}
        value = {"version": 4, "resourceList": [bad]}
        self.applier.apply(Kind.CONFIGURATION, [StoredChange("main", 5, value)], ChangeSource.WATCH)
        self.assertEqual((1, 1), (self.steering.version, self.applier.malformed_objects))

    def test_the_own_record_starts_the_use_of_the_retry_slack(self) -> None:
        budgets = self.steering.retry_budgets
        budgets.recorded_at = math.inf
        for at, name in ((1.0, "other"), (2.0, "me"), (3.0, "me")):
            self.now = at
            change = StoredChange(name, 1, entry_value())
            self.applier.apply(Kind.ENTRIES, [change], ChangeSource.WATCH)
        self.assertEqual(2.0, budgets.recorded_at)

    def test_the_retry_budget_is_divided_by_all_recorded_entries(self) -> None:
        """Guard against too many retries when a third of the fleet is stopped one after another.

        Each entry divided the retry budget by the number of entries from which it received news.
        Entries that were leaving still sent retries, so that the fleet, while all servers rejected
        half of the requests, sent more than the service can handle.
        """
        for number in range(24):
            value = entry_value()
            self.applier.apply(
                Kind.ENTRIES, [StoredChange(f"e-{number}", 1, value)], ChangeSource.WATCH
            )
        self.fleet.record_seen(SeenEntry("e-1", 1, False, 0.0), 0.0)
        self.steering.set_live_entries(self.fleet.entry_ids(0.0))
        for number in range(9):
            self.target(f"t-{number}", 1)
        retried = 0
        for number in range(50):
            work = begun(self.steering, key=b"%d" % number)
            self.steering.attempt_ended(sent(self.steering, work), Outcome.REJECTED, 0.0)
            again = self.steering.retry(work, Outcome.REJECTED, 0.0)
            if isinstance(again, Attempt):
                retried += 1
                self.steering.attempt_ended(again, Outcome.ANSWERED, 0.0)
        self.assertLessEqual(retried, 100 // 25)
        self.assertGreater(retried, 0)

    def logged_departures(self, act: Callable[[], None]) -> list[tuple[str, str, str]]:
        """Return target, source and age of the departures that are logged by a function."""
        with self.assertLogs(level="INFO") as logged:
            act()
        return [
            (line.target, line.way, line.age_s)  # type: ignore[attr-defined]
            for line in logged.records
            if line.msg == "target-departed"
        ]

    def test_a_departure_is_logged_with_its_source_and_age(self) -> None:
        """Guard against late departures whose logs don't show which step was late."""
        for name in ("drains", "ends", "stays"):
            self.target(name, 1)
        self.assertEqual(
            [("drains", "watch", "0.700")],
            self.logged_departures(lambda: self.target("drains", 2, state="draining")),
        )
        gone = [StoredChange("ends", 3, None), StoredChange("drains", 4, None)]
        self.assertEqual(
            [("ends", "pull", "0.700")],
            self.logged_departures(
                lambda: self.applier.apply(Kind.TARGETS, gone, ChangeSource.PULL)
            ),
        )
        self.assertEqual(1, sum(self.applier.departure_ages["pull"].counts))

    def test_the_age_of_a_held_departure_includes_the_hold(self) -> None:
        self.target("ends", 1)
        self.availability.answered(1.0, 1.0)
        for tick in range(40):
            self.availability.tick(1.0 + tick * 0.25)
        self.now = 10.0
        self.availability.answered(self.now, self.now)
        gone = [StoredChange("ends", 3, None)]
        self.assertEqual(
            [],
            self.logged_departures(
                lambda: self.applier.apply(Kind.TARGETS, gone, ChangeSource.WATCH)
            ),
        )
        self.now += REREGISTRATION_S
        self.assertEqual([("ends", "hold", "2.900")], self.logged_departures(self.applier.tick))
