"""The state of an entry around its decision core: policy, plan, members, look-ups and status."""

import logging
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Result

from briarspur import logs
from briarspur.blocks import BlockTable
from briarspur.codes import CODES, Code, Ran
from briarspur.coord.envelope import open_envelope
from briarspur.coord.invariants import invariants
from briarspur.coord.store import StoredObject
from briarspur.core import Core, CoreSettings
from briarspur.errors import DocumentError
from briarspur.levels import ServiceLevelCounter
from briarspur.loadreport import LoadMeter, SlotCount
from briarspur.lookup import LookupTable
from briarspur.members import MemberView
from briarspur.messages import Action, Request
from briarspur.metrics import Metrics
from briarspur.pacing import RegionPacing
from briarspur.plan import PLAN_NAME, PlanOrder, parse_plan
from briarspur.policy import Policy, compile_policy
from briarspur.refusal import Refusal
from briarspur.revision import decode_revision
from briarspur.settings import EntrySettings
from briarspur.status import BudgetStatus, DrainStatus, EntryStatus
from briarspur.target import OwnTargets

__all__ = ["EntryNode", "NodeClock"]

NOT_READY_RETRY_AFTER_S = 1.0
SERVICE_ANSWERS = frozenset({Code.ANSWERED, Code.REPLAYED})


@dataclass(frozen=True, slots=True)
class NodeClock:
    """Monotonic and Unix time, both in seconds."""

    monotonic: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time


