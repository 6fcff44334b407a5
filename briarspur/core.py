"""The decision core of an entry: events in, actions out, without I/O, clock or chance of its own.

Each method is one event; :mod:`briarspur.pipeline` has the filters that a request passes.
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
from briarspur.finals import Finals
from briarspur.inflight import InFlight
from briarspur.members import MemberView
from briarspur.messages import (
    Action,
    Begin,
    Cancel,
    Failure,
    Kind,
    Refuse,
    Reply,
    Request,
    SettledClaim,
)
from briarspur.ownership import OwnerSlots, SlotRule
from briarspur.pipeline import Pipeline
from briarspur.placement import Placement
from briarspur.policy import Policy
from briarspur.refusal import Answer, Refusal
from briarspur.region import Splits
from briarspur.routing import Routing
from briarspur.target import Chooser, LeastInFlight

__all__ = ["Core", "CoreSettings"]

TICK_S = 0.05
"""Seconds between two looks at what waits."""


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """Bounds of the core's memory; times in seconds.

    Attributes
    ----------
    key_skew : float
        By how much the wall clocks of entries may differ.
    """

    queue_limit: int = 200
    remembered_keys: int = 50_000
    key_lifetime: float = 600.0
    key_skew: float = 30.0


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
        self._classifier: Classifier | None = None
        self.exchange = Exchange(me, incarnation, self.placement, self.quarantine)
        self.routing = Routing(me, region, self.placement, rng)
        self._inflight = InFlight(region, self.placement, self.quarantine, self.keys)
        self._finals = Finals(self.keys, self.placement)
        self._pipeline = Pipeline(
            self.keys,
            self.quarantine,
            self.routing,
            self.placement,
            self._inflight,
            self._finals,
        )
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
        self.routing.apply_policy(policy, now)
        self._assign(now)
        out: list[Action] = []
        self._pipeline.run_waiting(now, out)
        return out

    def view_changed(self, view: MemberView, now: float) -> list[Action]:
        """Take a new view of the live entries."""
        self.view = view
        self._assign(now)
        out: list[Action] = []
        self._pipeline.run_waiting(now, out)
        return out

    def plan_accepted(self, splits: Splits) -> None:
        """Let the splits of a plan, by service and home region, go before the policy's."""
        self.routing.apply_plan(splits)

    def _assign(self, now: float) -> None:
        if self.policy is None or self.me not in self.view.by_id:
            return
        for own in self.placement.assign(self.policy, self.view, now):
            # The entry that owned the target before may still have requests running on it, so its
            # slots are reduced until those have reached their deadlines.
            if not self._first_assignment:
                service = self.policy.services_by_name[own.target.service]
                own.ramp.handover(now, now + service.max_deadline)
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
        self._pipeline.enter(item.ok, self.view, now, wall, out)
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
        self._pipeline.run_waiting(now, out)
        return out

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
        self._pipeline.run_waiting(now, out)
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
        self._inflight.failed(work, attempt, failure, crashed, now, retry_after)
        self._pipeline.failed(work, attempt, failure, resumable, retry_after, now, out)
        self._pipeline.run_waiting(now, out)
        return out

    # Claims and outcomes in the store

    def claim_settled(self, request_id: str, claim: SettledClaim, now: float) -> list[Action]:
        """Go on with a foreign key whose claim was tried."""
        out: list[Action] = []
        work = self._finals.get(request_id)
        if work is not None:
            self._pipeline.claimed(work, claim, self.view, now, out)
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
        for work in self.placement.remove_late(now):
            self._pipeline.refuse(
                work, self.placement.overload_refusal(work.service.name, now), out
            )
        self._pipeline.refuse_overdue_at_store(now, out)
        self.keys.expire(now, wall)
        self._pipeline.run_waiting(now, out)
        return out

    def next_wake(self, now: float) -> float | None:
        """Return when ``tick`` wants to be called; None if nothing waits."""
        return now + TICK_S if self.placement.total_queue_length() else None

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
