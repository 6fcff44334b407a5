"""Tests of the operators' commands."""

import copy
import json
import unittest
from typing import Any

from briarspur import porcelain
from briarspur.coord.store import ABSENT
from briarspur.errors import PeerError, PeerRefusalError
from briarspur.fetch import Endpoint
from briarspur.policy import PolicyDocument, TargetState, parse_policy
from briarspur.porcelain import Refused, Signature
from briarspur.repository import PolicyRepository
from tests.examples import small_policy
from tests.fakes import FakeStore, skip_sleep


def sign(token: str) -> Signature:
    return Signature(token, "ana", "", "2026-01-01T00:00:00Z")


def parsed(document: dict[str, Any]) -> PolicyDocument:
    return parse_policy(json.dumps(document))


class FakeEntries:
    """Entries that answer from ``answers``; an entry without an answer is unreachable."""

    def __init__(self, names: list[str]) -> None:
        self.names = names
        self.answers: dict[str, Any] = {}
        self.refusals: dict[str, dict[str, object]] = {}
        self.paths: list[str] = []

    async def endpoints(self) -> list[Endpoint]:
        return [Endpoint(name, "127.0.0.1", 1) for name in self.names]

    async def get_json(self, endpoint: Endpoint, path: str) -> Any:
        self.paths.append(path)
        if endpoint.name in self.refusals:
            raise PeerRefusalError(endpoint.name, 503, self.refusals[endpoint.name])
        if endpoint.name not in self.answers:
            raise PeerError(f"{endpoint.name}: refused")
        return self.answers[endpoint.name]

    def set(self, name: str, version: int, in_flight: int) -> None:
        drains = [{"target_id": "times-north-1", "in_flight": in_flight}]
        answer = {"entry_id": name, "zone": "north-a", "policy_version": version, "drains": drains}
        self.answers[name] = answer


class ChangeCommandsTest(unittest.IsolatedAsyncioTestCase):
    """check, diff, apply, rollback, drain."""

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.repository = PolicyRepository(self.store, skip_sleep)
        self.first = parsed(small_policy())
        accepted = await porcelain.apply(self.repository, self.first, ABSENT, sign("t1"))
        self.version = accepted.ok.revision.version

    async def edited(self, **objective: int) -> PolicyDocument:
        document = copy.deepcopy(small_policy())
        for name, latency in objective.items():
            document["services"][name]["objective"] = {"latency_ms": latency}
        return parsed(document)

    def test_check_reports_every_fault(self) -> None:
        self.assertIsNone(porcelain.check("{}").document)
        self.assertGreater(len(porcelain.check("{}").faults), 3)

    async def test_diff_writes_nothing(self) -> None:
        writes = self.store.writes
        report = await porcelain.diff(self.repository, await self.edited(times=400))
        self.assertEqual([c.name for c in report.changes], ["services.times.objective.latency_ms"])
        self.assertEqual((self.store.writes, report.version), (writes, self.version))

    async def test_a_conflict_shows_both_edits(self) -> None:
        # Two operators edit the same objective of version 1. The second one to apply must see both
        # edits, and the first edit must stay in force.
        mine, theirs = await self.edited(times=400), await self.edited(times=300, booking=450)
        await porcelain.apply(self.repository, theirs, self.version, sign("theirs"))
        conflict = (await porcelain.apply(self.repository, mine, self.version, sign("mine"))).error
        [changed] = conflict.comparison.conflicts
        self.assertEqual((changed.mine.after, changed.theirs.after), (400, 300))
        self.assertEqual(len(conflict.comparison.theirs), 2)
        current = await self.repository.current()
        self.assertEqual(current and current.token, "theirs")

    async def test_a_rollback_creates_a_higher_version(self) -> None:
        changed = await porcelain.apply(
            self.repository, await self.edited(times=400), self.version, sign("t2")
        )
        version = changed.ok.revision.version
        back = await porcelain.rollback(self.repository, self.version, version, sign("t3"))
        self.assertGreater(back.ok.revision.version, version)
        self.assertEqual(back.ok.revision.document, self.first)
        missing = await porcelain.rollback(self.repository, 999, version, sign("t4"))
        self.assertIsInstance(missing.error, Refused)

    async def test_a_drain_keeps_a_concurrent_edit(self) -> None:
        other = await self.edited(times=400)
        original_current = self.repository.current
        edited_concurrently = False

        async def current() -> Any:
            nonlocal edited_concurrently
            found = await original_current()
            if not edited_concurrently:
                edited_concurrently = True
                await porcelain.apply(self.repository, other, self.version, sign("other"))
            return found

        self.repository.current = current  # type: ignore[method-assign]
        drained = await porcelain.set_target_state(
            self.repository, "times-north-1", TargetState.LEAVING, sign("drain")
        )
        document = drained.ok.revision.document
        self.assertIs(document.targets["times-north-1"].state, TargetState.LEAVING)
        self.assertEqual(document.services["times"].objective.latency_ms, 400)

    async def test_a_drain_of_an_unknown_target_is_refused(self) -> None:
        refused = await porcelain.set_target_state(
            self.repository, "nobody", TargetState.LEAVING, sign("t")
        )
        self.assertIn("nobody", refused.error.reason)


