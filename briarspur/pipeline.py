"""The sequence of filters that turns a classified request into an action or a refusal.

deduplicate -> quarantine -> choose region -> place (admit, choose target) -> send. The result of an
attempt leads to the answer, to a retry through some of the filters, or to the final refusal.
"""

from briarspur.codes import CODES, Code, Ran
from briarspur.coord.keys import Key
from briarspur.coord.once import KeptAnswer, KeyMemory, NotRunProof
from briarspur.coord.quarantine import Admission, Quarantine
from briarspur.dedupe import (
    ClaimKey,
    Deduplicator,
    FetchFromStore,
    ForwardToHome,
    Proceed,
    Reject,
    ReplayAnswer,
    WaitForOutcome,
)
from briarspur.inflight import InFlight
from briarspur.members import MemberView, ViewedMember
from briarspur.messages import (
    Action,
    Claim,
    ClaimResult,
    Failure,
    FetchOutcome,
    Refuse,
    Reply,
    RequestKind,
    SettledClaim,
)
from briarspur.placement import Placement, Queued, Refused, ToEntry, ToTarget
from briarspur.refusal import Answer, Refusal
from briarspur.requesttable import RequestTable
from briarspur.routing import Routing
from briarspur.storewaits import StoreWaits
from briarspur.target import OwnTarget
from briarspur.work import Attempt, Classified, Work

__all__ = ["Pipeline"]

MAX_ATTEMPTS = 3
"""Attempts per request, including the first one."""

CLAIM_RETRY_AFTER_S = 2.0
"""Retry-After for a request whose claim failed or could not be used."""

NOT_RUN_FAILURES = frozenset({Failure.NOT_SENT, Failure.SHED})
"""Failures that prove that the request was not run."""

FINAL_CODE_BY_FAILURE = {
    Failure.NOT_SENT: Code.OVERLOADED,
    Failure.SHED: Code.OVERLOADED,
    Failure.LOST: Code.CONNECTION_LOST,
    Failure.CUT_SHORT: Code.ANSWER_CUT_SHORT,
    Failure.DEADLINE: Code.DEADLINE_PASSED,
}


