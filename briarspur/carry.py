"""Carries requests: holds the open ones, tells the core what happens, carries out its actions."""

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from briarspur import logs
from briarspur.attempts import InboundRequest, OpenAttempt, OpenRequest
from briarspur.backend import Outgoing
from briarspur.codes import CODES, Code
from briarspur.interfaces import (
    CarryObserver,
    Clock,
    DecisionCore,
    DelayedCall,
    FetchedOutcome,
    KeyStore,
    NoPacing,
    RegionPacer,
    Sender,
)
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
    SettledClaim,
)
from briarspur.outgoing import dispatch_request, forward_request
from briarspur.refusal import Answer, Refusal

__all__ = ["Carrier", "CarrySettings", "DecisionCore"]

TICK = 0.05
"""Seconds between two ticks of the core at most, while anything is open."""


@dataclass(frozen=True, slots=True)
class CarrySettings:
    """What a carrier needs to know of its entry.

    Attributes
    ----------
    most_kept : int
        Size in bytes up to which an answer is remembered.
    connections_of : callable
        Bound on open connections to a target, by its id.
    wall : callable
        Returns unix time in seconds.
    """

    entry_id: str
    most_kept: int
    connections_of: Callable[[str], int]
    wall: Callable[[], float] = time.time


class Carrier:
    """Holds the open requests of one entry; its methods are called on the one loop only."""

    def __init__(
        self,
        core: DecisionCore,
        sender: Sender,
        clock: Clock,
        keys: KeyStore,
        observer: CarryObserver,
        settings: CarrySettings,
        pacer: RegionPacer | None = None,
    ) -> None:
        self._core = core
        self._sender = sender
        self._clock = clock
        self._keys = keys
        self._observer = observer
        self._settings = settings
        self._pacer = pacer or NoPacing()
        self._requests_by_id: dict[str, OpenRequest] = {}
        self._attempts_by_id: dict[int, OpenAttempt] = {}
        self._actions: deque[Action] = deque()
        self._carrying_out = False
        self._wake: DelayedCall | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def open_requests(self) -> int:
        """Requests that wait for an answer or run on without their caller."""
        return len(self._requests_by_id)

    def arrive(self, inbound: InboundRequest) -> None:
        """Take a request from the server; its caller hears of the answer."""
        now = self._clock.seconds()
        request = inbound.request
        self._requests_by_id[request.request_id] = OpenRequest(inbound, now, inbound.caller)
        self._observer.arrived(request)
        self.carry_out(self._core.request_arrived(request, now, self._settings.wall()))

    def caller_gone(self, request_id: str) -> None:
        """Note that a caller's connection is lost."""
        open_request = self._requests_by_id.get(request_id)
        if open_request is None or open_request.caller is None:
            return
        open_request.caller = None
        # The answer of a once-only request must still be recorded: its attempts run on, reading
        # at full speed, since a caller that is gone would hold them for ever.
        for attempt in open_request.attempts_by_id.values():
            attempt.resume("caller")
        self.carry_out(self._core.caller_gone(request_id, self._clock.seconds()))
        self._forget_if_done(open_request)

    def attempt_began(self, attempt: OpenAttempt, status: int) -> bool:
        """Report the head; return whether the answer is to be passed on."""
        actions = self._core.answer_began(attempt.attempt_id, status, self._clock.seconds())
        passing = any(isinstance(a, Begin) and a.attempt_id == attempt.attempt_id for a in actions)
        if not passing:
            self._remove(attempt)
        self.carry_out(actions)
        return passing

    def body_part_sent(self, attempt: OpenAttempt, size: int) -> None:
        """Pace the link the bytes came over."""
        action = attempt.action
        if not isinstance(action, Dispatch):
            return
        pause = self._pacer.take(action.region, action.priority, size, self._clock.seconds())
        if pause > 0.0:
            attempt.pause("link")
            self._clock.callLater(pause, attempt.resume, "link")

    def target_leaving(self, target_id: str) -> None:
        """Pass on that a backend server said it takes no new work."""
        self._observer.target_leaving(target_id)

    def attempt_ended(self, attempt: OpenAttempt, answer: Answer | None) -> None:
        """Finish the caller's answer and report it."""
        open_request = attempt.open_request
        self._remove(attempt)
        now = self._clock.seconds()
        # The core comes first: finishing may take up the next request of the same connection.
        actions = self._core.answer_ended(
            attempt.attempt_id, answer, attempt.size, now, attempt.status
        )
        if open_request.caller is not None:
            open_request.caller.finish()
            open_request.caller = None
            self._count(open_request, Code.ANSWERED)
        self.carry_out(actions)
        self._forget_if_done(open_request)

    def attempt_failed(
        self, attempt: OpenAttempt, failure: Failure, retry_after: float | None, crashed: bool
    ) -> None:
        """Report that no whole answer will come."""
        open_request = attempt.open_request
        self._remove(attempt)
        actions = self._core.attempt_failed(
            attempt.attempt_id,
            failure,
            self._clock.seconds(),
            retry_after=retry_after,
            bytes_sent=open_request.bytes_sent,
            resumable=open_request.can_resume(),
            crashed=crashed and not attempt.to_entry,
        )
        self.carry_out(actions)
        self._forget_if_done(open_request)

    def tick(self) -> None:
        """Let the core do what is due."""
        self._wake = None
        self._end_overdue()
        self.carry_out(self._core.tick(self._clock.seconds(), self._settings.wall()))

    def _end_overdue(self) -> None:
        """End attempts whose deadline has passed, in whichever phase they are.

        A silent backend server would hold its slot, and a caller that stopped reading its answer
        would hold that slot for it; nobody would tell the caller. The bound on a region's work
        rests on this too: what was taken from a borrowed part must end by then.
        """
        now = self._clock.seconds()
        overdue = [a for a in self._attempts_by_id.values() if a.action.deadline <= now]
        for attempt in overdue:
            if attempt.attempt_id in self._attempts_by_id:
                attempt.cancel()
                self.attempt_failed(attempt, Failure.DEADLINE, None, False)

    def carry_out(self, actions: list[Action]) -> None:
        """Carry out actions in order; those of events met on the way come after them."""
        self._actions.extend(actions)
        if self._carrying_out:
            return
        self._carrying_out = True
        try:
            while self._actions:
                self._carry_out_one(self._actions.popleft())
        finally:
            self._carrying_out = False
        self._schedule()

    def _carry_out_one(self, action: Action) -> None:
        match action:
            case Dispatch() | Forward():
                self._send(action)
            case Begin():
                self._begin(action)
            case Reply():
                self._reply(action)
            case Refuse():
                self._refuse(action)
            case Abort():
                self._abort(action)
            case Cancel():
                self._cancel(action)
            case Claim():
                self._start(self._claim(action))
            case FetchOutcome():
                self._start(self._fetch_outcome(action))

    def _send(self, action: Dispatch | Forward) -> None:
        open_request = self._requests_by_id.get(action.request_id)
        if open_request is None:
            # Nobody waits for it any more, and no byte has left: the core is told just that.
            now = self._clock.seconds()
            self._actions.extend(
                self._core.attempt_failed(action.attempt_id, Failure.NOT_SENT, now)
            )
            return
        attempt = OpenAttempt(self, action, open_request, self._settings.most_kept)
        open_request.attempts_by_id[action.attempt_id] = attempt
        self._attempts_by_id[action.attempt_id] = attempt
        if action.region:
            open_request.region = action.region
        attempt.handle = self._sender.send(self._outgoing(action, open_request), attempt)

    def _outgoing(self, action: Dispatch | Forward, open_request: OpenRequest) -> Outgoing:
        remaining = action.deadline - self._clock.seconds()
        if isinstance(action, Forward):
            return forward_request(action, open_request, remaining, self._settings.entry_id)
        max_open = self._settings.connections_of(action.target.target_id)
        return dispatch_request(action, open_request, remaining, max_open)

    def _begin(self, action: Begin) -> None:
        attempt = self._attempts_by_id.get(action.attempt_id)
        if attempt is not None:
            attempt.relay()

    def _reply(self, action: Reply) -> None:
        open_request = self._requests_by_id.get(action.request_id)
        if open_request is None or open_request.caller is None:
            return
        open_request.caller.reply(action.answer, action.code)
        self._answered(open_request, action.code)

    def _refuse(self, action: Refuse) -> None:
        open_request = self._requests_by_id.get(action.request_id)
        if open_request is None or open_request.caller is None:
            return
        refusal = _with_peer_code(action.refusal, open_request.peer_code)
        open_request.caller.refuse(refusal)
        self._log("refused", open_request, refusal)
        self._answered(open_request, refusal.code)

    def _abort(self, action: Abort) -> None:
        open_request = self._requests_by_id.get(action.request_id)
        if open_request is None or open_request.caller is None:
            return
        open_request.caller.abort(action.refusal)
        self._log("failed", open_request, action.refusal)
        self._answered(open_request, action.refusal.code)

    def _cancel(self, action: Cancel) -> None:
        attempt = self._attempts_by_id.get(action.attempt_id)
        if attempt is None:
            return
        attempt.cancel()
        self._remove(attempt)
        self._forget_if_done(attempt.open_request)

    async def _claim(self, action: Claim) -> None:
        try:
            settled = await self._keys.claim(action.key, action.body_digest)
        except Exception as error:
            # Whatever went wrong, the claim may stand; only "unsettled" is surely not wrong.
            logs.event("internal-error", logging.ERROR, during="claim", error=repr(error))
            settled = SettledClaim(ClaimResult.UNSETTLED)
        now = self._clock.seconds()
        self.carry_out(self._core.claim_settled(action.request_id, settled, now))

    async def _fetch_outcome(self, action: FetchOutcome) -> None:
        try:
            outcome = await self._keys.fetch(action.incarnation, action.key)
        except Exception as error:
            logs.event("internal-error", logging.ERROR, during="fetch-outcome", error=repr(error))
            outcome = FetchedOutcome(found=False)
        now = self._clock.seconds()
        self.carry_out(
            self._core.outcome_fetched(action.request_id, outcome.found, outcome.answer, now)
        )

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _remove(self, attempt: OpenAttempt) -> None:
        self._attempts_by_id.pop(attempt.attempt_id, None)
        attempt.open_request.attempts_by_id.pop(attempt.attempt_id, None)

    def _answered(self, open_request: OpenRequest, code: Code) -> None:
        self._count(open_request, code)
        open_request.caller = None
        self._forget_if_done(open_request)

    def _forget_if_done(self, open_request: OpenRequest) -> None:
        if open_request.caller is None and not open_request.attempts_by_id:
            self._requests_by_id.pop(open_request.request.request_id, None)

    def _count(self, open_request: OpenRequest, code: Code) -> None:
        seconds = self._clock.seconds() - open_request.arrived
        self._observer.answered(open_request.request, open_request.region, code, seconds)

    def _log(self, event: str, open_request: OpenRequest, refusal: Refusal) -> None:
        logs.event(
            event,
            code=int(refusal.code),
            code_name=refusal.code.name,
            request_id=open_request.request.request_id,
            entry=self._settings.entry_id,
            detail=refusal.detail or None,
        )

    def _schedule(self) -> None:
        """See that the core is called again in time while anything is open."""
        now = self._clock.seconds()
        due = self._core.next_wake(now)
        if due is None and not self._requests_by_id:
            return
        due = now + TICK if due is None else min(max(due, now), now + TICK)
        if self._wake is None:
            self._wake = self._clock.callLater(due - now, self.tick)
        elif self._wake.getTime() > due:
            self._wake.reset(due - now)


def _with_peer_code(refusal: Refusal, peer_code: Code | None) -> Refusal:
    """Return the refusal with the more exact code of the entry it was forwarded to.

    The code may change only to one that says the same of whether the request was run: what the
    core knows of all attempts goes before what one entry knows of its own.
    """
    if peer_code is None or CODES[peer_code].ran is not CODES[refusal.code].ran:
        return refusal
    return Refusal(peer_code, refusal.detail, refusal.retry_after)
