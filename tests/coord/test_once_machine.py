"""A randomised run of three entries' key memories, their claims and a backend server's ledger.

Messages wait in a list; the machine delivers, drops, doubles and reorders them, kills and stops
entries, and turns the clocks. A key must never be in the ledger twice, and `not run` must be true.
"""

import asyncio
import itertools
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

from briarspur.coord.claims import ClaimOurs, ClaimOutcome, Claims, ClaimTaken
from briarspur.coord.invariants import invariants
from briarspur.coord.keys import Key, parse_key
from briarspur.coord.keystates import Fresh, KeptAnswer, KeyState, NotHome
from briarspur.coord.memorystore import HeldCall, MemoryStore, StoreFault
from briarspur.coord.once import KeyMemory
from briarspur.coord.outcomes import NeverRun, outcomes_of, page_name, read_outcome
from briarspur.coord.proofs import NotRun, NotRunProof

SEATS = 3
WALL = 1_000_000.0
LIFETIME = 60.0
DIGEST = b"order"
ANSWER = KeptAnswer(201, (), b"recorded")


@dataclass(frozen=True, slots=True)
class ToHome:
    """A request sent on to the home of its key."""

    incarnation: str
    key: Key


@dataclass(frozen=True, slots=True)
class ToBackend:
    """A dispatched request on its way to the backend server."""

    incarnation: str
    key: Key
    attempt_id: int


@dataclass(frozen=True, slots=True)
class FromBackend:
    """What the entry hears of an attempt."""

    incarnation: str
    key: Key
    attempt_id: int
    event: str


Message = ToHome | ToBackend | FromBackend


@dataclass(slots=True)
class Entry:
    """One process; ``queue`` holds the keys that it may dispatch."""

    incarnation: str
    memory: KeyMemory
    claims: Claims
    claiming: dict[Key, asyncio.Task[ClaimOutcome]] = field(default_factory=dict)
    queue: list[Key] = field(default_factory=list)