class EntryNode:
    """State of one entry around its decision core.

    Attributes
    ----------
    core : Core or None
        None until the first policy determines the region of the entry.
    on_core_created : callable
        Called once with the new core; supplies it with the first view of the members.
    on_actions : callable
        Performs the actions that result from a change of the policy or the members.
    is_current : callable
        Returns whether the policy in force is recent enough to accept callers.
    """

    core_type: type[Core] = Core

    def __init__(
        self, settings: EntrySettings, incarnation: str, metrics: Metrics, clock: NodeClock
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.core: Core | None = None
        self.policy: Policy | None = None
        self.view = MemberView()
        self.pacing = RegionPacing()
        self.leaving = False
        self.on_core_created: Callable[[Core], None] = lambda core: None
        self.on_actions: Callable[[list[Action]], None] = lambda actions: None
        self.is_current: Callable[[], bool] = lambda: True
        self.plan_version = 0
        self._metrics = metrics
        self._clock = clock
        self._started_at = clock.monotonic()
        self._levels = ServiceLevelCounter(
            settings.entry_id, incarnation, settings.zone, self._started_at
        )
        self._blocks: BlockTable | None = None
        self._lookups: LookupTable | None = None
        self._leaving_since_by_target: dict[str, float] = {}
        self._plans = PlanOrder()
        self._meter: LoadMeter | None = None

    @property
    def region(self) -> str:
        """The region of this entry's zone; empty until a policy that lists the zone is in force."""
        if self.policy is None:
            return ""
        return self.policy.region_by_zone.get(self.settings.zone, "")

    # Policy, plan and members

    def load_policy(self, stored: StoredObject) -> bool:
        """Apply a newer version of the policy if it is valid; return whether it is now in force."""
        try:
            document = decode_revision(stored.value, stored.version).document
        except DocumentError as error:
            return self._reject(stored, str(error))
        policy = compile_policy(document, stored.version)
        if self.settings.zone not in policy.region_by_zone:
            return self._reject(stored, f"does not name this entry's zone {self.settings.zone}")
        region = self.region
        if region and policy.region_by_zone[self.settings.zone] != region:
            return self._reject(stored, f"moves this entry's zone out of {region}")
        self._apply_policy(policy)
        return True

    def load_plan(self, stored: StoredObject) -> bool:
        """Apply a newer version of the plan if it is valid; return whether it is now in force."""
        envelope = open_envelope(stored.value)
        if envelope.is_error():
            return self._reject(stored, envelope.error)
        if not envelope.ok.body:
            # No plan was written yet; a new lease holder only raised the term.
            return False
        try:
            plan = parse_plan(envelope.ok.body)
        except DocumentError as error:
            return self._reject(stored, str(error))
        if plan == self._plans.in_force:
            # A new lease holder rewrote the plan under its own term, before it creates a new one.
            self.plan_version = stored.version
            return True
        if not self._plans.accept(plan):
            return self._reject(
                stored, f"plan of term {plan.term} is not newer than the plan in force"
            )
        self.plan_version = stored.version
        logs.event("plan-in-force", version=stored.version, term=plan.term, holder=plan.holder)
        self._apply_plan()
        return True

    def _apply_plan(self) -> None:
        if self.core is not None and self._plans.in_force is not None:
            self.core.plan_accepted(self._plans.in_force.as_splits())

    def _reject(self, stored: StoredObject, reason: str) -> bool:
        event = "plan-rejected" if stored.name == PLAN_NAME else "policy-rejected"
        logs.event(event, logging.ERROR, version=stored.version, error=reason)
        return False

    def _apply_policy(self, policy: Policy) -> None:
        now = self._clock.monotonic()
        self.policy = policy
        self._blocks = BlockTable.from_prefixes(policy.default_home, policy.homes_by_prefix)
        self.pacing.apply_policy(policy, now)
        latency_by_service = {
            name: service.objective.latency for name, service in policy.services_by_name.items()
        }
        self._levels.set_objectives(latency_by_service)
        is_first = self.core is None
        core = self.core or self._create_core(now)
        actions = core.policy_accepted(policy, self.home_of, now)
        if is_first:
            self.on_core_created(core)
            self._apply_plan()
        self._rebuild_lookups(core)
        self._metrics.gauge("policy_version", policy.version)
        logs.event("policy-in-force", version=policy.version, entry=self.settings.entry_id)
        self.on_actions(actions)

    def _create_core(self, now: float) -> Core:
        seed = self.settings.seed
        # Callers must not be able to predict request order and keys, so the seed comes from the
        # system's random source.
        rng = random.Random(seed if seed is not None else random.SystemRandom().getrandbits(64))
        core_settings = CoreSettings(
            queue_limit=self.settings.limits.queued,
            remembered_keys=self.settings.limits.remembered_keys,
        )
        self.core = self.core_type(
            self.settings.entry_id, self.region, self.incarnation, rng, now, core_settings
        )
        self._meter = LoadMeter(self.settings.entry_id, self.incarnation, self.region)
        return self.core

    def view_changed(self, view: MemberView) -> None:
        """Apply a new view of the live entries."""
        self.view = view
        if self.core is None:
            return
        self.on_actions(self.core.view_changed(view, self._clock.monotonic()))
        self._rebuild_lookups(self.core)

    def _rebuild_lookups(self, core: Core) -> None:
        if self.policy is not None:
            self._lookups = LookupTable(self.policy, self.view, core.rule)

    def set_block_table(self, blocks: BlockTable) -> None:
        """Replace the table of blocks from the prefixes in the policy."""
        self._blocks = blocks

    def home_of(self, block: int) -> str:
        """Return the home region of a block of clients."""
        assert self._blocks is not None
        return self._blocks.home(block)

    # Look-ups

    def look_up(self, service: str, block: int) -> Result[bytes, Refusal]:
        """Return the response to a look-up, a JSON document."""
        if self._lookups is None or self._blocks is None:
            return Error(Refusal(Code.NOT_READY, retry_after=NOT_READY_RETRY_AFTER_S))
        home = self._blocks.home(block)
        return self._lookups.answer(service, block, home, self._clock.wall())

    # Events of the request driver; see RequestObserver

    def arrived(self, request: Request) -> None:
        """Count a caller's request; a forwarded one was counted by the entry that forwarded it."""
        if request.forwarded_by is not None or self._meter is None or self._blocks is None:
            return
        service = self._service_of(request.path)
        if service:
            home = self._blocks.home(request.block)
            self._meter.record_arrival(service, home, self._clock.monotonic())

    def answered(self, request: Request, region: str, code: Code, seconds: float) -> None:
        """Count a final answer; log it if it is not an answer of the service."""
        if request.forwarded_by is None and code not in SERVICE_ANSWERS:
            self._log_final(request, region, code, seconds)
        if self.policy is None or self._meter is None:
            return
        service = self._service_of(request.path)
        if service and region and code is Code.ANSWERED:
            self._meter.record_response(service, seconds, self._clock.monotonic())
        if request.forwarded_by is not None:
            return
        self._metrics.count("answers", code.name)
        if service:
            self._metrics.timing("answer_ms", seconds * 1000.0, service)
            self._levels.record(service, region or self.region, int(code), seconds)

    def _log_final(self, request: Request, region: str, code: Code, seconds: float) -> None:
        """Log a refusal or a failure, only at the entry that received it from the caller."""
        logs.event(
            "refused" if CODES[code].ran is Ran.NO else "failed",
            code=int(code),
            code_name=code.name,
            request_id=request.request_id,
            entry=self.settings.entry_id,
            region=region or None,
            policy_version=self.policy.version if self.policy is not None else 0,
            seconds=f"{seconds:.3f}",
        )

    def _service_of(self, path: str) -> str:
        assert self.policy is not None
        for service in self.policy.services_by_name.values():
            base = service.path.rstrip("/")
            if path.startswith(base) and path[len(base) : len(base) + 1] in ("", "/", "?"):
                return service.name
        return ""

    def target_leaving(self, target_id: str) -> None:
        """Record that a backend server reported in an answer that it is leaving.

        It is assigned no new work, here and, through the exchange of news, at the other entries.
        """
        now = self._clock.monotonic()
        self._leaving_since_by_target.setdefault(target_id, now)
        if self.core is not None:
            self.core.exchange.record_leaving(target_id, now, now)

    # Status and load

    def is_ready(self) -> bool:
        """Return whether the entry accepts callers."""
        if self.leaving or self.core is None or not self.is_current():
            return False
        return self.core.ready()

    def status(self) -> dict[str, object]:
        """Return the fields of the status page."""
        now = self._clock.monotonic()
        plan = self._plans.in_force
        status = EntryStatus(
            entry_id=self.settings.entry_id,
            incarnation=self.incarnation,
            region=self.region,
            zone=self.settings.zone,
            ready=self.is_ready(),
            policy_version=self.policy.version if self.policy else 0,
            plan_version=self.plan_version,
            plan_term=plan.term if plan else 0,
            plan_holder=plan.holder if plan else "",
            drains=self._drains(now),
            budgets=self._budgets(now),
        )
        core = self.core
        return {
            **status.model_dump(mode="json"),
            "leaving": self.leaving,
            "members": sorted(self.view.by_id),
            "in_flight": core.in_flight() if core else 0,
            "open_requests": core.open_requests() if core else 0,
            "keys": len(core.keys) if core else 0,
            "invariant_violations": dict(invariants.violations_by_name),
        }

    def service_levels(self) -> dict[str, object]:
        """Return the counts of the service-level page."""
        return self._levels.snapshot(self._clock.monotonic())

    def load_report(self) -> bytes:
        """Return this entry's load report, for the planner; empty if there is no core yet."""
        if self.core is None or self._meter is None:
            return b""
        now = self._clock.monotonic()
        counts = {
            service: _slot_count(targets, self.core.placement.queue_length(service), now)
            for service, targets in self.core.placement.targets_by_service.items()
        }
        return self._meter.next_report(counts, now).model_dump_json().encode()

    def _drains(self, now: float) -> list[DrainStatus]:
        if self.core is None:
            return []
        drains = []
        for targets in self.core.placement.targets_by_service.values():
            for target_id, own in targets.by_id.items():
                if own.is_leaving(now):
                    since = self._leaving_since_by_target.setdefault(target_id, now)
                    drains.append(
                        DrainStatus(
                            target_id=target_id, in_flight=own.in_flight, seconds=now - since
                        )
                    )
                else:
                    self._leaving_since_by_target.pop(target_id, None)
        return drains

    def _budgets(self, now: float) -> list[BudgetStatus]:
        if self.core is None or self.policy is None:
            return []
        account = self.core.account
        free, held = account.free(now, now), account.held(now)
        return [BudgetStatus(name=account.resource, left=free, limit=held)]


def _slot_count(targets: OwnTargets, queued: int, now: float) -> SlotCount:
    accepting = [own for own in targets.by_id.values() if not own.is_leaving(now)]
    warm = sum(min(own.slots, own.ramp.limit(now)) for own in accepting)
    return SlotCount(sum(own.slots for own in accepting), warm, queued)
