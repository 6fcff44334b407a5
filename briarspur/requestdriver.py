"""Runs requests: keeps the open ones, reports events to the core and carries out its actions."""

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
    Clock,
    DecisionCore,
    DelayedCall,
    FetchedOutcome,
    KeyStore,
    NoPacing,
    RegionPacer,
    RequestObserver,
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

__all__ = ["DecisionCore", "DriverSettings", "RequestDriver"]

MAX_TICK_S = 0.05
"""Maximum time between two ticks of the core while any request is open."""


@dataclass(frozen=True, slots=True)
class DriverSettings:
    """Settings of a driver.

    Attributes
    ----------
    max_kept_bytes : int
        Maximum size of an answer that is kept for repeats of its request.
    connection_limit : callable
        Returns the maximum of open connections to a target, given its id.
    wall : callable
        Returns Unix time in seconds.
    """

    entry_id: str
    max_kept_bytes: int
    connection_limit: Callable[[str], int]
    wall: Callable[[], float] = time.time


class RequestDriver:
    """Runs the open requests of one entry.

    All methods must be called in the event loop's thread.
    """

    def __init__(
        self,
        core: DecisionCore,
        sender: Sender,
        clock: Clock,
        keys: KeyStore,
        observer: RequestObserver,
        settings: DriverSettings,
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
        self._next_tick: DelayedCall | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def open_requests(self) -> int:
        """Number of requests that wait for an answer or continue without their caller."""
        return len(self._requests_by_id)

    def handle(self, inbound: InboundRequest) -> None:
        """Pass a request of the server to the core; the answer is sent to its caller."""
        now = self._clock.seconds()
        request = inbound.request
        self._requests_by_id[request.request_id] = OpenRequest(inbound, now, inbound.caller)
        self._observer.arrived(request)
        self.carry_out(self._core.request_arrived(request, now, self._settings.wall()))

    def caller_gone(self, request_id: str) -> None:
        """Report that a caller has disconnected."""
        open_request = self._requests_by_id.get(request_id)
        if open_request is None or open_request.caller is None:
            return
        open_request.caller = None
        # The answer of a once-only request must still be recorded, so its attempts continue. They
        # read at full speed, since they would otherwise wait forever for the caller that is gone.
        for attempt in open_request.attempts_by_id.values():
            attempt.resume("caller")
        self.carry_out(self._core.caller_gone(request_id, self._clock.seconds()))
        self._delete_if_done(open_request)

    def attempt_began(self, attempt: OpenAttempt, status: int) -> bool:
        """Report the head; return whether to relay the answer."""
        actions = self._core.answer_began(attempt.attempt_id, status, self._clock.seconds())
        relayed = any(isinstance(a, Begin) and a.attempt_id == attempt.attempt_id for a in actions)
        if not relayed:
            self._remove(attempt)
        self.carry_out(actions)
        return relayed

    def body_part_sent(self, attempt: OpenAttempt, size: int) -> None:
        """Account for the bytes on the link that they came over, and limit its rate."""
        action = attempt.action
        if not isinstance(action, Dispatch):
            return
        pause = self._pacer.take(action.region, action.priority, size, self._clock.seconds())
        if pause > 0.0:
            attempt.pause("link")
            self._clock.callLater(pause, attempt.resume, "link")

    def target_leaving(self, target_id: str) -> None:
        """Report that a backend server accepts no more requests."""
        self._observer.target_leaving(target_id)

    def attempt_ended(self, attempt: OpenAttempt, answer: Answer | None) -> None:
        """End the answer to the caller and report it."""
        open_request = attempt.open_request
        self._remove(attempt)
        now = self._clock.seconds()
        # Call the core first: finishing may start the next request of the same connection.
        actions = self._core.answer_ended(
            attempt.attempt_id, answer, attempt.size, now, attempt.status
        )
        if open_request.caller is not None:
            open_request.caller.finish()
            open_request.caller = None
            self._count_answer(open_request, Code.ANSWERED)
        self.carry_out(actions)
        self._delete_if_done(open_request)

    def attempt_failed(
        self, attempt: OpenAttempt, failure: Failure, retry_after: float | None, crashed: bool
    ) -> None:
        """Report that there will be no complete answer."""
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
        self._delete_if_done(open_request)

    def tick(self) -> None:
        """End attempts that passed their deadline, and run the core's timed work."""
        self._next_tick = None
        self._end_overdue()
        self.carry_out(self._core.tick(self._clock.seconds(), self._settings.wall()))

    def _end_overdue(self) -> None:
        """End attempts whose deadline has passed, in any phase.

        Otherwise a backend server that does not respond, or a caller that stopped reading its
        answer, would occupy a slot, and the caller would get no final answer. The limit on a
        region's requests depends on this too: a request that was admitted on a borrowed share must
        end by its deadline.
        """
        now = self._clock.seconds()
        overdue = [a for a in self._attempts_by_id.values() if a.action.deadline <= now]
        for attempt in overdue:
            if attempt.attempt_id in self._attempts_by_id:
                attempt.cancel()
                self.attempt_failed(attempt, Failure.DEADLINE, None, False)

    def carry_out(self, actions: list[Action]) -> None:
        """Carry out actions in order; actions of events that they cause come after them."""
        self._actions.extend(actions)
        if self._carrying_out:
            return
        self._carrying_out = True
        try:
            while self._actions:
                self._carry_out_one(self._actions.popleft())
        finally:
            self._carrying_out = False
        self._schedule_tick()

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
                self._start_task(self._claim(action))
            case FetchOutcome():
                self._start_task(self._fetch_outcome(action))

    def _send(self, action: Dispatch | Forward) -> None:
        open_request = self._requests_by_id.get(action.request_id)
        if open_request is None:
            # Its caller no longer waits, so the request is not sent; report that to the core.
            now = self._clock.seconds()
            self._actions.extend(
                self._core.attempt_failed(action.attempt_id, Failure.NOT_SENT, now)
            )
            return
        attempt = OpenAttempt(self, action, open_request, self._settings.max_kept_bytes)
        open_request.attempts_by_id[action.attempt_id] = attempt
        self._attempts_by_id[action.attempt_id] = attempt
        if action.region:
            open_request.region = action.region
        attempt.handle = self._sender.send(self._build_outgoing(action, open_request), attempt)

    def _build_outgoing(self, action: Dispatch | Forward, open_request: OpenRequest) -> Outgoing:
        remaining = action.deadline - self._clock.seconds()
        if isinstance(action, Forward):
            return forward_request(action, open_request, remaining, self._settings.entry_id)
        max_open = self._settings.connection_limit(action.target.target_id)
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
        self._finish(open_request, action.code)

    def _refuse(self, action: Refuse) -> None:
        open_request = self._requests_by_id.get(action.request_id)
        if open_request is None or open_request.caller is None:
            return
        refusal = _with_peer_code(action.refusal, open_request.peer_code)
        open_request.caller.refuse(refusal)
        self._log_refusal("refused", open_request, refusal)
        self._finish(open_request, refusal.code)

    def _abort(self, action: Abort) -> None:
        open_request = self._requests_by_id.get(action.request_id)
        if open_request is None or open_request.caller is None:
            return
        open_request.caller.abort(action.refusal)
        self._log_refusal("failed", open_request, action.refusal)
        self._finish(open_request, action.refusal.code)

    def _cancel(self, action: Cancel) -> None:
        attempt = self._attempts_by_id.get(action.attempt_id)
        if attempt is None:
            return
        attempt.cancel()
        self._remove(attempt)
        self._delete_if_done(attempt.open_request)

    async def _claim(self, action: Claim) -> None:
        try:
            settled = await self._keys.claim(action.key, action.body_digest)
        except Exception as error:
            # The claim may have been stored in spite of the error, so its result is unknown.
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

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _remove(self, attempt: OpenAttempt) -> None:
        self._attempts_by_id.pop(attempt.attempt_id, None)
        attempt.open_request.attempts_by_id.pop(attempt.attempt_id, None)

    def _finish(self, open_request: OpenRequest, code: Code) -> None:
        self._count_answer(open_request, code)
        open_request.caller = None
        self._delete_if_done(open_request)

    def _delete_if_done(self, open_request: OpenRequest) -> None:
        if open_request.caller is None and not open_request.attempts_by_id:
            self._requests_by_id.pop(open_request.request.request_id, None)

    def _count_answer(self, open_request: OpenRequest, code: Code) -> None:
        seconds = self._clock.seconds() - open_request.arrived
        self._observer.answered(open_request.request, open_request.region, code, seconds)

    def _log_refusal(self, event: str, open_request: OpenRequest, refusal: Refusal) -> None:
        logs.event(
            event,
            code=int(refusal.code),
            code_name=refusal.code.name,
            request_id=open_request.request.request_id,
            entry=self._settings.entry_id,
            detail=refusal.detail or None,
        )

    def _schedule_tick(self) -> None:
        """Schedule the next tick while any request is open."""
        now = self._clock.seconds()
        due = self._core.next_wake(now)
        if due is None and not self._requests_by_id:
            return
        due = now + MAX_TICK_S if due is None else min(max(due, now), now + MAX_TICK_S)
        if self._next_tick is None:
            self._next_tick = self._clock.callLater(due - now, self.tick)
        elif self._next_tick.getTime() > due:
            self._next_tick.reset(due - now)


def _with_peer_code(refusal: Refusal, peer_code: Code | None) -> Refusal:
    """Return the refusal with the more specific code of the entry it was forwarded to.

    The two codes must agree on whether the request was run: what the core knows of all attempts
    takes precedence over what one entry knows of its own.
    """
    if peer_code is None or CODES[peer_code].ran is not CODES[refusal.code].ran:
        return refusal
    return Refusal(peer_code, refusal.detail, refusal.retry_after)
