"""Tests of accepting revisions of the policy."""

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
    """A revision is accepted once, at the version its author saw, or not at all."""

    def setUp(self) -> None:
        self.store = FakeStore()
        self.repository = PolicyRepository(self.store, skip_sleep)

    async def test_versions_rise_and_are_kept(self) -> None:
        await self.repository.accept(draft("t1"), ABSENT)
        accepted = await self.repository.accept(draft("t2"), 1)
        self.assertGreater(accepted.ok.version, 1)
        versions = [accepted.ok.version, 1]
        self.assertEqual([r.version for r in await self.repository.history(10)], versions)
        self.assertEqual([r.token for r in await self.repository.history(1)], ["t2"])

    async def test_a_racing_operator_is_refused_and_shown_what_is_in_force(self) -> None:
        await self.repository.accept(draft("t1"), ABSENT)
        await self.repository.accept(draft("theirs"), 1)
        raced = await self.repository.accept(draft("mine"), 1)
        self.assertEqual(raced.error.current.token, "theirs")

    async def test_a_lost_answer_is_not_taken_for_a_conflict(self) -> None:
        # An operator applies a change; the store takes it and its answer is lost. Told
        # "conflict", the operator would look for a colleague who does not exist, or apply the
        # change twice.
        await self.repository.accept(draft("t1"), ABSENT)
        self.store.lost_answers = 1
        accepted = await self.repository.accept(draft("t2"), 1)
        self.assertEqual(accepted.ok.token, "t2")
        self.assertEqual(len(self.store.objects[POLICY_NAME]), 2)

    async def test_an_old_read_does_not_deny_our_own_write(self) -> None:
        # The answer is lost and the next reads come from a replica that lags. Believing them,
        # the operator would be told that somebody else's change is in force.
        await self.repository.accept(draft("t1"), ABSENT)

        def lag(name: str) -> None:
            if name == POLICY_NAME:
                self.store.lost_answers = 1
                self.store.stale_reads = 2

        self.store.after_write = lag
        accepted = await self.repository.accept(draft("t2"), 1)
        self.assertEqual(accepted.ok.token, "t2")

    async def test_our_write_is_found_although_another_followed_it(self) -> None:
        # Our write takes effect, its answer is lost, and a colleague changes the policy before
        # we ask. Our change was in force and is in the history: it must not be called refused.
        await self.repository.accept(draft("t1"), ABSENT)
        colleague = PolicyRepository(self.store, skip_sleep)
        ours = self.store.put

        async def put(name: str, value: bytes, expected_version: int) -> int:
            self.store.put = ours  # type: ignore[method-assign]
            written = await ours(name, value, expected_version)
            await colleague.accept(draft("theirs"), written)
            await colleague.accept(draft("theirs again"), written + 2)
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

    async def test_a_write_that_never_arrived_is_written_again(self) -> None:
        self.store.lost_requests = 1
        accepted = await self.repository.accept(draft("t1"), ABSENT)
        self.assertEqual(accepted.ok.version, 1)

    async def test_unsettled_and_unavailable_are_told_apart(self) -> None:
        self.store.lost_requests = 100
        with self.assertRaises(StoreUnclearError):
            await self.repository.accept(draft("t1"), ABSENT)
        self.store.down = True
        with self.assertRaises(StoreUnavailableError):
            await self.repository.accept(draft("t1"), ABSENT)

    async def test_a_crash_before_the_history_is_mended_by_the_next_revision(self) -> None:
        # An operator's program dies after the policy is written and before its history is. The
        # revision is in force; once another replaces it, nobody could roll back to it.
        value = json.dumps(
            {"token": "t1", "author": "ana", "note": "", "body": small_policy()}
        ).encode()
        await self.store.put(POLICY_NAME, value, ABSENT)
        self.assertNotIn(history_name(1), self.store.objects)
        await self.repository.accept(draft("t2"), 1)
        kept = self.store.objects[history_name(1)][-1]
        self.assertEqual(decode_revision(kept.value, 1).token, "t1")

    async def test_an_old_read_does_not_skip_the_mending(self) -> None:
        # As above, and the next author's read of the policy is served by a replica that lags.
        await self.repository.accept(draft("t1"), ABSENT)
        value = self.store.objects[POLICY_NAME][-1].value
        version = await self.store.put(POLICY_NAME, value, 1)
        self.store.stale_reads = 1
        await self.repository.accept(draft("t2"), version)
        self.assertIn(history_name(version), self.store.objects)

    async def test_the_newest_revisions_are_kept_and_older_ones_deleted(self) -> None:
        repository = PolicyRepository(self.store, skip_sleep, keep=3)
        version = ABSENT
        for number in range(6):
            version = (await repository.accept(draft(f"t{number}"), version)).ok.version
        kept = [revision.token for revision in await repository.history(10)]
        self.assertEqual(kept, ["t5", "t4", "t3"])
        names = [name for name in self.store.objects if name.startswith(HISTORY_PREFIX)]
        self.assertEqual(len(names), 3)

    async def test_a_failed_deletion_keeps_more_and_never_less(self) -> None:
        # The author's program dies, or the store does, while an old revision is deleted.
        repository = PolicyRepository(self.store, skip_sleep, keep=2)
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

    async def test_a_value_that_is_no_envelope_is_refused(self) -> None:
        await self.store.put(POLICY_NAME, b"{}", ABSENT)
        with self.assertRaises(DocumentError):
            await self.repository.current()