class OnceMachine(RuleBasedStateMachine):
    """Three entries, one store, one backend server."""

    def __init__(self) -> None:
        super().__init__()
        invariants.strict = True
        self.loop = asyncio.new_event_loop()
        self.store = MemoryStore()
        self.store.held = True
        self.now = 0.0
        self.wall = WALL
        self.numbers = itertools.count(1)
        self.undelivered: list[Message] = []
        self.ledger: Counter[str] = Counter()
        self.entries_by_incarnation: dict[str, Entry] = {}
        self.seats = [self.start_entry() for _ in range(SEATS)]
        self.keys = [Key(f"foreign-key-{n}") for n in range(2)]

    def teardown(self) -> None:
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.settle()
        self.loop.close()

    def settle(self) -> None:
        for _ in range(6):
            self.loop.run_until_complete(asyncio.sleep(0))

    def start_entry(self) -> Entry:
        incarnation = f"{next(self.numbers):016x}"
        tokens = (f"{incarnation}-{n}" for n in itertools.count())
        claims = Claims(self.store, incarnation, lambda: next(tokens), tries=2, pause=0.0)
        entry = Entry(incarnation, KeyMemory(incarnation, 2, LIFETIME, skew=2.0), claims)
        self.entries_by_incarnation[incarnation] = entry
        return entry

    # What callers and entries do

    @rule()
    def look_up(self) -> None:
        prefix = self.seats[len(self.keys) % SEATS].memory.prefix(self.now, self.wall)
        self.keys.append(parse_key(f"{prefix}.caller-{next(self.numbers):08d}").ok)

    @rule(seat=st.integers(0, SEATS - 1), recent=st.integers(0, 7))
    def request(self, seat: int, recent: int) -> None:
        self.arrive(self.seats[seat], self.keys[-1 - recent % len(self.keys)])

    def arrive(self, entry: Entry, key: Key) -> None:
        request_id = f"r{next(self.numbers)}"
        arrival = entry.memory.arrive(key, DIGEST, request_id, self.now, self.wall)
        if isinstance(arrival, NotHome):
            self.send_home(arrival.incarnation, key)
        elif arrival == Fresh(claimed=False) and key.is_foreign:
            entry.claiming[key] = self.loop.create_task(entry.claims.claim(key, DIGEST))
            self.settle()
        elif isinstance(arrival, Fresh):
            entry.queue.append(key)

    def send_home(self, incarnation: str, key: Key) -> None:
        if incarnation in self.entries_by_incarnation:
            self.undelivered.append(ToHome(incarnation, key))
            return
        page = self.store.peek(page_name(incarnation))
        if page is not None and isinstance(read_outcome(page.value, key), NeverRun):
            self.told_not_run(key)

    def told_not_run(self, key: Key) -> None:
        sent = any(isinstance(m, ToBackend) and m.key == key for m in self.undelivered)
        assert not self.ledger[key.text] and not sent, f"{key.text}: not run is untrue"

    @rule(
        seat=st.integers(0, SEATS - 1),
        recent=st.integers(0, 7),
        event=st.sampled_from(["answer", "shed"]),
        twice=st.booleans(),
    )
    def run_whole(self, seat: int, recent: int, event: str, twice: bool) -> None:
        """Carry one request through, so that long histories of a key come up often."""
        key = self.keys[-1 - recent % len(self.keys)]
        self.arrive(self.seats[seat], key)
        for _ in range(8):
            holder = next((entry for entry in self.seats if key in entry.queue), None)
            message = next((m for m in self.undelivered if m.key == key), None)
            if holder is not None:
                self.send(holder, key)
            elif message is not None:
                self.pass_on(message, twice and isinstance(message, FromBackend), event)
                event = "answer"
                twice = twice and not isinstance(message, FromBackend)
            elif self.store.held_calls:
                self.answer(self.store.held_calls[0], None)

    @precondition(lambda self: any(e.queue for e in self.seats))
    @rule(data=st.data(), is_sent=st.booleans())
    def dispatch(self, data: st.DataObject, is_sent: bool) -> None:
        entry = data.draw(st.sampled_from([e for e in self.seats if e.queue]))
        self.send(entry, entry.queue[0], is_sent)

    def send(self, entry: Entry, key: Key, is_sent: bool = True) -> None:
        entry.queue.remove(key)
        attempt_id = next(self.numbers)
        assert entry.memory.dispatched(key, attempt_id)
        if is_sent:
            self.undelivered.append(ToBackend(entry.incarnation, key, attempt_id))
        else:
            self.hear(FromBackend(entry.incarnation, key, attempt_id, "not sent"))

    # What the network and the backend server do

    @precondition(lambda self: self.undelivered)
    @rule(
        data=st.data(),
        twice=st.booleans(),
        event=st.sampled_from(["answer", "answer", "shed", "lost"]),
    )
    def deliver(self, data: st.DataObject, twice: bool, event: str) -> None:
        self.pass_on(data.draw(st.sampled_from(self.undelivered)), twice, event)

    def pass_on(self, message: Message, twice: bool, event: str) -> None:
        self.undelivered.remove(message)
        if isinstance(message, ToBackend):
            if event != "shed":
                self.ledger[message.key.text] += 1
            heard = FromBackend(message.incarnation, message.key, message.attempt_id, event)
            self.undelivered.append(heard)
            return
        if twice:
            self.undelivered.append(message)
        if isinstance(message, FromBackend):
            self.hear(message)
        elif message.incarnation in self.entries_by_incarnation:
            self.arrive(self.entries_by_incarnation[message.incarnation], message.key)

    def hear(self, message: FromBackend) -> None:
        entry = self.entries_by_incarnation.get(message.incarnation)
        if entry is None:
            return
        if message.event == "answer":
            entry.memory.finished(message.key, ANSWER, self.now)
        elif message.event == "lost":
            entry.memory.lost(message.key, self.now)
        else:
            self.hear_proof(entry, message)

    def hear_proof(self, entry: Entry, message: FromBackend) -> None:
        shed = message.event == "shed"
        build = NotRunProof.shed if shed else NotRunProof.not_sent
        proof = build(message.attempt_id)
        if shed and entry.memory.retry(message.key, proof):
            entry.queue.append(message.key)
        elif entry.memory.state(message.key) is not KeyState.DISPATCHED:
            return
        elif isinstance(entry.memory.not_run(message.key, proof), NotRun):
            self.told_not_run(message.key)

    # What the store does

    @precondition(lambda self: self.store.held_calls)
    @rule(data=st.data(), fault=st.sampled_from([None, None, *StoreFault]))
    def answer_call(self, data: st.DataObject, fault: StoreFault | None) -> None:
        self.answer(data.draw(st.sampled_from(self.store.held_calls)), fault)

    def answer(self, call: HeldCall, fault: StoreFault | None) -> None:
        call.release(fault)
        self.settle()
        for entry in self.seats:
            for key in [key for key, task in entry.claiming.items() if task.done()]:
                self.claim_settled(entry, key, entry.claiming.pop(key).result())

    def claim_settled(self, entry: Entry, key: Key, outcome: ClaimOutcome) -> None:
        if isinstance(outcome, ClaimOurs):
            entry.memory.claimed(key)
            entry.queue.append(key)
            return
        entry.memory.not_run(key)
        if isinstance(outcome, ClaimTaken) and outcome.incarnation != entry.incarnation:
            self.send_home(outcome.incarnation, key)

    # What becomes of entries and clocks

    @rule(
        fault=st.sampled_from(
            ["give up", "drop", "deadline", "expire", "step back", "kill", "stop"]
        ),
        n=st.integers(0, 5),
    )
    def fault(self, fault: str, n: int) -> None:
        entry = self.seats[n % SEATS]
        if fault == "give up" and entry.queue:
            self.give_up(entry)
        elif fault in ("drop", "deadline") and self.undelivered:
            self.lose(self.undelivered[n % len(self.undelivered)], fault == "drop")
        elif fault == "expire":
            self.now += LIFETIME + 3.0
            self.wall += LIFETIME + 3.0
        elif fault == "step back":
            self.wall -= LIFETIME + 3.0
        elif fault == "kill":
            self.kill(n % SEATS)
        elif fault == "stop":
            self.stop(n % SEATS)

    def give_up(self, entry: Entry) -> None:
        key = entry.queue.pop(0)
        if isinstance(entry.memory.not_run(key), NotRun):
            self.told_not_run(key)

    def lose(self, message: Message, dropped: bool) -> None:
        """Break a connection, or let the deadline pass while the request is on its way."""
        if dropped:
            self.undelivered.remove(message)
        if isinstance(message, ToBackend):
            self.hear(FromBackend(message.incarnation, message.key, message.attempt_id, "lost"))

    def kill(self, seat: int) -> None:
        del self.entries_by_incarnation[self.seats[seat].incarnation]
        self.seats[seat] = self.start_entry()

    def stop(self, seat: int) -> None:
        self.store.held = False
        for page in outcomes_of(self.seats[seat].memory):
            self.loop.run_until_complete(self.store.put(page.name, page.value, 0))
        self.store.held = True
        self.kill(seat)

    @invariant()
    def nothing_is_recorded_twice(self) -> None:
        assert not self.ledger or max(self.ledger.values()) == 1, self.ledger


OnceMachineTest = OnceMachine.TestCase
OnceMachineTest.settings = settings(
    derandomize=True, deadline=None, database=None, max_examples=400, stateful_step_count=50
)
