"""Several cores connected by a list of undelivered messages, with in-memory backend servers.

Drives the randomised tests: messages are delivered, lost or delayed in any order; backend servers
run, shed or lose requests; entries are killed, replaced and learn late of each other. It records
which bookings ran and how calls ended, so that tests can check the guarantees.
"""

import hashlib
import json
import random
from collections import Counter
from dataclasses import dataclass, field, replace

from briarspur.blocks import BlockTable
from briarspur.codes import CODES, Code, Ran
from briarspur.coord.keys import make_prefix
from briarspur.core import Core
from briarspur.members import MemberView
from briarspur.messages import (
    Abort,
    Action,
    Begin,
    Cancel,
    Claim,
    ClaimResult,
    Dispatch,
    Failure,
    FetchOutcome,
    Forward,
    Refuse,
    Reply,
    Request,
    SettledClaim,
)
from briarspur.policy import Policy, compile_policy, parse_policy
from briarspur.refusal import Answer
from tests.coredriver import make_incarnation, make_view
from tests.examples import small_policy

__all__ = ["World"]

WALL = 1_800_000_000.0
ENTRIES = 2
REGIONS = ("north", "south")


@dataclass(slots=True)
class Hop:
    """A request on its way to an entry, sent by a caller or another entry."""

    request: Request
    to: str
    sender: str | None = None
    attempt_id: int = 0
    relays_refusals: bool = False
    sender_incarnation: str = ""


@dataclass(slots=True)
class Run:
    """A request dispatched to a backend server."""

    entry: str
    incarnation: str
    attempt_id: int
    target: str
    region: str
    key: str | None
    request_id: str
    recorded: bool = False