class EntryCommandsTest(unittest.IsolatedAsyncioTestCase):
    """status, drain --wait and lookup."""

    async def test_a_drain_is_done_only_when_every_entry_has_it_in_force(self) -> None:
        # An operator switches the server off when the drain is reported done. An entry with the old
        # policy, or one that does not answer, may still have requests in flight there.
        entries = FakeEntries(["e1", "e2", "e3"])
        entries.set("e1", version=5, in_flight=2)
        entries.set("e2", version=4, in_flight=0)
        seen = []

        async def step(_: float) -> None:
            entries.set("e1", version=5, in_flight=0)
            if len(seen) == 2:
                entries.set("e2", version=5, in_flight=0)
            if len(seen) == 3:
                entries.set("e3", version=5, in_flight=0)

        async for progress in porcelain.drain_progress(
            "times-north-1", 5, entries, entries, step, 1.0
        ):
            seen.append((progress.in_flight, sorted(progress.waiting_for), progress.done))
        expected = [
            (2, ["e2", "e3"], False),
            (0, ["e2", "e3"], False),
            (0, ["e3"], False),
            (0, [], True),
        ]
        self.assertEqual(seen, expected)

    async def test_status_lists_entries_that_do_not_answer(self) -> None:
        entries = FakeEntries(["e1", "e2"])
        entries.set("e1", version=0, in_flight=0)
        entries.answers["e2"] = {"entry_id": "e2"}
        fleet = await porcelain.status(PolicyRepository(FakeStore(), skip_sleep), entries, entries)
        self.assertEqual(list(fleet.unreachable_by_id), ["e2"])

    async def test_a_final_refusal_ends_a_lookup(self) -> None:
        entries = FakeEntries(["e1", "e2"])
        entries.refusals["e1"] = {"code": 2107, "name": "NOT_READY"}
        entries.refusals["e2"] = {"code": 2001, "name": "UNKNOWN_SERVICE"}
        repository = PolicyRepository(FakeStore(), skip_sleep)
        report = await porcelain.lookup(repository, entries, entries, "nowhere", None)
        self.assertEqual((report.asked, report.refused), ("e2", True))
        self.assertEqual(list(report.not_answering), ["e1"])

    async def test_a_lookup_asks_the_next_entry_if_one_does_not_answer(self) -> None:
        entries = FakeEntries(["e1", "e2"])
        repository = PolicyRepository(FakeStore(), skip_sleep)
        await porcelain.apply(repository, parsed(small_policy()), ABSENT, sign("t1"))
        with self.assertRaises(PeerError):
            await porcelain.lookup(repository, entries, entries, "times", None)
        entries.answers["e2"] = {"entries": [{"id": "entry-3"}], "home": "north"}
        report = await porcelain.lookup(repository, entries, entries, "times", "10.0.0.1")
        self.assertIn("region north was passed over", report.reasons[-1])
        self.assertEqual((report.asked, list(report.not_answering)), ("e2", ["e1"]))
        self.assertEqual(entries.paths[-1], "/v1/lookup?service=times&block=10.0.0.1")
