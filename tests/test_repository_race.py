"""Randomised tests of concurrent writers with lost responses, stale reads and refused calls."""

import asyncio
import json
import random
import unittest
from collections import Counter
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.coord.errors import StoreUnavailableError, StoreUnclearError
from briarspur.coord.memorystore import MemoryStore, StoreFault
from briarspur.coord.store import ABSENT
from briarspur.policy import parse_policy
from briarspur.repository import PolicyRepository
from briarspur.revision import POLICY_NAME, Draft, Revision, decode_revision, history_name
from tests.examples import small_policy
from tests.fakes import skip_sleep

DOCUMENT = parse_policy(json.dumps(small_policy(targets=1, entries=1)))
FAULTS = (*[None] * 12, *StoreFault, StoreFault.LOST_ANSWER)
WRITERS_PER_ROUND = 4
ROUND_COUNT = 6


@dataclass
class Outcomes:
    """Results returned to the writers, by the token of their draft."""

    accepted: dict[str, int] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    base_by_token: dict[str, int] = field(default_factory=dict)
    kinds: Counter[str] = field(default_factory=Counter)


async def edit(store: MemoryStore, token: str, outcomes: Outcomes) -> None:
    """Read the policy, write an edit of it and record the result."""
    repository = PolicyRepository(store, skip_sleep)
    draft = Draft(DOCUMENT, token, "", "", "")
    try:
        current = await repository.current()
        base = current.version if current else ABSENT
        outcomes.base_by_token[token] = base
        result = await repository.accept(draft, base)
    except StoreUnavailableError:
        outcomes.refused.add(token)
        outcomes.kinds["unavailable"] += 1
    except StoreUnclearError:
        outcomes.kinds["unclear"] += 1
    else:
        outcomes.kinds["accepted" if result.is_ok() else "raced"] += 1
        if result.is_ok():
            outcomes.accepted[token] = result.ok.version
        else:
            outcomes.refused.add(token)


async def race(seed: int) -> tuple[MemoryStore, Outcomes]:
    """Run concurrent writers; pick the order of their calls and the faults at random."""
    rng = random.Random(seed)
    store, outcomes = MemoryStore(), Outcomes()
    for round_ in range(ROUND_COUNT):
        store.hold_calls = True
        tokens = [f"{round_}-{number}" for number in range(WRITERS_PER_ROUND)]
        tasks = [asyncio.create_task(edit(store, token, outcomes)) for token in tokens]
        while not all(task.done() for task in tasks):
            await run_pending_tasks()
            store.stale_by = rng.choice((0, 0, 0, 1, 3))
            if store.held_calls:
                rng.choice(store.held_calls).release(rng.choice(FAULTS))
            if rng.random() < 0.01:
                rng.choice(tasks).cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        store.hold_calls, store.stale_by = False, 0
    # A last edit without faults completes the history after a crash.
    await edit(store, "last", outcomes)
    return store, outcomes


async def run_pending_tasks() -> None:
    for _ in range(20):
        await asyncio.sleep(0)


def chain(store: MemoryStore) -> list[Revision]:
    """Return every revision that was in force, the newest first."""
    found = store.peek(POLICY_NAME)
    revisions = []
    while found is not None:
        version = int(found.name.rsplit("/", 1)[-1]) if "/" in found.name else found.version
        revisions.append(decode_revision(found.value, version))
        found = store.peek(history_name(revisions[-1].previous))
    return revisions


class RaceTest(unittest.TestCase):
    """No accepted edit is lost, and no refused edit comes into force."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=60)
    @given(st.integers(0, 2**32))
    def test_operators_race_over_a_faulty_store(self, seed: int) -> None:
        # Operators apply edits at the same moments while answers are lost, reads lag and calls
        # are refused; some of their programs die in between.
        store, outcomes = asyncio.run(race(seed))
        revisions = chain(store)
        versions = {revision.token: revision.version for revision in revisions}
        self.assertEqual(revisions[-1].previous, ABSENT, "the history has a gap")
        self.assertEqual(len(versions), len(revisions), "an edit came into force twice")
        for token, version in outcomes.accepted.items():
            self.assertEqual(versions.get(token), version, f"accepted and lost: {token}")
        for token in outcomes.refused:
            self.assertNotIn(token, versions, f"refused, yet in force: {token}")
        for revision in revisions:
            base = outcomes.base_by_token[revision.token]
            self.assertEqual(revision.previous, base, "an edit replaced one it had not seen")
        self.assertIn("last", outcomes.accepted)

    def test_each_kind_of_result_occurs(self) -> None:
        kinds: Counter[str] = Counter()
        for seed in range(100):
            kinds += asyncio.run(race(seed))[1].kinds
        for kind in ("accepted", "raced", "unavailable", "unclear"):
            self.assertGreater(kinds[kind], 5, kinds)
