"""Tests of writing revisions of the policy."""

import json
import unittest

from briarspur.coord.errors import StoreUnavailableError, StoreUnclearError
from briarspur.coord.store import ABSENT
from briarspur.errors import DocumentError
from briarspur.policy import parse_policy
from briarspur.repository import PolicyRepository
from briarspur.revision import (
    HISTORY_PREFIX,
    POLICY_NAME,
    Draft,
    decode_revision,
    history_name,
)
from tests.examples import small_policy
from tests.fakes import FakeStore, skip_sleep


def draft(token: str) -> Draft:
    document = parse_policy(json.dumps(small_policy()))
    return Draft(document, token, "ana", f"note of {token}", "2026-01-01T00:00:00Z")


class AcceptTest(unittest.IsolatedAsyncioTestCase):
    """A revision takes effect once and only at the version that its author read."""

    def setUp(self) -> None:
        self.store = FakeStore()
        self.repository = PolicyRepository(self.store, skip_sleep)

    async def test_versions_increase_and_are_in_the_history(self) -> None:
        await self.repository.accept(draft("t1"), ABSENT)
        accepted = await self.repository.accept(draft("t2"), 1)
        self.assertGreater(accepted.ok.version, 1)
        versions = [accepted.ok.version, 1]
        self.assertEqual([r.version for r in await self.repository.history(10)], versions)
        self.assertEqual([r.token for r in await self.repository.history(1)], ["t2"])

    async def test_a_conflict_reports_the_revision_in_force(self) -> None:
        await self.repository.accept(draft("t1"), ABSENT)
        await self.repository.accept(draft("theirs"), 1)
        result = await self.repository.accept(draft("mine"), 1)
        self.assertEqual(result.error.current.token, "theirs")

    async def test_a_lost_response_is_not_reported_as_a_conflict(self) -> None:
        # The write takes effect but its response is lost. If a conflict were reported, the operator
        # would look for another operator's change that does not exist, or apply the change twice.
        await self.repository.accept(draft("t1"), ABSENT)
        self.store.lost_answers = 1
        accepted = await self.repository.accept(draft("t2"), 1)
        self.assertEqual(accepted.ok.token, "t2")
        self.assertEqual(len(self.store.objects[POLICY_NAME]), 2)

    async def test_a_stale_read_does_not_hide_our_own_write(self) -> None:
        # The response is lost and the next reads come from a replica that lags. Trusting them would
        # report that another operator's change is in force.
        await self.repository.accept(draft("t1"), ABSENT)

        def lag(name: str) -> None:
            if name == POLICY_NAME:
                self.store.lost_answers = 1
                self.store.stale_reads = 2

        self.store.after_write = lag
        accepted = await self.repository.accept(draft("t2"), 1)
        self.assertEqual(accepted.ok.token, "t2")

    async def test_our_write_is_found_after_later_writes(self) -> None:
        # Our write takes effect, its response is lost, and another operator changes the policy
        # before the outcome is checked. Our change is in the history and must count as accepted.
        await self.repository.accept(draft("t1"), ABSENT)
        other = PolicyRepository(self.store, skip_sleep)
        real_put = self.store.put

        async def put(name: str, value: bytes, expected_version: int) -> int:
            self.store.put = real_put  # type: ignore[method-assign]
            written = await real_put(name, value, expected_version)
            await other.accept(draft("theirs"), written)
            await other.accept(draft("theirs again"), written + 2)
            raise StoreUnclearError(name)

        real_complete = self.repository._complete_history

        async def complete(version: int) -> None:
            await real_complete(version)
            self.store.put = put  # type: ignore[method-assign]

        self.repository._complete_history = complete  # type: ignore[method-assign]
        accepted = await self.repository.accept(draft("t2"), 1)
        self.assertEqual(accepted.ok.token, "t2")
        history = await self.repository.history(10)
        self.assertEqual([r.token for r in history], ["theirs again", "theirs", "t2", "t1"])

    async def test_a_write_that_did_not_reach_the_store_is_repeated(self) -> None:
        self.store.lost_requests = 1
        accepted = await self.repository.accept(draft("t1"), ABSENT)
        self.assertEqual(accepted.ok.version, 1)

    async def test_an_unknown_outcome_and_an_unavailable_store_raise_different_errors(self) -> None:
        self.store.lost_requests = 100
        with self.assertRaises(StoreUnclearError):
            await self.repository.accept(draft("t1"), ABSENT)
        self.store.down = True
        with self.assertRaises(StoreUnavailableError):
            await self.repository.accept(draft("t1"), ABSENT)

    async def test_the_next_writer_stores_a_revision_missing_from_the_history(self) -> None:
        # The writer crashes after writing the policy and before writing the history. The revision
        # is in force; once another replaces it, nobody could roll back to it.
        value = json.dumps(
            {"token": "t1", "author": "ana", "note": "", "body": small_policy()}
        ).encode()
        await self.store.put(POLICY_NAME, value, ABSENT)
        self.assertNotIn(history_name(1), self.store.objects)
        await self.repository.accept(draft("t2"), 1)
        kept = self.store.objects[history_name(1)][-1]
        self.assertEqual(decode_revision(kept.value, 1).token, "t1")

    async def test_a_stale_read_does_not_skip_the_missing_revision(self) -> None:
        # As above, but the next writer reads the policy from a replica that lags.
        await self.repository.accept(draft("t1"), ABSENT)
        value = self.store.objects[POLICY_NAME][-1].value
        version = await self.store.put(POLICY_NAME, value, 1)
        self.store.stale_reads = 1
        await self.repository.accept(draft("t2"), version)
        self.assertIn(history_name(version), self.store.objects)

    async def test_the_newest_revisions_are_kept_and_older_ones_deleted(self) -> None:
        repository = PolicyRepository(self.store, skip_sleep, max_revisions=3)
        version = ABSENT
        for number in range(6):
            version = (await repository.accept(draft(f"t{number}"), version)).ok.version
        kept = [revision.token for revision in await repository.history(10)]
        self.assertEqual(kept, ["t5", "t4", "t3"])
        names = [name for name in self.store.objects if name.startswith(HISTORY_PREFIX)]
        self.assertEqual(len(names), 3)

    async def test_a_failed_deletion_never_loses_a_kept_revision(self) -> None:
        # The writer or the store fails while an old revision is deleted.
        repository = PolicyRepository(self.store, skip_sleep, max_revisions=2)
        first = (await repository.accept(draft("t0"), ABSENT)).ok.version
        second = (await repository.accept(draft("t1"), first)).ok.version
        delete = self.store.delete

        async def fail(name: str, expected_version: int) -> None:
            await delete(name, expected_version)
            raise StoreUnavailableError("down")

        self.store.delete = fail  # type: ignore[method-assign]
        third = (await repository.accept(draft("t2"), second)).ok.version
        self.store.delete = delete  # type: ignore[method-assign]
        fourth = (await repository.accept(draft("t3"), third)).ok.version
        kept = [revision.version for revision in await repository.history(10)]
        self.assertEqual(kept, [fourth, third])

    async def test_a_value_that_is_not_an_envelope_is_rejected(self) -> None:
        await self.store.put(POLICY_NAME, b"{}", ABSENT)
        with self.assertRaises(DocumentError):
            await self.repository.current()