@dataclass(slots=True)
class World:
    """Entries, backend servers, callers and the messages between them."""

    rng: random.Random
    now: float = 0.0
    cores: dict[str, Core] = field(default_factory=dict)
    hops: list[Hop] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    ledger: Counter[str] = field(default_factory=Counter)
    hop_by_request: dict[tuple[str, str], Hop] = field(default_factory=dict)
    final_codes: dict[str, Code] = field(default_factory=dict)
    open_calls: dict[str, str] = field(default_factory=dict)
    key_by_call: dict[str, str] = field(default_factory=dict)
    claim_holders: dict[str, str] = field(default_factory=dict)
    pending_claims: list[tuple[str, str, Claim]] = field(default_factory=list)
    policy: Policy | None = None
    process_count: int = 0
    call_count: int = 0
    step_counts: Counter[str] = field(default_factory=Counter)

    def start(self) -> None:
        """Start all entries with the same policy and view."""
        document = parse_policy(json.dumps(small_policy(entries=ENTRIES)))
        self.policy = compile_policy(document, version=1)
        for entry_id in document.entries:
            self.start_entry(entry_id)
        self.update_views()

    def start_entry(self, entry_id: str) -> None:
        """Start a new process of an entry, which has no state of the previous one."""
        assert self.policy is not None
        self.process_count += 1
        region = REGIONS[(int(entry_id[-1]) - 1) // ENTRIES]
        core = Core(entry_id, region, make_incarnation(self.process_count), self.rng, self.now)
        table = BlockTable.from_prefixes(self.policy.default_home, self.policy.homes_by_prefix)
        core.policy_accepted(self.policy, table.home, self.now)
        self.cores[entry_id] = core

    def actual_view(self) -> MemberView:
        """Return the view that contains every live process."""
        full = make_view(ENTRIES, REGIONS).by_id
        return MemberView(
            {
                entry_id: replace(full[entry_id], incarnation=core.keys.incarnation)
                for entry_id, core in self.cores.items()
            }
        )

    def update_views(self, only: str | None = None) -> None:
        """Give all entries, or one of them, the current view."""
        view = self.actual_view()
        for entry_id, core in list(self.cores.items()):
            if only in (None, entry_id):
                self.carry_out(entry_id, core.view_changed(view, self.now))

    def kill(self, entry_id: str) -> None:
        """Kill a process; requests that it dispatched to backend servers continue there."""
        self.step_counts["kill"] += 1
        del self.cores[entry_id]
        for hop in [h for h in self.hop_by_request.values() if h.to == entry_id]:
            self._lose_hop(hop, Failure.LOST)

    # Callers

    def call(self, entry_id: str, key: str | None, number: int, block: int = 1) -> str:
        """Send a request from a caller to an entry."""
        self.call_count += 1
        call = f"c{self.call_count}"
        method, path = ("POST", f"/booking/{key}") if key else ("GET", f"/times/{number}")
        digest = hashlib.sha256(f"{method} {path}".encode()).digest()
        request = Request(call, method, path, key, digest, block, self.now + 60.0)
        self.open_calls[call] = entry_id
        if key:
            self.key_by_call[call] = key
        self.hops.append(Hop(request, entry_id))
        return call

    def new_key(self, entry_id: str) -> str | None:
        """Return a key as issued by a look-up that lists this entry first."""
        core = self.cores.get(entry_id)
        if core is None:
            return None
        prefix = make_prefix(core.keys.incarnation, int(WALL + self.now) + 200)
        return f"{prefix}.call-{self.call_count:08d}"

    def _record_final(self, call: str, code: Code) -> None:
        assert (
            call not in self.final_codes
        ), f"{call} answered twice: {self.final_codes[call]!r}, {code!r}"
        self.final_codes[call] = code
        self.open_calls.pop(call, None)
        key = self.key_by_call.get(call)
        if key is not None and CODES[code].ran is Ran.NO:
            running = [r for r in self.runs if r.key == key and not r.recorded]
            assert not self.ledger[key] and not running, f"{code!r} but {key} ran or runs"

    # Messages

    def deliver(self, index: int) -> None:
        """Deliver one message; its receiver may have been killed or replaced."""
        hop = self.hops.pop(index % len(self.hops))
        core = self.cores.get(hop.to)
        if core is None:
            self._lose_hop(hop, Failure.NOT_SENT)
            return
        self.step_counts["deliver"] += 1
        self.hop_by_request[hop.to, hop.request.request_id] = hop
        self.carry_out(hop.to, core.request_arrived(hop.request, self.now, WALL + self.now))

    def drop(self, index: int) -> None:
        """Lose a message or the connection that it was sent on."""
        self.step_counts["drop"] += 1
        self._lose_hop(self.hops.pop(index % len(self.hops)), Failure.LOST)

    def _lose_hop(self, hop: Hop, failure: Failure) -> None:
        self.hop_by_request.pop((hop.to, hop.request.request_id), None)
        if hop.sender is None:
            # The caller's connection breaks, from which it may conclude nothing.
            self.open_calls.pop(hop.request.request_id, None)
            return
        self._report_failure(hop, failure)

    def _report_failure(self, hop: Hop, failure: Failure) -> None:
        core = self.cores.get(hop.sender or "")
        if core is not None and core.keys.incarnation == hop.sender_incarnation:
            self.carry_out(core.entry_id, core.attempt_failed(hop.attempt_id, failure, self.now))

    # Backend servers

    def finish_run(self, index: int, outcome: str) -> None:
        """Finish a run: ``answer``, ``shed``, ``lost``, ``lost-after`` (it ran) or ``crash``."""
        run = self.runs[index % len(self.runs)]
        self.step_counts[f"run-{outcome}"] += 1
        ran = outcome in ("answer", "lost-after")
        if ran and run.key is not None and not run.recorded:
            self.ledger[run.key] += 1
        run.recorded = run.recorded or ran
        self.runs.remove(run)
        core = self.cores.get(run.entry)
        if core is None or core.keys.incarnation != run.incarnation:
            return
        if outcome == "answer":
            self.carry_out(run.entry, core.answer_began(run.attempt_id, 200, self.now))
            answer = Answer(200, (), b"done") if run.key else None
            self.carry_out(run.entry, core.answer_ended(run.attempt_id, answer, 4, self.now))
            return
        failure = Failure.SHED if outcome == "shed" else Failure.LOST
        crashed = outcome == "crash"
        actions = core.attempt_failed(run.attempt_id, failure, self.now, crashed=crashed)
        self.carry_out(run.entry, actions)

    # Actions

    def carry_out(self, entry_id: str, actions: list[Action]) -> None:
        """Carry out the actions of a core."""
        for action in actions:
            self._carry_out(entry_id, action)

    def _carry_out(self, entry_id: str, action: Action) -> None:
        core = self.cores[entry_id]
        match action:
            case Dispatch():
                self._dispatch(core, action)
            case Forward():
                self._forward(core, action)
            case Refuse() | Abort():
                self._answer_hop(entry_id, action.request_id, action.refusal.code, None)
            case Reply():
                self._answer_hop(entry_id, action.request_id, action.code, action.answer)
            case Begin():
                self._answer_hop(
                    entry_id, action.request_id, Code.ANSWERED, Answer(200, (), b"done")
                )
            case Claim():
                self.pending_claims.append((entry_id, core.keys.incarnation, action))
            case FetchOutcome():
                done = core.outcome_fetched(action.request_id, False, None, self.now)
                self.carry_out(entry_id, done)
            case Cancel():
                self.runs = [r for r in self.runs if not self._is_run(r, core, action.attempt_id)]

    @staticmethod
    def _is_run(run: Run, core: Core, attempt_id: int) -> bool:
        return run.incarnation == core.keys.incarnation and run.attempt_id == attempt_id

    def _dispatch(self, core: Core, action: Dispatch) -> None:
        hop = self.hop_by_request.get((core.entry_id, action.request_id))
        key = hop.request.key if hop else self.key_by_call.get(action.request_id)
        self.runs.append(
            Run(
                core.entry_id,
                core.keys.incarnation,
                action.attempt_id,
                action.target.target_id,
                action.region,
                key,
                action.request_id,
            )
        )

    def _forward(self, core: Core, action: Forward) -> None:
        hop = self.hop_by_request[core.entry_id, action.request_id]
        request = replace(
            hop.request,
            request_id=f"{core.entry_id}-{core.keys.incarnation[-4:]}-{action.attempt_id}",
            forwarded_by=core.entry_id,
            dispatch_only=action.dispatch_only,
            deadline=action.deadline,
        )
        self.hops.append(
            Hop(
                request,
                action.entry.entry_id,
                core.entry_id,
                action.attempt_id,
                action.relay_refusals,
                core.keys.incarnation,
            )
        )

    def settle_claim(self, index: int, reaches_store: bool) -> None:
        """Settle a claim, which reaches the store or not; an existing claim counts as taken."""
        entry_id, incarnation, claim = self.pending_claims.pop(index % len(self.pending_claims))
        settled = SettledClaim(ClaimResult.UNSETTLED)
        if reaches_store:
            holder = self.claim_holders.get(claim.key)
            self.claim_holders.setdefault(claim.key, incarnation)
            result = ClaimResult.ACQUIRED if holder is None else ClaimResult.TAKEN
            settled = SettledClaim(result, holder)
        core = self.cores.get(entry_id)
        if core is not None and core.keys.incarnation == incarnation:
            self.carry_out(entry_id, core.claim_settled(claim.request_id, settled, self.now))

    def hang_up(self, index: int) -> None:
        """Disconnect a caller whose request is at an entry."""
        calls = sorted(self.open_calls)
        call = calls[index % len(calls)]
        hop = self.hop_by_request.pop((self.open_calls[call], call), None)
        core = self.cores.get(self.open_calls[call])
        if hop is not None and core is not None:
            del self.open_calls[call]
            self.step_counts["hang-up"] += 1
            self.carry_out(core.entry_id, core.caller_gone(call, self.now))

    def _answer_hop(
        self, entry_id: str, request_id: str, code: Code, answer: Answer | None
    ) -> None:
        hop = self.hop_by_request.pop((entry_id, request_id), None)
        if hop is None:
            return
        if hop.sender is None:
            self._record_final(request_id, code)
            return
        core = self.cores.get(hop.sender)
        if core is None or core.keys.incarnation != hop.sender_incarnation:
            return
        if answer is not None or hop.relays_refusals:
            self._relay(core, hop, code, answer)
            return
        ran = CODES[code].ran
        failure = Failure.SHED if ran is Ran.NO else Failure.LOST
        self.carry_out(core.entry_id, core.attempt_failed(hop.attempt_id, failure, self.now))

    def _relay(self, core: Core, hop: Hop, code: Code, answer: Answer | None) -> None:
        """Relay an answer, or the refusal of a key's home, to the caller of the first entry."""
        began = core.answer_began(hop.attempt_id, 200, self.now)
        for action in began:
            if isinstance(action, Begin):
                relayed = answer or Answer(503, (), b"")
                self._answer_hop(core.entry_id, action.request_id, code, relayed)
        done = core.answer_ended(hop.attempt_id, answer, 4, self.now)
        self.carry_out(core.entry_id, done)

    # Time

    def advance(self, seconds: float) -> None:
        """Advance the clock and tick every live core."""
        self.now += seconds
        for entry_id, core in list(self.cores.items()):
            self.carry_out(entry_id, core.tick(self.now, WALL + self.now))

    def in_flight(self, region: str) -> int:
        """Return the number of requests that run for live processes in a region."""
        return sum(
            1
            for run in self.runs
            if run.region == region
            and run.entry in self.cores
            and self.cores[run.entry].keys.incarnation == run.incarnation
        )