class Pipeline:
    """Applies the filters to each request; methods append the resulting actions to ``out``.

    Parameters
    ----------
    keys : KeyMemory
        The keys whose home is this entry.
    quarantine : Quarantine
        Requests that crashed backend servers.
    routing, placement : Routing, Placement
        Choose the region, and the target or entry in it.
    inflight : InFlight
        The attempts in progress.
    requests : RequestTable
        The open requests.
    """

    def __init__(
        self,
        keys: KeyMemory,
        quarantine: Quarantine,
        routing: Routing,
        placement: Placement,
        inflight: InFlight,
        requests: RequestTable,
    ) -> None:
        self._keys = keys
        self._quarantine = quarantine
        self._routing = routing
        self._placement = placement
        self._inflight = inflight
        self._requests = requests
        self._dedupe = Deduplicator(keys)
        self._store_waits = StoreWaits()

    def start(
        self, item: Classified, view: MemberView, now: float, wall: float, out: list[Action]
    ) -> None:
        """Process a classified request, depending on what is known about its key."""
        decision = self._dedupe.decide(item, view, now, wall)
        request_id = item.request.request_id
        if isinstance(decision, Reject):
            out.append(Refuse(request_id, decision.refusal))
            return
        if isinstance(decision, ReplayAnswer):
            out.append(Reply(request_id, _to_answer(decision.answer)))
            return
        work = Work(item.request, item.service, item.rule, item.home, item.deadline, now)
        self._requests.open(work)
        match decision:
            case Proceed(key=key):
                work.key = key
                self._routing.record_first_attempt(work)
                self.admit(work, now, out)
            case ClaimKey(key=key):
                work.key = key
                work.claim_pending = True
                self._store_waits.add(work, key)
                out.append(Claim(request_id, key.text, item.request.body_digest))
            case ForwardToHome(home=home):
                self._forward(work, home, now, out, to_home=True)
            case FetchFromStore(key=key):
                self._fetch_outcome(work, key.incarnation or "", key, out)
            case WaitForOutcome(key=key):
                self._store_waits.add(work, key)

    def _fetch_outcome(self, work: Work, incarnation: str, key: Key, out: list[Action]) -> None:
        self._store_waits.add(work, key)
        out.append(FetchOutcome(work.request.request_id, incarnation, key.text))

    def refuse_overdue_store_waits(self, now: float, out: list[Action]) -> None:
        """Refuse callers whose deadlines pass while they wait for the store.

        A call to a store that hangs lasts as long as its timeout, and a claim several times as
        long, so without this a caller with a foreign key got no answer before its own timeout. The
        claim itself isn't cancelled: it may take effect and can't be repeated.
        """
        for work, key in self._store_waits.pop_overdue(now):
            if self._requests.is_waiting_for_store(work, key):
                refusal = Refusal(Code.STORE_UNAVAILABLE, retry_after=CLAIM_RETRY_AFTER_S)
                self._requests.refuse_caller(work, refusal, out)

    def claim_settled(
        self,
        work: Work,
        claim: SettledClaim,
        view: MemberView,
        now: float,
        out: list[Action],
    ) -> None:
        """Run a request with a foreign key, forward it to the holder of the claim, or refuse it."""
        key = work.key
        work.claim_pending = False
        self._store_waits.discard(work)
        if key is None:
            return
        if claim.result is ClaimResult.ACQUIRED:
            self._keys.mark_claimed(key)
            if work.caller_connected:
                self._routing.record_first_attempt(work)
                self.admit(work, now, out)
            else:
                # Not run, but the key stays marked as claimed: the claim can't be repeated, so
                # without the mark a repeat of the request could never be run.
                self.refuse(work, Refusal(Code.OVERLOADED, retry_after=CLAIM_RETRY_AFTER_S), out)
        elif claim.result is ClaimResult.TAKEN:
            self._send_to_holder(work, key, claim.holder, view, now, out)
        else:
            retry_after = claim.retry_after or CLAIM_RETRY_AFTER_S
            self.refuse(work, Refusal(Code.STORE_UNAVAILABLE, retry_after=retry_after), out)

    def _send_to_holder(
        self,
        work: Work,
        key: Key,
        holder: str | None,
        view: MemberView,
        now: float,
        out: list[Action],
    ) -> None:
        """Send the request and those that joined it to the entry that holds the claim."""
        home = view.by_incarnation(holder) if holder is not None else None
        for request_id in self._keys.mark_not_run(key).request_ids:
            each = self._requests.get(request_id)
            if each is None:
                continue
            each.key = None
            self._store_waits.discard(each)
            if holder == self._keys.incarnation:
                # This process made the claim earlier and has forgotten the key: it may have run.
                self._requests.finish(each, Refusal(Code.HOME_GONE), out)
            elif home is None:
                self._fetch_outcome(each, holder or "", key, out)
            elif each.request.forwarded_by is not None:
                # Otherwise entries with different views could forward it to each other forever.
                self._requests.finish(each, Refusal(Code.HOME_UNREACHABLE, retry_after=1.0), out)
            else:
                self._forward(each, home, now, out, to_home=True)
        if not work.caller_connected:
            self._requests.close(work)

    def admit(self, work: Work, now: float, out: list[Action]) -> None:
        """Check quarantine and deadline, then choose a region and place the request."""
        verdict = self._quarantine.admit(work.request.body_digest, now)
        if verdict is Admission.REFUSE:
            self.refuse(work, Refusal(Code.QUARANTINED), out)
            return
        work.isolated = verdict is Admission.RUN_ISOLATED
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
        action = self._inflight.dispatch(work, own, now)
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
        action = self._inflight.forward(work, member, now, to_home)
        if action is not None:
            out.append(action)
        else:
            self.refuse(work, self._placement.overload_refusal(work.service.name, now), out)

    # After an attempt

    def attempt_failed(
        self,
        work: Work,
        attempt: Attempt,
        failure: Failure,
        resumable: bool,
        retry_after: float | None,
        now: float,
        out: list[Action],
    ) -> None:
        """Retry a request if that is safe and within the retry budget; otherwise finish it."""
        proof = _proof(failure, attempt.attempt_id)
        if proof is None:
            work.may_have_run = True
        if self._may_retry(work, attempt, failure, resumable, proof, now):
            self._retry(work, now, out)
        else:
            self._finish_failed(work, attempt, failure, proof, retry_after, now, out)

    def _may_retry(
        self,
        work: Work,
        attempt: Attempt,
        failure: Failure,
        resumable: bool,
        proof: NotRunProof | None,
        now: float,
    ) -> bool:
        """Return whether another attempt is safe, in time and within the retry budget."""
        if not work.caller_connected or work.attempt_count >= MAX_ATTEMPTS or now >= work.deadline:
            return False
        if attempt.to_key_home or (work.bytes_sent > 0 and not resumable):
            return False
        if work.kind is RequestKind.ONCE_ONLY and proof is None:
            # The first attempt may have run: a second one could record a booking twice.
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
        """Refuse a request; ``proof`` is needed if its key was dispatched."""
        if work.may_have_run and CODES[refusal.code].ran is Ran.NO:
            refusal = Refusal(Code.CONNECTION_LOST, refusal.detail, refusal.retry_after)
        if work.attempt_count == 0 or proof is not None:
            self._routing.cancel_shift(work)
        self._requests.reject_not_run(work, refusal, out, proof)

    def _retry(self, work: Work, now: float, out: list[Action]) -> None:
        verdict = self._quarantine.admit(work.request.body_digest, now)
        if verdict is Admission.REFUSE:
            self.refuse(work, Refusal(Code.QUARANTINED), out)
            return
        work.isolated = verdict is Admission.RUN_ISOLATED
        self._place(work, now, out)

    def _finish_failed(
        self,
        work: Work,
        attempt: Attempt,
        failure: Failure,
        proof: NotRunProof | None,
        retry_after: float | None,
        now: float,
        out: list[Action],
    ) -> None:
        """Finish a request after its last attempt, with the outcome as far as it is known."""
        if attempt.to_key_home:
            # Only the key's home knows whether the copy sent to it was run.
            refusal = Refusal(Code.HOME_UNREACHABLE, retry_after=1.0)
            self._requests.finish(work, refusal, out)
        elif work.kind is RequestKind.ONCE_ONLY and proof is None:
            late = failure is Failure.DEADLINE
            code = Code.DEADLINE_PASSED_AFTER_DISPATCH if late else Code.OUTCOME_UNKNOWN
            self._requests.finish_unknown(work, Refusal(code), now, out)
        else:
            code = FINAL_CODE_BY_FAILURE[failure]
            if failure in NOT_RUN_FAILURES:
                retry_after = retry_after or self._placement.retry_after(work.service.name, now)
            self.refuse(work, Refusal(code, failure.value, retry_after), out, proof)

    # Queue

    def dispatch_waiting(self, now: float, out: list[Action]) -> None:
        """Dispatch queued requests while slots are free."""
        while (found := self._placement.next_waiting(now)) is not None:
            work, own = found
            self._dispatch(work, own, now, out)


def _to_answer(kept: KeptAnswer) -> Answer:
    return Answer(kept.status, kept.headers, kept.body)


def _proof(failure: Failure, attempt_id: int) -> NotRunProof | None:
    """Return a proof that an attempt was not run, if its failure is one."""
    if failure is Failure.NOT_SENT:
        return NotRunProof.not_sent(attempt_id)
    if failure is Failure.SHED:
        return NotRunProof.shed(attempt_id)
    return None
