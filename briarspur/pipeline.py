"""The filters in their order, from a classified request to an action or a final refusal.

deduplicate -> quarantine -> choose region -> place (admit, choose target) -> send. What an attempt
brings back leads to the answer, through the filters again, or to the final refusal.
"""

from briarspur.codes import Code
from briarspur.coord.keys import Key
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
from briarspur.finals import Finals
from briarspur.inflight import InFlight
from briarspur.members import MemberView, ViewedMember
from briarspur.messages import (
    Action,
    Claim,
    ClaimResult,
    Failure,
    FetchOutcome,
    Kind,
    Refuse,
    Reply,
    SettledClaim,
)
from briarspur.placement import Placement, Queued, Refused, ToEntry, ToTarget
from briarspur.refusal import Answer, Refusal
from briarspur.routing import Routing
from briarspur.storewaits import StoreWaits
from briarspur.target import OwnTarget
from briarspur.work import Attempt, Classified, Work

__all__ = ["Pipeline"]

MAX_TRIES = 3
"""Attempts for one request, the first one included."""

CLAIM_RETRY_AFTER = 2.0
"""Seconds until a caller may repeat a request whose claim could not be used."""

REPEATABLE = frozenset({Failure.NOT_SENT, Failure.SHED})
"""Failures that prove that the attempt ran nothing."""

FINAL_CODE_BY_FAILURE = {
    Failure.NOT_SENT: Code.OVERLOADED,
    Failure.SHED: Code.OVERLOADED,
    Failure.LOST: Code.CONNECTION_LOST,
    Failure.CUT_SHORT: Code.ANSWER_CUT_SHORT,
    Failure.DEADLINE: Code.DEADLINE_PASSED,
}


