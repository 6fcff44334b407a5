"""Tests that the work of an entry per request and per change stays independent of its fleet."""

import random
import unittest
from unittest.mock import patch

from briarspur.coord.rendezvous import weight
from briarspur.gateway import preference
from briarspur.gateway import steering as steering_module
from briarspur.gateway.coldstart import cold_bucket
from briarspur.gateway.loadview import LoadView, News
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.preference import Preferences
from briarspur.gateway.target import Target
from briarspur.gateway.targettable import TargetTable
from briarspur.gateway.transit import TransitTimes
from tests.gateway.samples import ZONE_REGIONS, begun, registration, sent, steering

SERVERS = 100
MAX_INSERT_WEIGHTS = 16
"""Weights compared to insert one of 100 servers by bisection, twice over."""


class ColdServerTest(unittest.TestCase):
    """The entries that may send to a cold server are determined once."""

    def test_requests_do_not_rank_the_entries_again(self) -> None:
        """Guards against entries that rank the whole fleet for each cold server and request."""
        core = steering(targets=1)
        core.targets.registered(registration("cold", cold_s=100.0), 0.0)
        core.set_live_entries(["entry-1", *(f"other-{number}" for number in range(80))])
        with patch.object(steering_module, "cold_bucket", side_effect=cold_bucket) as ranked:
            for number in range(20):
                attempt = sent(core, begun(core, now=float(number)), float(number))
                core.attempt_ended(attempt, Outcome.ANSWERED, number + 0.1)
        self.assertEqual(1, ranked.call_count)


class ServerOrderTest(unittest.TestCase):
    """A change of servers costs few weights and gives the same order as sorting anew."""

    def test_a_change_in_another_service_keeps_an_objects_order(self) -> None:
        """Guards against orders of all services that are computed anew for each change."""
        core = steering(targets=SERVERS)
        sent(core, begun(core))
        core.targets.registered(registration("other", service="booking"), 0.0)
        with patch.object(preference, "weight", side_effect=weight) as weights:
            sent(core, begun(core))
        self.assertEqual(0, weights.call_count)

    def test_a_server_that_joins_or_leaves_costs_few_weights(self) -> None:
        """Guards against a choice that takes milliseconds for each object after each change."""
        core = steering(targets=SERVERS)
        sent(core, begun(core))
        core.targets.registered(registration("joined"), 0.0)
        core.targets.removed("t-7")
        with patch.object(preference, "weight", side_effect=weight) as weights:
            sent(core, begun(core))
        self.assertLessEqual(weights.call_count, MAX_INSERT_WEIGHTS)

    def test_the_order_after_changes_is_that_of_sorting_anew(self) -> None:
        rng = random.Random(3)
        zones = list(ZONE_REGIONS)
        kept = Preferences(TransitTimes("a-1", "a"))
        pool = [Target(registration(f"t-{n}", zone=rng.choice(zones)), "a", 0.0) for n in range(60)]
        for epoch in range(1, 60):
            targets = rng.sample(pool, rng.randrange(1, 60))
            if epoch % 2:
                targets = [*targets, rng.choice([t for t in pool if t not in targets])]
            fresh = Preferences(TransitTimes("a-1", "a"))
            for key in (1, 2):
                self.assertEqual(
                    fresh.ranked("info", key, targets, epoch),
                    kept.ranked("info", key, targets, epoch),
                )


class TargetListTest(unittest.TestCase):
    """The lists of targets by service follow each change at a cost that is linear in the list."""

    def test_a_first_list_of_servers_evaluates_each_of_them_once(self) -> None:
        """Guards against starts that take longer with the square of the number of servers."""
        table = TargetTable(ZONE_REGIONS)
        with patch.object(TargetTable, "_is_open", autospec=True, return_value=True) as checked:
            for number in range(SERVERS):
                table.registered(registration(f"t-{number}"), 0.0)
        self.assertLessEqual(checked.call_count, 2 * SERVERS)

    def test_lists_after_any_changes_are_those_of_the_open_targets(self) -> None:
        rng = random.Random(5)
        table = TargetTable(ZONE_REGIONS)
        for step in range(400):
            target_id = f"t-{rng.randrange(25)}"
            target = table.get(target_id)
            match rng.randrange(6):
                case 0:
                    table.removed(target_id)
                case 1 if target is not None:
                    table.record_leaving(target, "answer", 0.0)
                case 2 if target is not None:
                    table.misdirected(target)
                case 3:
                    table.evacuate(rng.sample(list(ZONE_REGIONS), rng.randrange(2)), 0.0)
                case _:
                    table.registered(
                        registration(
                            target_id,
                            born=rng.randrange(2),
                            service=rng.choice(["info", "booking"]),
                            zone=rng.choice(list(ZONE_REGIONS)),
                            draining=rng.random() < 0.2,
                        ),
                        0.0,
                    )
            known = [found for n in range(25) if (found := table.get(f"t-{n}")) is not None]
            for service in ("info", "booking"):
                expected = {
                    found
                    for found in known
                    if found.registration.service == service and table.accepts_work(found, 0.0)
                }
                listed = table.by_service.get(service, [])
                self.assertEqual(expected, set(listed), step)
                self.assertEqual(len(expected), len(listed), step)
                self.assertEqual(
                    {found for found in expected if found.region == "a"},
                    set(table.in_regions(service, frozenset({"a"}))),
                    step,
                )


class LoadNewsTest(unittest.TestCase):
    """News that repeat what is known change nothing."""

    def test_equal_counts_are_not_applied_again(self) -> None:
        """Guards against news whose cost grows with the servers in use."""
        target = Target(registration("t-1"), "a", 0.0)
        loads = LoadView({target.number: target})
        changes: list[tuple[int, int]] = []
        loads.on_unknown_number = lambda number, change: changes.append((number, change))
        for sequence, counts in enumerate(({1: 2, 5: 1}, {1: 2, 5: 1}, {1: 3}), start=1):
            loads.received(News("e-2", 1, sequence, False, {target.number: 4, **counts}), 0.0)
        self.assertEqual([(1, 2), (5, 1), (1, 1), (5, -1)], changes)
        self.assertEqual(4, target.elsewhere)
