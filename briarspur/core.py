"""The decision core of an entry: events in, actions out, without I/O, clock or chance of its own.

A request passes the filters in this order: classify, deduplicate, quarantine, choose region, place
(admit and choose target), send. What comes back decides between the whole answer, another attempt
and a final refusal.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from briarspur.classify import Classifier
from briarspur.codes import Code
from briarspur.coord.escrow import Account
from briarspur.coord.invariants import invariants
from briarspur.coord.once import KeptAnswer, KeyMemory, NotRunProof
from briarspur.coord.quarantine import Admission, Quarantine
from briarspur.dedupe import (
    AskStore,
    ClaimKey,
    Deduplicator,
    Final,
    Known,
    Run,
    ToHome,
    WaitForOutcome,
)
from briarspur.exchange import Exchange
from briarspur.finals import Finals
from briarspur.inflight import InFlight
from briarspur.members import MemberView, ViewedMember
from briarspur.messages import (
    Action,
    Answer,
    Begin,
    Cancel,
    Claim,
    ClaimResult,
    Failure,
    FetchOutcome,
    Kind,
    Refusal,
    Refuse,
    Reply,
    Request,
)
from briarspur.ownership import OwnerSlots, SlotRule
from briarspur.placement import Placement, Queued, Refused, ToEntry, ToTarget
from briarspur.policy import Policy
from briarspur.region import Splits
from briarspur.routing import Routing
from briarspur.target import Chooser, LeastInFlight, OwnTarget
from briarspur.work import Attempt, Classified, Work

__all__ = ["Core", "CoreSettings"]

MAX_TRIES = 3
"""Attempts for one request, the first one included."""

REPEATABLE = frozenset({Failure.NOT_SENT, Failure.SHED})
"""Failures that prove that the attempt ran nothing."""

FINAL_CODE_BY_FAILURE = {
    Failure.NOT_SENT: Code.OVERLOADED,
    Failure.SHED: Code.OVERLOADED,
    Failure.LOST: Code.CONNECTION_LOST,
    Failure.CUT_SHORT: Code.ANSWER_CUT_SHORT,
    Failure.DEADLINE: Code.DEADLINE_PASSED,
}

TICK_S = 0.05
"""Seconds between two looks at what waits."""


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """Bounds of the core's memory; times in seconds.

    Attributes
    ----------
    key_skew : float
        By how much the wall clocks of entries may differ.
    handover_margin : float
        How long a target taken over from another entry runs at reduced slots.
    """

    queue_limit: int = 200
    remembered_keys: int = 50_000
    key_lifetime: float = 600.0
    key_skew: float = 30.0
    handover_margin: float = 5.0


class Core:
    """Decides for one entry.

    Parameters
    ----------
    me : str
        This entry's id.
    region : str
        The region this entry is in.
    incarnation : str
        Random text of this process, 16 hex digits; the prefix of the keys it is the home of.
    rng : random.Random
        The only source of chance.
    now : float
        When the process began, on its monotonic clock.
    rule, chooser : SlotRule, Chooser
        How targets and slots are given out; the defaults are the ones chosen by measurement.
    """

    def __init__(
        self,
        me: str,
        region: str,
        incarnation: str,
        rng: random.Random,
        now: float,
        settings: CoreSettings | None = None,
        rule: SlotRule | None = None,
        chooser: Chooser | None = None,
    ) -> None:
        self.settings = settings or CoreSettings()
        self.me = me
        self.region = region
        self.policy: Policy | None = None
        self.view = MemberView()
        self.rule = rule or OwnerSlots()
        self.keys = KeyMemory(
            incarnation,
            self.settings.remembered_keys,
            self.settings.key_lifetime,
            self.settings.key_skew,
        )
        self.quarantine = Quarantine()
        self.placement = Placement(
            me,
            region,
            self.rule,
            chooser or LeastInFlight(rng),
            rng,
            self.settings.queue_limit,
        )
        self._dedupe = Deduplicator(self.keys)
        self._classifier: Classifier | None = None
        self.exchange = Exchange(me, incarnation, self.placement, self.quarantine)
        self.routing = Routing(me, region, self.placement, rng)
        self._inflight = InFlight(region, self.placement, self.quarantine, self.keys)
        self._finals = Finals(self.keys, self.placement)
        self._first_assignment = True

    # What is in force

    def policy_accepted(
        self, policy: Policy, home_of: Callable[[int], str], now: float
    ) -> list[Action]:
        """Take a new version of the policy; ``home_of`` gives the home region of a block."""
        old = self.policy.version if self.policy else 0
        invariants.check("policy-version-rises", policy.version > old, (old, policy.version))
        self.policy = policy
        self._classifier = Classifier(policy, home_of)
        self.keys.set_lifetime(policy.lookup_lifetime + policy.key_lifetime)
        self.routing.policy_accepted(policy, now)
        self._assign(now)
        out: list[Action] = []
        self._run_waiting(now, out)
        return out

    def view_changed(self, view: MemberView, now: float) -> list[Action]:
        """Take a new view of the live entries."""
        self.view = view
        self._assign(now)
        out: list[Action] = []
        self._run_waiting(now, out)
        return out

    def plan_accepted(self, splits: Splits) -> None:
        """Let the splits of a plan, by service and home region, go before the policy's."""
        self.routing.follow_plan(splits)

    def _assign(self, now: float) -> None:
        if self.policy is None or self.me not in self.view.by_id:
            return
        for own in self.placement.assign(self.policy, self.view, now):
            # The entry that owned the target before may still have requests running on it, so its
            # slots are reduced until those have reached their deadlines.
            if not self._first_assignment:
                own.ramp.handover(now, now + self.settings.handover_margin)
        self._first_assignment = False

    def ready(self) -> bool:
        """Tell whether requests can be decided on."""
        return self.policy is not None and self.me in self.view.by_id

    # Events of callers

    def request_arrived(self, request: Request, now: float, wall: float) -> list[Action]:
        """Decide about a new request; ``wall`` is unix time in seconds."""
        out: list[Action] = []
        if self._classifier is None or not self.ready():
            return [Refuse(request.request_id, self._not_ready(request))]
        item = self._classifier.classify(request, now)
        if item.is_error():
            return [Refuse(request.request_id, item.error)]
        self._deduplicate(item.ok, now, wall, out)
        return out

    def _not_ready(self, request: Request) -> Refusal:
        # Another entry may have run an earlier copy of a keyed request: only the key's home may say
        # that it was not run.
        code = Code.NOT_READY if request.key is None else Code.HOME_UNREACHABLE
        return Refusal(code, retry_after=1.0)

    def caller_gone(self, request_id: str, now: float) -> list[Action]:
        """Stop working for a caller that has hung up, unless its request may run only once."""
        out: list[Action] = []
        work = self._finals.get(request_id)
        if work is None:
            return out
        work.caller_here = False
        if work.kind is Kind.ONCE_ONLY:
            self._finals.once_only_caller_gone(work)
        else:
            if work.attempt is not None:
                out.append(Cancel(work.attempt.attempt_id))
                self._inflight.end(work, work.attempt)
            self._finals.close(work)
        self._run_waiting(now, out)
        return out

    # Filters

    def _deduplicate(self, item: Classified, now: float, wall: float, out: list[Action]) -> None:
        step = self._dedupe.arrive(item, self.view, now, wall)
        request_id = item.request.request_id
        if isinstance(step, Final):
            out.append(Refuse(request_id, step.refusal))
            return
        if isinstance(step, Known):
            out.append(Reply(request_id, _answer(step.answer)))
            return
        work = Work(item.request, item.service, item.rule, item.home, item.deadline, now)
        self._finals.open(work)
        match step:
            case Run(key=key):
                work.key = key
                self.routing.first_attempt(work)
                self._admit(work, now, out)
            case ClaimKey(key=key):
                work.key = key
                out.append(Claim(request_id, key.text, item.request.body_digest))
            case ToHome(home=home):
                self._forward(work, home, now, out, to_home=True)
            case AskStore(key=key):
                out.append(FetchOutcome(request_id, key.incarnation or "", key.text))
            case WaitForOutcome(key=key):
                pass

    def _admit(self, work: Work, now: float, out: list[Action]) -> None:
        """Quarantine and deadline, then the choice of a region."""
        verdict = self.quarantine.admit(work.request.body_digest, now)
        if verdict is Admission.REFUSE:
            self._refuse(work, Refusal(Code.QUARANTINED), out)
            return
        work.alone = verdict is Admission.RUN_ALONE
        if now >= work.deadline:
            self._refuse(work, Refusal(Code.DEADLINE_TOO_SHORT), out)
            return
        refusal = self.routing.choose_region(work, now)
        if refusal is not None:
            self._refuse(work, refusal, out)
            return
        self._place(work, now, out)

    def _place(self, work: Work, now: float, out: list[Action]) -> None:
        placed = self.routing.place(work, now)
        match placed:
            case ToTarget(own=own):
                self._dispatch(work, own, now, out)
            case ToEntry(member=member):
                self._forward(work, member, now, out)
            case Queued(evicted=evicted):
                if evicted is not None:
                    refusal = self.placement.overloaded(evicted.service.name, now)
                    self._refuse(evicted, refusal, out)
            case Refused(refusal=refusal):
                self._refuse(work, refusal, out)

    def _dispatch(self, work: Work, own: OwnTarget, now: float, out: list[Action]) -> None:
        action = self._inflight.to_target(work, own, now)
        if action is not None:
            out.append(action)
        else:
            self._refuse(work, self.placement.overloaded(work.service.name, now), out)

    def _forward(
        self,
        work: Work,
        member: ViewedMember,
        now: float,
        out: list[Action],
        to_home: bool = False,
    ) -> None:
        action = self._inflight.to_entry(work, member, now, to_home)
        if action is not None:
            out.append(action)
        else:
            self._refuse(work, self.placement.overloaded(work.service.name, now), out)

    # Events of attempts

    def answer_began(self, attempt_id: int, status: int, now: float) -> list[Action]:
        """Let the answer of the current attempt through; drop that of any other one."""
        current = self._inflight.current(attempt_id)
        if current is None:
            return []
        work, attempt = current
        attempt.began = True
        return [Begin(work.request.request_id, attempt_id)]

    def answer_ended(
        self, attempt_id: int, answer: Answer | None, size: int, now: float, status: int = 200
    ) -> list[Action]:
        """Finish a request whose whole answer has passed; ``answer`` if it was to be kept."""
        out: list[Action] = []
        current = self._inflight.current(attempt_id)
        if current is None:
            return out
        work, attempt = current
        self._inflight.answered(work, attempt, status, now)
        self._finals.answered(work, answer, now, out)
        self._run_waiting(now, out)
        return out

    def attempt_failed(
        self,
        attempt_id: int,
        failure: Failure,
        now: float,
        retry_after: float | None = None,
        passed: int = 0,
        resumable: bool = False,
        crashed: bool = False,
    ) -> list[Action]:
        """Try a request again where that is safe and within the budget; otherwise end it.

        Parameters
        ----------
        retry_after : float or None
            Seconds, from the one that refused.
        passed : int
            Bytes of the body already given to the caller.
        resumable : bool
            The rest can be asked for by Range and If-Range.
        crashed : bool
            The target seems to have crashed.
        """
        out: list[Action] = []
        current = self._inflight.current(attempt_id)
        if current is None:
            return out
        work, attempt = current
        work.passed = passed
        self._inflight.failed(work, attempt, failure, crashed, now)
        proof = _proof(failure, attempt_id)
        if self._may_retry(work, attempt, failure, resumable, proof, now):
            self._admit_again(work, now, out)
        else:
            self._end_failed(work, attempt, failure, proof, retry_after, now, out)
        self._run_waiting(now, out)
        return out

    def _may_retry(
        self,
        work: Work,
        attempt: Attempt,
        failure: Failure,
        resumable: bool,
        proof: NotRunProof | None,
        now: float,
    ) -> bool:
        """Tell whether another attempt is safe, in time and within the budget."""
        if not work.caller_here or work.tries >= MAX_TRIES or now >= work.deadline:
            return False
        if attempt.key_home or (work.passed > 0 and not resumable):
            return False
        if work.kind is Kind.ONCE_ONLY and proof is None:
            # The booking may have run: a second attempt could record it twice.
            return False
        if failure is Failure.DEADLINE or not self.routing.take_retry(work):
            return False
        return work.key is None or (proof is not None and self.keys.retry(work.key, proof))

    def _refuse(
        self,
        work: Work,
        refusal: Refusal,
        out: list[Action],
        proof: NotRunProof | None = None,
    ) -> None:
        """End a request that was not run, and say so."""
        if work.tries == 0 or proof is not None:
            self.routing.not_sent(work)
        self._finals.give_up(work, refusal, out, proof)

    def _admit_again(self, work: Work, now: float, out: list[Action]) -> None:
        verdict = self.quarantine.admit(work.request.body_digest, now)
        if verdict is Admission.REFUSE:
            self._refuse(work, Refusal(Code.QUARANTINED), out)
            return
        work.alone = verdict is Admission.RUN_ALONE
        self._place(work, now, out)

    def _end_failed(
        self,
        work: Work,
        attempt: Attempt,
        failure: Failure,
        proof: NotRunProof | None,
        retry_after: float | None,
        now: float,
        out: list[Action],
    ) -> None:
        """End a request after its last attempt, with what can truly be said of it."""
        if attempt.key_home:
            # Whatever became of the copy sent there, only the home knows about the key.
            refusal = Refusal(Code.HOME_UNREACHABLE, retry_after=1.0)
            self._finals.finish(work, refusal, out)
        elif work.kind is Kind.ONCE_ONLY and proof is None:
            late = failure is Failure.DEADLINE
            code = Code.DEADLINE_PASSED_AFTER_DISPATCH if late else Code.OUTCOME_UNKNOWN
            self._finals.unknown(work, Refusal(code), now, out)
        else:
            code = FINAL_CODE_BY_FAILURE[failure]
            if failure in REPEATABLE:
                retry_after = retry_after or self.placement.retry_after(work.service.name, now)
            self._refuse(work, Refusal(code, failure.value, retry_after), out, proof)

    # Claims and outcomes in the store

    def claim_settled(self, request_id: str, result: ClaimResult, now: float) -> list[Action]:
        """Go on with a foreign key whose claim was tried."""
        out: list[Action] = []
        work = self._finals.get(request_id)
        if work is None or work.key is None:
            return out
        if result is ClaimResult.OURS:
            self.keys.claimed(work.key)
            self.routing.first_attempt(work)
            self._admit(work, now, out)
            return out
        # Another entry holds the claim, or nobody can tell: an earlier copy may have run there.
        taken = result is ClaimResult.TAKEN
        code = Code.HOME_GONE if taken else Code.STORE_UNAVAILABLE
        self._refuse(work, Refusal(code, retry_after=None if taken else 2.0), out)
        return out

    def outcome_fetched(
        self, request_id: str, found: bool, answer: Answer | None, now: float
    ) -> list[Action]:
        """Answer from what a gone home left in the store; the key is not run again."""
        work = self._finals.get(request_id)
        if work is None:
            return []
        self._finals.close(work)
        if answer is not None:
            return [Reply(request_id, answer)]
        code = Code.ANSWERED_NOT_KEPT if found else Code.HOME_GONE
        return [Refuse(request_id, Refusal(code))]

    # Time

    def tick(self, now: float, wall: float) -> list[Action]:
        """Refuse at once what would wait too long, and use what has become free."""
        out: list[Action] = []
        for work in self.placement.hopeless(now):
            self._refuse(work, self.placement.overloaded(work.service.name, now), out)
        self.keys.expire(now, wall)
        self._run_waiting(now, out)
        return out

    def next_wake(self, now: float) -> float | None:
        """Return when ``tick`` wants to be called; None if nothing waits."""
        return now + TICK_S if self.placement.waiting() else None

    @property
    def account(self) -> Account:
        """Return this entry's part of its region's in-flight limit."""
        return self.placement.account

    def in_flight(self) -> int:
        """Return how many attempts have not ended."""
        return len(self._inflight)

    def open_requests(self) -> int:
        """Return how many requests have no final answer yet."""
        return len(self._finals)

    def _run_waiting(self, now: float, out: list[Action]) -> None:
        while (found := self.placement.next_waiting(now)) is not None:
            work, own = found
            self._dispatch(work, own, now, out)


def _answer(kept: KeptAnswer) -> Answer:
    return Answer(kept.status, kept.headers, kept.body)


def _proof(failure: Failure, attempt_id: int) -> NotRunProof | None:
    """Return the proof that an attempt ran nothing, if its failure is one."""
    if failure is Failure.NOT_SENT:
        return NotRunProof.not_sent(attempt_id)
    if failure is Failure.SHED:
        return NotRunProof.shed(attempt_id)
    return None