class Pipeline:
    """Takes each request through the filters; every method appends its actions to ``out``.

    Parameters
    ----------
    keys : KeyMemory
        The keys this entry is the home of.
    quarantine : Quarantine
        Requests that crashed backend servers.
    routing, placement : Routing, Placement
        The choice of a region, and of a place in it.
    inflight : InFlight
        The attempts in progress.
    finals : Finals
        The open requests.
    """

    def __init__(
        self,
        keys: KeyMemory,
        quarantine: Quarantine,
        routing: Routing,
        placement: Placement,
        inflight: InFlight,
        finals: Finals,
    ) -> None:
        self._keys = keys
        self._quarantine = quarantine
        self._routing = routing
        self._placement = placement
        self._inflight = inflight
        self._finals = finals
        self._dedupe = Deduplicator(keys)
        self._store_waits = StoreWaits()

    def enter(
        self, item: Classified, view: MemberView, now: float, wall: float, out: list[Action]
    ) -> None:
        """Begin with a classified request: what is known of its key decides where it goes."""
        step = self._dedupe.arrive(item, view, now, wall)
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
                self._routing.record_first_attempt(work)
                self.admit(work, now, out)
            case ClaimKey(key=key):
                work.key = key
                work.claiming = True
                self._store_waits.add(work, key)
                out.append(Claim(request_id, key.text, item.request.body_digest))
            case ToHome(home=home):
                self._forward(work, home, now, out, to_home=True)
            case AskStore(key=key):
                self._fetch_outcome(work, key.incarnation or "", key, out)
            case WaitForOutcome(key=key):
                self._store_waits.add(work, key)

    def _fetch_outcome(self, work: Work, incarnation: str, key: Key, out: list[Action]) -> None:
        self._store_waits.add(work, key)
        out.append(FetchOutcome(work.request.request_id, incarnation, key.text))

    def refuse_overdue_at_store(self, now: float, out: list[Action]) -> None:
        """Answer the callers whose deadlines pass while the store says nothing.

        A store that hangs holds a call for its timeout, and a claim for several of them, so a
        caller of a foreign key had no answer when its own timeout came. The claim itself goes on:
        it may take effect and can't be made twice.
        """
        for work, key in self._store_waits.pop_overdue(now):
            if self._finals.waits_for_store(work, key):
                refusal = Refusal(Code.STORE_UNAVAILABLE, retry_after=CLAIM_RETRY_AFTER)
                self._finals.refuse_caller(work, refusal, out)

    def claimed(
        self,
        work: Work,
        claim: SettledClaim,
        view: MemberView,
        now: float,
        out: list[Action],
    ) -> None:
        """Go on with a foreign key: run it, send it to the one that holds its claim, or refuse."""
        key = work.key
        work.claiming = False
        self._store_waits.discard(work)
        if key is None:
            return
        if claim.result is ClaimResult.OURS:
            self._keys.mark_claimed(key)
            if work.caller_here:
                self._routing.record_first_attempt(work)
                self.admit(work, now, out)
            else:
                # Kept as ours but not run: the claim can't be made a second time, so a repeat that
                # found nothing here could never be run.
                self.refuse(work, Refusal(Code.OVERLOADED, retry_after=CLAIM_RETRY_AFTER), out)
        elif claim.result is ClaimResult.TAKEN:
            self._send_to_holder(work, key, claim.holder, view, now, out)
        else:
            refusal = Refusal(Code.STORE_UNAVAILABLE, retry_after=CLAIM_RETRY_AFTER)
            self.refuse(work, refusal, out)

    def _send_to_holder(
        self,
        work: Work,
        key: Key,
        holder: str | None,
        view: MemberView,
        now: float,
        out: list[Action],
    ) -> None:
        """Send the request, and those that joined it, to the entry that may run the key."""
        home = view.by_incarnation(holder) if holder is not None else None
        for request_id in self._keys.mark_not_run(key).request_ids:
            each = self._finals.get(request_id)
            if each is None:
                continue
            each.key = None
            self._store_waits.discard(each)
            if holder == self._keys.incarnation:
                # An older claim of our own, whose key the memory has forgotten: it may have run.
                self._finals.finish(each, Refusal(Code.HOME_GONE), out)
            elif home is None:
                self._fetch_outcome(each, holder or "", key, out)
            elif each.request.forwarded_by is not None:
                # Two entries with different views would send the request to and fro.
                self._finals.finish(each, Refusal(Code.HOME_UNREACHABLE, retry_after=1.0), out)
            else:
                self._forward(each, home, now, out, to_home=True)
        if not work.caller_here:
            self._finals.close(work)

    def admit(self, work: Work, now: float, out: list[Action]) -> None:
        """Quarantine and deadline, then the choice of a region."""
        verdict = self._quarantine.admit(work.request.body_digest, now)
        if verdict is Admission.REFUSE:
            self.refuse(work, Refusal(Code.QUARANTINED), out)
            return
        work.alone = verdict is Admission.RUN_ISOLATED
        if now >= work.deadline:
            self.refuse(work, Refusal(Code.DEADLINE_TOO_SHORT), out)
            return
        refusal = self._routing.choose_region(work, now)
        if refusal is not None:
            self.refuse(work, refusal, out)
            return
        self._place(work, now, out)

    def _place(self, work: Work, now: float, out: list[Action]) -> None:
        placed = self._routing.place(work, now)
        match placed:
            case ToTarget(target=own):
                self._dispatch(work, own, now, out)
            case ToEntry(member=member):
                self._forward(work, member, now, out)
            case Queued(evicted=evicted):
                if evicted is not None:
                    refusal = self._placement.overload_refusal(evicted.service.name, now)
                    self.refuse(evicted, refusal, out)
            case Refused(refusal=refusal):
                self.refuse(work, refusal, out)

    def _dispatch(self, work: Work, own: OwnTarget, now: float, out: list[Action]) -> None:
        action = self._inflight.to_target(work, own, now)
        if action is not None:
            out.append(action)
        else:
            self.refuse(work, self._placement.overload_refusal(work.service.name, now), out)

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
            self.refuse(work, self._placement.overload_refusal(work.service.name, now), out)

    # After an attempt

    def failed(
        self,
        work: Work,
        attempt: Attempt,
        failure: Failure,
        resumable: bool,
        retry_after: float | None,
        now: float,
        out: list[Action],
    ) -> None:
        """Try a request again where that is safe and within the budget; otherwise end it."""
        proof = _proof(failure, attempt.attempt_id)
        if self._may_retry(work, attempt, failure, resumable, proof, now):
            self._again(work, now, out)
        else:
            self._end_failed(work, attempt, failure, proof, retry_after, now, out)

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
        if failure is Failure.DEADLINE or not self._routing.take_retry(work):
            return False
        return work.key is None or (proof is not None and self._keys.allow_retry(work.key, proof))

    def refuse(
        self,
        work: Work,
        refusal: Refusal,
        out: list[Action],
        proof: NotRunProof | None = None,
    ) -> None:
        """End a request that was not run, and say so."""
        if work.tries == 0 or proof is not None:
            self._routing.cancel_shift(work)
        self._finals.give_up(work, refusal, out, proof)

    def _again(self, work: Work, now: float, out: list[Action]) -> None:
        verdict = self._quarantine.admit(work.request.body_digest, now)
        if verdict is Admission.REFUSE:
            self.refuse(work, Refusal(Code.QUARANTINED), out)
            return
        work.alone = verdict is Admission.RUN_ISOLATED
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
                retry_after = retry_after or self._placement.retry_after(work.service.name, now)
            self.refuse(work, Refusal(code, failure.value, retry_after), out, proof)

    # Waiting

    def run_waiting(self, now: float, out: list[Action]) -> None:
        """Dispatch waiting requests as long as slots are free."""
        while (found := self._placement.next_waiting(now)) is not None:
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
