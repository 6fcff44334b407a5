"""Stateful test of the key memories of three entries, their claims and a backend's ledger.

Messages are queued in a list; the machine delivers, drops, duplicates and reorders them, kills and
stops entries, and changes the clocks. The ledger must never contain a key twice, and a key that is
reported as `not run` must not have run.
"""

import asyncio
import itertools
import math
from collections import Counter
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from briarspur.coord.claimhold import ClaimHold
from briarspur.coord.claims import ClaimAcquired, ClaimOutcome, Claims, ClaimTaken
from briarspur.coord.heldclaims import HeldClaims
from briarspur.coord.invariants import invariants
from briarspur.coord.keys import Key, parse_key
from briarspur.coord.keystates import Fresh, KeptAnswer, KeyState, NotHome
from briarspur.coord.memorystore import HeldCall, MemoryStore, StoreFault
from briarspur.coord.once import KeyMemory
from briarspur.coord.outcomes import NeverRun, close_and_export, page_name, read_outcome
from briarspur.coord.proofs import NotRun, NotRunProof

MAX_CALLS_TO_RESTORE = 6
ENTRY_COUNT = 3
WALL = 1_000_000.0
LIFETIME = 60.0
DIGEST = b"order"
ANSWER = KeptAnswer(201, (), b"recorded")


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request that is forwarded to the home of its key."""

    incarnation: str
    key: Key


@dataclass(frozen=True, slots=True)
class DispatchedRequest:
    """A dispatched request in transit to the backend server."""

    incarnation: str
    key: Key
    attempt_id: int


@dataclass(frozen=True, slots=True)
class AttemptEvent:
    """An event of an attempt, in transit to its entry."""

    incarnation: str
    key: Key
    attempt_id: int
    event: str


Message = ForwardedRequest | DispatchedRequest | AttemptEvent


@dataclass(slots=True)
class Entry:
    """One entry process; ``queue`` holds the keys that it may dispatch."""

    incarnation: str
    memory: KeyMemory
    claims: Claims
    hold: ClaimHold
    held: HeldClaims
    restoring: asyncio.Task[bool] | None = None
    pending_claims: dict[Key, asyncio.Task[ClaimOutcome]] = field(default_factory=dict)
    queue: list[Key] = field(default_factory=list)


class OnceMachine(RuleBasedStateMachine):
    """Three entries, one store, one backend server."""

    def __init__(self) -> None:
        super().__init__()
        invariants.strict = True
        self.loop = asyncio.new_event_loop()
        self.store = MemoryStore()
        self.store.hold_calls = True
        self.now = 0.0
        self.wall = WALL
        self.has_lost_holders = False
        self.numbers = itertools.count(1)
        self.undelivered: list[Message] = []
        self.ledger: Counter[str] = Counter()
        self.entries_by_incarnation: dict[str, Entry] = {}
        self.entries = [self.start_entry() for _ in range(ENTRY_COUNT)]
        self.keys = [Key(f"foreign-key-{n}") for n in range(2)]

    def teardown(self) -> None:
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run_loop()
        self.loop.close()

    def run_loop(self) -> None:
        for _ in range(6):
            self.loop.run_until_complete(asyncio.sleep(0))

    def start_entry(self) -> Entry:
        incarnation = f"{next(self.numbers):016x}"
        tokens = (f"{incarnation}-{n}" for n in itertools.count())
        # Callers of this machine repeat keys for ever, so a hold never ends by time.
        hold = ClaimHold(
            self.store, lambda: math.inf, 0, read_interval=lambda: 0.0, wall=lambda: self.wall
        )
        held = HeldClaims(self.store, lambda: math.inf, wall=lambda: self.wall)
        claims = Claims(
            self.store,
            incarnation,
            lambda: next(tokens),
            max_attempts=2,
            retry_delay=0.0,
            hold=hold,
            held=held,
        )
        memory = KeyMemory(incarnation, 2, LIFETIME, skew=2.0)
        entry = Entry(incarnation, memory, claims, hold, held)
        self.entries_by_incarnation[incarnation] = entry
        return entry

    # Actions of callers and entries

    @rule()
    def look_up(self) -> None:
        prefix = self.entries[len(self.keys) % ENTRY_COUNT].memory.issue_prefix(self.now, self.wall)
        self.keys.append(parse_key(f"{prefix}.caller-{next(self.numbers):08d}").ok)

    @rule(index=st.integers(0, ENTRY_COUNT - 1), recent=st.integers(0, 7))
    def request(self, index: int, recent: int) -> None:
        self.admit(self.entries[index], self.keys[-1 - recent % len(self.keys)])

    def admit(self, entry: Entry, key: Key) -> None:
        request_id = f"r{next(self.numbers)}"
        arrival = entry.memory.admit_request(key, DIGEST, request_id, self.now, self.wall)
        if isinstance(arrival, NotHome):
            self.send_home(arrival.incarnation, key)
        elif arrival == Fresh(claimed=False) and key.is_foreign:
            entry.pending_claims[key] = self.loop.create_task(entry.claims.claim(key, DIGEST))
            self.run_loop()
        elif isinstance(arrival, Fresh):
            entry.queue.append(key)

    def send_home(self, incarnation: str, key: Key) -> None:
        if incarnation in self.entries_by_incarnation:
            self.undelivered.append(ForwardedRequest(incarnation, key))
            return
        page = self.store.peek(page_name(incarnation))
        if page is not None and isinstance(read_outcome(page.value, key), NeverRun):
            self.check_not_run(key)

    def check_not_run(self, key: Key) -> None:
        sent = any(isinstance(m, DispatchedRequest) and m.key == key for m in self.undelivered)
        assert (
            not self.ledger[key.text] and not sent
        ), f"{key.text}: reported as not run, but was sent or ran"

    @rule(
        index=st.integers(0, ENTRY_COUNT - 1),
        recent=st.integers(0, 7),
        event=st.sampled_from(["answer", "shed"]),
        twice=st.booleans(),
    )
    def run_whole(self, index: int, recent: int, event: str, twice: bool) -> None:
        """Run one request to completion, so that long histories of a key occur often."""
        key = self.keys[-1 - recent % len(self.keys)]
        self.admit(self.entries[index], key)
        for _ in range(8):
            holder = next((entry for entry in self.entries if key in entry.queue), None)
            message = next((m for m in self.undelivered if m.key == key), None)
            if holder is not None:
                self.send(holder, key)
            elif message is not None:
                self.deliver_message(message, twice and isinstance(message, AttemptEvent), event)
                event = "answer"
                twice = twice and not isinstance(message, AttemptEvent)
            elif self.store.held_calls:
                self.release_call(self.store.held_calls[0], None)

    @precondition(lambda self: any(e.queue for e in self.entries))
    @rule(data=st.data(), is_sent=st.booleans())
    def dispatch(self, data: st.DataObject, is_sent: bool) -> None:
        entry = data.draw(st.sampled_from([e for e in self.entries if e.queue]))
        self.send(entry, entry.queue[0], is_sent)

    def send(self, entry: Entry, key: Key, is_sent: bool = True) -> None:
        entry.queue.remove(key)
        attempt_id = next(self.numbers)
        assert entry.memory.mark_dispatched(key, attempt_id)
        if is_sent:
            self.undelivered.append(DispatchedRequest(entry.incarnation, key, attempt_id))
        else:
            self.handle_event(AttemptEvent(entry.incarnation, key, attempt_id, "not sent"))

    # Actions of the network and the backend server

    @precondition(lambda self: self.undelivered)
    @rule(
        data=st.data(),
        twice=st.booleans(),
        event=st.sampled_from(["answer", "answer", "shed", "lost"]),
    )
    def deliver(self, data: st.DataObject, twice: bool, event: str) -> None:
        self.deliver_message(data.draw(st.sampled_from(self.undelivered)), twice, event)

    def deliver_message(self, message: Message, twice: bool, event: str) -> None:
        self.undelivered.remove(message)
        if isinstance(message, DispatchedRequest):
            if event != "shed":
                self.ledger[message.key.text] += 1
            event_message = AttemptEvent(
                message.incarnation, message.key, message.attempt_id, event
            )
            self.undelivered.append(event_message)
            return
        if twice:
            self.undelivered.append(message)
        if isinstance(message, AttemptEvent):
            self.handle_event(message)
        elif message.incarnation in self.entries_by_incarnation:
            self.admit(self.entries_by_incarnation[message.incarnation], message.key)

    def handle_event(self, message: AttemptEvent) -> None:
        entry = self.entries_by_incarnation.get(message.incarnation)
        if entry is None:
            return
        if message.event == "answer":
            entry.memory.mark_finished(message.key, ANSWER, self.now)
        elif message.event == "lost":
            entry.memory.mark_lost(message.key, self.now)
        else:
            self.handle_proof(entry, message)

    def handle_proof(self, entry: Entry, message: AttemptEvent) -> None:
        shed = message.event == "shed"
        build = NotRunProof.shed if shed else NotRunProof.not_sent
        proof = build(message.attempt_id)
        if shed and entry.memory.allow_retry(message.key, proof):
            entry.queue.append(message.key)
        elif entry.memory.state(message.key) is not KeyState.DISPATCHED:
            return
        elif isinstance(entry.memory.mark_not_run(message.key, proof), NotRun):
            self.check_not_run(message.key)

    # Actions of the store

    @precondition(lambda self: self.store.held_calls)
    @rule(data=st.data(), fault=st.sampled_from([None, None, *StoreFault]))
    def answer_call(self, data: st.DataObject, fault: StoreFault | None) -> None:
        self.release_call(data.draw(st.sampled_from(self.store.held_calls)), fault)

    def release_call(self, call: HeldCall, fault: StoreFault | None) -> None:
        call.release(fault)
        self.run_loop()
        for entry in self.entries:
            for key in [key for key, task in entry.pending_claims.items() if task.done()]:
                self.handle_claim(entry, key, entry.pending_claims.pop(key).result())

    def handle_claim(self, entry: Entry, key: Key, outcome: ClaimOutcome) -> None:
        if isinstance(outcome, ClaimAcquired):
            entry.memory.mark_claimed(key)
            entry.queue.append(key)
            return
        entry.memory.mark_not_run(key)
        if isinstance(outcome, ClaimTaken) and outcome.incarnation != entry.incarnation:
            self.send_home(outcome.incarnation, key)

    # A store that returns from an older copy

    @rule(lost=st.integers(1, 4))
    def return_store(self, lost: int) -> None:
        self.store.restore(lost)

    @precondition(lambda self: self.store.era)
    @rule(index=st.integers(0, ENTRY_COUNT - 1))
    def restore_claims(self, index: int) -> None:
        entry = self.entries[index]
        if entry.restoring is None or entry.restoring.done():
            entry.restoring = self.loop.create_task(entry.held.restore(entry.hold.era))
            self.run_loop()

    @precondition(lambda self: self.store.era and not self.has_lost_holders)
    @rule(index=st.integers(0, ENTRY_COUNT - 1))
    def give_out_claims(self, index: int) -> None:
        """End the hold, which requires that all entries have written their claims."""
        era = self.store.era
        if any(e.hold.era < era or e.held.restored_era < era for e in self.entries):
            return
        self.store.hold_calls = False
        self.loop.run_until_complete(self.entries[index].hold.reopen())
        self.store.hold_calls = True

    @rule(index=st.integers(0, ENTRY_COUNT - 1), lost=st.integers(1, 4), is_repaired=st.booleans())
    def return_and_repair(self, index: int, lost: int, is_repaired: bool) -> None:
        """Return the store and, at once, do all that follows, so that long histories occur."""
        self.store.restore(lost)
        if not is_repaired:
            return
        for number in range(ENTRY_COUNT):
            self.restore_claims(number)
            for _ in range(MAX_CALLS_TO_RESTORE):
                if self.store.held_calls:
                    self.release_call(self.store.held_calls[-1], None)
        if not self.has_lost_holders:
            self.give_out_claims(index)

    # Faults of entries and clocks

    @rule(
        fault=st.sampled_from(
            ["give up", "drop", "deadline", "expire", "step back", "kill", "stop"]
        ),
        n=st.integers(0, 5),
    )
    def fault(self, fault: str, n: int) -> None:
        entry = self.entries[n % ENTRY_COUNT]
        if fault == "give up" and entry.queue:
            self.give_up(entry)
        elif fault in ("drop", "deadline") and self.undelivered:
            self.lose_message(self.undelivered[n % len(self.undelivered)], fault == "drop")
        elif fault == "expire":
            self.now += LIFETIME + 3.0
            self.wall += LIFETIME + 3.0
        elif fault == "step back":
            self.wall -= LIFETIME + 3.0
        elif fault == "kill":
            self.kill(n % ENTRY_COUNT)
        elif fault == "stop":
            self.stop(n % ENTRY_COUNT)

    def give_up(self, entry: Entry) -> None:
        key = entry.queue.pop(0)
        if isinstance(entry.memory.mark_not_run(key), NotRun):
            self.check_not_run(key)

    def lose_message(self, message: Message, dropped: bool) -> None:
        """Break a connection, or let the deadline pass while the request is in transit."""
        if dropped:
            self.undelivered.remove(message)
        if isinstance(message, DispatchedRequest):
            self.handle_event(
                AttemptEvent(message.incarnation, message.key, message.attempt_id, "lost")
            )

    def kill(self, index: int) -> None:
        killed = self.entries[index]
        self.has_lost_holders |= killed.held.restored_era < self.store.era
        # The copies that the store returns from are younger.
        self.store.drop_history()
        del self.entries_by_incarnation[self.entries[index].incarnation]
        self.entries[index] = self.start_entry()

    def stop(self, index: int) -> None:
        self.store.hold_calls = False
        for page in close_and_export(self.entries[index].memory):
            self.loop.run_until_complete(self.store.put(page.name, page.value, 0))
        self.store.hold_calls = True
        self.kill(index)

    @invariant()
    def nothing_is_recorded_twice(self) -> None:
        assert not self.ledger or max(self.ledger.values()) == 1, self.ledger


OnceMachineTest = OnceMachine.TestCase
OnceMachineTest.settings = settings(
    derandomize=True, deadline=None, database=None, max_examples=400, stateful_step_count=50
)
