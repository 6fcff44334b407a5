"""The decision core of an entry: turns events into actions and does no I/O.

It reads no clock and uses no random numbers except those of the generator passed in. Each method
of :class:`Core` handles one event; :mod:`briarspur.pipeline` applies the filters to a request.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from briarspur.classify import Classifier
from briarspur.codes import Code
from briarspur.coord.escrow import Account
from briarspur.coord.invariants import invariants
from briarspur.coord.once import KeyMemory
from briarspur.coord.quarantine import Quarantine
from briarspur.exchange import Exchange
from briarspur.inflight import InFlight
from briarspur.members import MemberView
from briarspur.messages import (
    Action,
    Begin,
    Cancel,
    Failure,
    Refuse,
    Reply,
    Request,
    RequestKind,
    SettledClaim,
)
from briarspur.ownership import OwnerSlots, SlotRule
from briarspur.pipeline import Pipeline
from briarspur.placement import Placement
from briarspur.policy import Policy
from briarspur.refusal import Answer, Refusal
from briarspur.region import Splits
from briarspur.requesttable import RequestTable
from briarspur.routing import Routing
from briarspur.target import Chooser, LeastInFlight

__all__ = ["Core", "CoreSettings"]

TICK_INTERVAL_S = 0.05
"""Seconds between two ticks while requests are queued."""


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """Limits on what the core keeps in memory; times in seconds.

    Attributes
    ----------
    key_skew : float
        Maximum difference between the wall clocks of two entries.
    """

    queue_limit: int = 200
    remembered_keys: int = 50_000
    key_lifetime: float = 600.0
    key_skew: float = 30.0


class Core:
    """Decides what one entry does with its requests.

    Parameters
    ----------
    entry_id : str
        This entry's id.
    region : str
        This entry's region.
    incarnation : str
        Random id of this process, 16 hex digits; prefix of the keys whose home it is.
    rng : random.Random
        The only source of random numbers.
    now : float
        Start of the process on its monotonic clock.
    rule, chooser : SlotRule, Chooser
        How slots are assigned to entries, and how a target with a free slot is chosen; by default
        :class:`OwnerSlots` and :class:`LeastInFlight`.
    """

    def __init__(
        self,
        entry_id: str,
        region: str,
        incarnation: str,
        rng: random.Random,
        now: float,
        settings: CoreSettings | None = None,
        rule: SlotRule | None = None,
        chooser: Chooser | None = None,
    ) -> None:
        self.settings = settings or CoreSettings()
        self.entry_id = entry_id
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
            entry_id,
            region,
            self.rule,
            chooser or LeastInFlight(rng),
            rng,
            self.settings.queue_limit,
        )
        self._classifier: Classifier | None = None
        self.exchange = Exchange(entry_id, incarnation, self.placement, self.quarantine)
        self.routing = Routing(entry_id, region, self.placement, rng)
        self._inflight = InFlight(region, self.placement, self.quarantine, self.keys)
        self._requests = RequestTable(self.keys, self.placement)
        self._pipeline = Pipeline(
            self.keys,
            self.quarantine,
            self.routing,
            self.placement,
            self._inflight,
            self._requests,
        )
        self._first_assignment = True

    # Configuration and membership

    def policy_accepted(
        self, policy: Policy, home_of: Callable[[int], str], now: float
    ) -> list[Action]:
        """Apply a new version of the policy; ``home_of`` returns the home region of a block."""
        old = self.policy.version if self.policy else 0
        invariants.check("policy-version-rises", policy.version > old, (old, policy.version))
        self.policy = policy
        self._classifier = Classifier(policy, home_of)
        self.keys.set_lifetime(policy.lookup_lifetime + policy.key_lifetime)
        self.routing.apply_policy(policy, now)
        self._assign(now)
        out: list[Action] = []
        self._pipeline.dispatch_waiting(now, out)
        return out

    def view_changed(self, view: MemberView, now: float) -> list[Action]:
        """Apply a new view of the live entries."""
        self.view = view
        self._assign(now)
        out: list[Action] = []
        self._pipeline.dispatch_waiting(now, out)
        return out

    def plan_accepted(self, splits: Splits) -> None:
        """Use the splits of a plan, by service and home region, in preference to the policy's."""
        self.routing.apply_plan(splits)

    def _assign(self, now: float) -> None:
        if self.policy is None or self.entry_id not in self.view.by_id:
            return
        for own in self.placement.assign(self.policy, self.view, now):
            # The previous owner may still have requests running on the target, so its slots are
            # reduced until the deadlines of those requests have passed.
            if not self._first_assignment:
                service = self.policy.services_by_name[own.target.service]
                own.ramp.handover(now, now + service.max_deadline)
        self._first_assignment = False

    def ready(self) -> bool:
        """Return whether the core has a policy and a view that includes this entry."""
        return self.policy is not None and self.entry_id in self.view.by_id

    # Events of callers

    def request_arrived(self, request: Request, now: float, wall: float) -> list[Action]:
        """Handle a new request; ``wall`` is Unix time in seconds."""
        out: list[Action] = []
        if self._classifier is None or not self.ready():
            return [Refuse(request.request_id, self._not_ready(request))]
        item = self._classifier.classify(request, now)
        if item.is_error():
            return [Refuse(request.request_id, item.error)]
        self._pipeline.start(item.ok, self.view, now, wall, out)
        return out

    def _not_ready(self, request: Request) -> Refusal:
        # Another entry may have run an earlier copy of a request with a key, so only the key's home
        # may answer that it was not run.
        code = Code.NOT_READY if request.key is None else Code.HOME_UNREACHABLE
        return Refusal(code, retry_after=1.0)

    def caller_gone(self, request_id: str, now: float) -> list[Action]:
        """Stop work for a caller that disconnected; a dispatched once-only request continues."""
        out: list[Action] = []
        work = self._requests.get(request_id)
        if work is None:
            return out
        work.caller_connected = False
        if work.kind is RequestKind.ONCE_ONLY:
            self._requests.handle_once_only_disconnect(work)
        else:
            if work.attempt is not None:
                out.append(Cancel(work.attempt.attempt_id))
                self._inflight.end(work, work.attempt)
            self._requests.close(work)
        self._pipeline.dispatch_waiting(now, out)
        return out

    # Events of attempts

    def answer_began(self, attempt_id: int, status: int, now: float) -> list[Action]:
        """Relay the answer if it belongs to the request's current attempt; otherwise drop it."""
        current = self._inflight.current(attempt_id)
        if current is None:
            return []
        work, attempt = current
        attempt.head_received = True
        return [Begin(work.request.request_id, attempt_id)]

    def answer_ended(
        self, attempt_id: int, answer: Answer | None, size: int, now: float, status: int = 200
    ) -> list[Action]:
        """Finish a request whose answer is complete; ``answer`` is set if it has to be kept."""
        out: list[Action] = []
        current = self._inflight.current(attempt_id)
        if current is None:
            return out
        work, attempt = current
        self._inflight.answered(work, attempt, status, now)
        self._requests.finish_answered(work, answer, now, out)
        self._pipeline.dispatch_waiting(now, out)
        return out

    def attempt_failed(
        self,
        attempt_id: int,
        failure: Failure,
        now: float,
        retry_after: float | None = None,
        bytes_sent: int = 0,
        resumable: bool = False,
        crashed: bool = False,
    ) -> list[Action]:
        """Retry a request if that is safe and within the retry budget; otherwise finish it.

        Parameters
        ----------
        retry_after : float or None
            Seconds, from the Retry-After header of the receiver that refused.
        bytes_sent : int
            Body bytes already sent to the caller.
        resumable : bool
            The rest of the body can be requested with Range and If-Range.
        crashed : bool
            The target seems to have crashed.
        """
        out: list[Action] = []
        current = self._inflight.current(attempt_id)
        if current is None:
            return out
        work, attempt = current
        work.bytes_sent = bytes_sent
        self._inflight.failed(work, attempt, failure, crashed, now, retry_after)
        self._pipeline.attempt_failed(work, attempt, failure, resumable, retry_after, now, out)
        self._pipeline.dispatch_waiting(now, out)
        return out

    # Claims and outcomes in the store

    def claim_settled(self, request_id: str, claim: SettledClaim, now: float) -> list[Action]:
        """Continue a request with a foreign key, now that the result of its claim is known."""
        out: list[Action] = []
        work = self._requests.get(request_id)
        if work is not None:
            self._pipeline.claim_settled(work, claim, self.view, now, out)
        return out

    def outcome_fetched(
        self, request_id: str, found: bool, answer: Answer | None, now: float
    ) -> list[Action]:
        """Answer with the outcome that a terminated home stored; never run the key again."""
        work = self._requests.get(request_id)
        if work is None:
            return []
        self._requests.close(work)
        if answer is not None:
            return [Reply(request_id, answer)]
        code = Code.ANSWERED_NOT_KEPT if found else Code.HOME_GONE
        return [Refuse(request_id, Refusal(code))]

    # Time

    def tick(self, now: float, wall: float) -> list[Action]:
        """Refuse queued requests that can't meet their deadlines; dispatch others to free slots."""
        out: list[Action] = []
        for work in self.placement.remove_late(now):
            self._pipeline.refuse(
                work, self.placement.overload_refusal(work.service.name, now), out
            )
        self._pipeline.refuse_overdue_store_waits(now, out)
        self.keys.expire(now, wall)
        self._pipeline.dispatch_waiting(now, out)
        return out

    def next_wake(self, now: float) -> float | None:
        """Return when ``tick`` has to be called next; None if no request is queued."""
        return now + TICK_INTERVAL_S if self.placement.total_queue_length() else None

    @property
    def account(self) -> Account:
        """Return this entry's share of its region's in-flight limit."""
        return self.placement.account

    def in_flight(self) -> int:
        """Return the number of attempts that have not ended."""
        return len(self._inflight)

    def open_requests(self) -> int:
        """Return the number of requests without a final answer."""
        return len(self._requests)
