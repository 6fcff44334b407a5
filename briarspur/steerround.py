"""Planning rounds of the lease holder: collect loads, plan, write the plan fenced by its term."""

import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

from expression import Result

from briarspur import logs
from briarspur.coord.envelope import Envelope, open_envelope
from briarspur.coord.errors import StoreError, StoreUnavailableError
from briarspur.coord.store import ObjectStore, StoredObject
from briarspur.coord.writer import Unsettled, Written
from briarspur.errors import DocumentError
from briarspur.loadreport import LoadDocument
from briarspur.metrics import Metrics
from briarspur.plan import PlanDocument, parse_plan
from briarspur.planner import Planner
from briarspur.policy import Policy, compile_policy
from briarspur.revision import POLICY_NAME, decode_revision

__all__ = ["LeaseState", "PlanWriter", "PolicyReader", "SteerRounds"]


class LeaseState(Protocol):
    """The part of the lease that a round uses."""

    term: int

    def is_held(self, now: float) -> bool:
        """Return whether this process holds the lease at ``now``."""


class PlanWriter(Protocol):
    """Writes the stored object of the plan while the lease is held."""

    @property
    def base(self) -> StoredObject | None:
        """The stored object that the next write replaces."""

    async def write(self, body: str, now: float) -> object:
        """Write the plan; with any outcome but ``Written`` it may not be in force."""


class PolicyReader:
    """Reads the policy, and ignores versions that are invalid or older than the last one."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self.policy: Policy | None = None

    async def read(self) -> Policy | None:
        """Return the newest valid policy read so far, or None."""
        try:
            stored_policy = await self._store.get(POLICY_NAME)
        except StoreError:
            return self.policy
        if stored_policy is None or (
            self.policy is not None and stored_policy.version <= self.policy.version
        ):
            return self.policy
        try:
            revision = decode_revision(stored_policy.value, stored_policy.version)
        except DocumentError as error:
            logs.event(
                "policy-rejected", logging.WARNING, version=stored_policy.version, error=str(error)
            )
            return self.policy
        self.policy = compile_policy(revision.document, stored_policy.version)
        return self.policy


class SteerRounds:
    """Plans while the lease is held.

    Parameters
    ----------
    lease : LeaseState
    writer : PlanWriter
    policy_reader : PolicyReader
    planner : Planner
    collect : callable
        Returns the load reports that were received.
    clock : callable
        Monotonic seconds.
    metrics : Metrics
    """

    def __init__(
        self,
        lease: LeaseState,
        writer: PlanWriter,
        policy_reader: PolicyReader,
        planner: Planner,
        collect: Callable[[], Awaitable[list[LoadDocument]]],
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._lease = lease
        self._writer = writer
        self._policy_reader = policy_reader
        self._planner = planner
        self._collect = collect
        self._clock = clock
        self._metrics = metrics
        self._term = 0
        self.last_plan: PlanDocument | None = None
        self.entries_reporting = 0
        self.policy_version = 0
        self.headroom: dict[tuple[str, str], float] = {}

    async def run(self) -> bool:
        """Run one round; return whether a plan was written."""
        if not self._lease.is_held(self._clock()):
            self._term = 0
            return False
        if self._term != self._lease.term:
            self._begin_term()
        policy = await self._policy_reader.read()
        reports = await self._collect()
        now = self._clock()
        self.entries_reporting = len(reports)
        for report in reports:
            self._planner.add_report(report, now)
        if policy is None:
            return False
        self.policy_version = policy.version
        self._update_headroom(policy, now)
        plan = self._planner.next_plan(policy, now)
        return plan is not None and await self._write(plan)

    def _begin_term(self) -> None:
        """Continue from the stored plan under a new term."""
        self._term = self._lease.term
        self.last_plan = _parse_stored_plan(self._writer.base)
        self._planner.begin_term(self._term, self.last_plan, self._clock())
        logs.event("lease-taken", term=self._term)

    async def _write(self, plan: PlanDocument) -> bool:
        try:
            outcome = await self._writer.write(plan.model_dump_json(), self._clock())
        except StoreUnavailableError as error:
            outcome = error
        if isinstance(outcome, Written):
            self.last_plan = plan
            self._metrics.count("plans_written")
            logs.event("plan-written", term=plan.term, number=plan.number)
            return True
        logs.event("plan-not-written", logging.WARNING, term=plan.term, outcome=repr(outcome))
        if isinstance(outcome, Unsettled):
            # It may be in force: the next term continues from the plan that is stored then.
            return False
        # The planner counted the step as done; start again from the plan that is in force.
        self._planner.begin_term(self._term, self.last_plan, self._clock())
        return False

    def _update_headroom(self, policy: Policy, now: float) -> None:
        self.headroom = self._planner.headroom(policy, now)
        for (service, region), rate in self.headroom.items():
            self._metrics.gauge("headroom", rate, f"{service}.{region}")
        self._metrics.gauge("entries_reporting", self.entries_reporting)


def _parse_stored_plan(stored: StoredObject | None) -> PlanDocument | None:
    """Parse the stored plan; return None if it is absent or invalid."""
    if stored is None:
        return None
    opened: Result[Envelope, str] = open_envelope(stored.value)
    envelope = opened.default_value(None)
    if envelope is None or not envelope.body:
        return None
    try:
        return parse_plan(envelope.body)
    except DocumentError as error:
        logs.event("plan-rejected", logging.WARNING, error=str(error))
        return None
