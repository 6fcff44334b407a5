"""Pipeline filter that places a request: on an own target, at another owner, or in the queue."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from briarspur.codes import Code
from briarspur.coord.escrow import Account, EscrowSettings
from briarspur.coord.outlier import OutlierDetector
from briarspur.loads import LoadEstimates, LoadReport
from briarspur.members import MemberView, ViewedMember
from briarspur.messages import Priority
from briarspur.ownership import SlotRule
from briarspur.policy import Policy, Target
from briarspur.refusal import Refusal
from briarspur.target import Chooser, OwnTarget, OwnTargets
from briarspur.waitqueue import WaitQueue
from briarspur.work import Work

__all__ = ["Placement", "PlacementResult", "Queued", "Refused", "ToEntry", "ToTarget"]

MAX_REGION_SHARE_BY_PRIORITY = {
    Priority.ONCE_ONLY: 1.0,
    Priority.INTERACTIVE: 1.0,
    Priority.DOWNLOAD: 0.9,
    Priority.BULK: 0.7,
}
"""Part of this entry's units of the region's limit that requests of each priority may fill."""

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 10.0
NO_TARGET_RETRY_AFTER_S = 1.0
"""Bounds of the Retry-After value of a refusal, and its value when there is no target."""


@dataclass(frozen=True, slots=True)
class ToTarget:
    """Dispatch to this target; its slot and the region's unit are already acquired."""

    target: OwnTarget


@dataclass(frozen=True, slots=True)
class ToEntry:
    """Forward to this entry, which owns targets in the region."""

    member: ViewedMember


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits in this entry's queue for a slot.

    Attributes
    ----------
    evicted : Work or None
        A request of lower priority that was evicted from the full queue.
    """

    evicted: Work | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """The request can't be placed."""

    refusal: Refusal


PlacementResult = ToTarget | ToEntry | Queued | Refused


class Placement:
    """The targets, slots and queues of one entry.

    ``account`` holds this entry's part of the region's in-flight limit.

    Parameters
    ----------
    entry_id : str
        This entry's id.
    region : str
        This entry's region, which contains all of its targets.
    queue_limit : int
        Maximum number of waiting requests for each service.
    """

    def __init__(
        self,
        entry_id: str,
        region: str,
        rule: SlotRule,
        chooser: Chooser,
        rng: random.Random,
        queue_limit: int,
    ) -> None:
        self.region = region
        self.account = Account(f"in-flight/{region}", 0)
        self.loads = LoadEstimates()
        self.targets_by_service: dict[str, OwnTargets] = {}
        self.outliers_by_service: dict[str, OutlierDetector] = {}
        self._entry_id = entry_id
        self._rule = rule
        self._chooser = chooser
        self._rng = rng
        self._queue_limit = queue_limit
        self._queues_by_service: dict[str, WaitQueue] = {}
        self._owners_by_flow: dict[tuple[str, str], list[ViewedMember]] = {}
        self._has_limit = False

    def set_limit(self, share: int, now: float, settings: EscrowSettings) -> None:
        """Set this entry's share of the region's in-flight limit from a new policy.

        The first share is usable immediately, except for the part that an earlier process of this
        entry may have lent. Later changes take effect by the rules of the account.
        """
        if self._has_limit:
            self.account.set_max_use(settings.max_use, now)
            self.account.set_base(share, now)
            return
        self.account = Account(self.account.resource, share, now, settings, fresh=True)
        self._has_limit = True

    def assign(self, policy: Policy, view: MemberView, now: float) -> list[OwnTarget]:
        """Apply a new policy or member view; return the targets that this entry newly owns."""
        self._owners_by_flow.clear()
        new_targets: list[OwnTarget] = []
        for service in policy.services_by_name:
            self._ensure_service(service)
            targets = policy.targets_of(service, self.region)
            new_targets += self._assign_service(service, targets, view, now)
            for region in policy.regions_by_name:
                self._owners_by_flow[service, region] = self._owners_of(
                    policy, view, service, region
                )
        return new_targets

    def _ensure_service(self, service: str) -> None:
        if service not in self.targets_by_service:
            self.targets_by_service[service] = OwnTargets(service, self._chooser)
            self.outliers_by_service[service] = OutlierDetector()
            self._queues_by_service[service] = WaitQueue(self._queue_limit)

    def _assign_service(
        self, service: str, targets: list[Target], view: MemberView, now: float
    ) -> list[OwnTarget]:
        own = self.targets_by_service[service]
        members = view.serving(self.region)
        slots = self._rule.slots_by_target(targets, members, self._entry_id) if members else {}
        new_ids = own.assign(targets, slots)
        self.outliers_by_service[service].set_targets(sorted(slots))
        return [own.by_id[target_id] for target_id in sorted(new_ids)]

    def _owners_of(
        self, policy: Policy, view: MemberView, service: str, region: str
    ) -> list[ViewedMember]:
        targets = policy.targets_of(service, region)
        members = view.serving(region)
        if not targets or not members:
            return []
        owned = self._rule.targets_by_entry(targets, members)
        return [view.by_id[entry_id] for entry_id in sorted(owned)]

    def is_usable(self, service: str, region: str) -> bool:
        """Return whether an entry in a region owns a target of the service."""
        return bool(self._owners_by_flow.get((service, region)))

    def has_room(self, service: str, region: str, now: float) -> bool:
        """Return whether another entry there is estimated to have a free slot for the service."""
        return any(
            self.loads.free_slots(member.address.entry_id, service, now) > 0
            for member in self._owners_by_flow.get((service, region), [])
            if member.address.entry_id != self._entry_id
        )

    def place(self, work: Work, now: float, may_forward: bool) -> PlacementResult:
        """Place a request without exceeding a limit."""
        if work.region == self.region:
            target = self._acquire(work, now)
            if target is not None:
                return ToTarget(target)
        best = self._least_loaded_entry(work, now) if may_forward else None
        if best is not None and (
            self._estimated_free_slots(best, work, now) > 0 or not self._may_queue(work, now)
        ):
            return ToEntry(best)
        if self._may_queue(work, now):
            return self._enqueue(work, now)
        return Refused(self._refusal(work, now))

    def _acquire(self, work: Work, now: float) -> OwnTarget | None:
        """Acquire a slot of a target and a unit of the region's limit, or neither."""
        service = work.service.name
        # After a pause of the process, its queue is full of requests whose callers have given up.
        if now >= work.deadline:
            return None
        if self._queues_by_service[service].ahead_of(work.priority) > 0 and not work.queued:
            return None
        ejected = self.outliers_by_service[service].ejected_targets(now)
        target = self.targets_by_service[service].choose(work, ejected, now)
        if target is None or not self._acquire_region_unit(work, now):
            return None
        return target

    def _acquire_region_unit(self, work: Work, now: float) -> bool:
        share = MAX_REGION_SHARE_BY_PRIORITY[work.priority]
        if share < 1.0 and self.account.in_use >= share * self.account.held(now):
            # Reserve the last part for higher priorities, but only as much as they could use here:
            # an entry owns targets of some services only, and a larger reserve would stay idle.
            spare = self.account.free(now, work.deadline) - 1
            if spare < self._free_slots_of_other_services(work.service.name, now):
                return False
        return self.account.acquire(now, work.deadline)

    def _free_slots_of_other_services(self, service: str, now: float) -> int:
        """Return the number of free slots of own targets of all other services."""
        others = [t for name, t in self.targets_by_service.items() if name != service]
        return sum(targets.free_slots(now) for targets in others)

    def _least_loaded_entry(self, work: Work, now: float) -> ViewedMember | None:
        """Return the other owner in the region with the most estimated free slots."""
        owners = [
            member
            for member in self._owners_by_flow.get((work.service.name, work.region), [])
            if member.address.entry_id != self._entry_id
            and member.address.entry_id not in work.failed_entries
        ]
        if not owners:
            return None
        most = max(self._estimated_free_slots(member, work, now) for member in owners)
        return self._rng.choice(
            [m for m in owners if self._estimated_free_slots(m, work, now) == most]
        )

    def _estimated_free_slots(self, member: ViewedMember, work: Work, now: float) -> float:
        return self.loads.free_slots(member.address.entry_id, work.service.name, now)

    def _may_queue(self, work: Work, now: float) -> bool:
        """Return whether a request that waits here is likely to finish before its deadline.

        A request that would miss its deadline is refused immediately. Otherwise it would occupy a
        slot that another request could use, and its caller would be refused only at the deadline.
        """
        if work.region != self.region or self._queue_limit == 0:
            return False
        targets = self.targets_by_service[work.service.name]
        ahead = self._queues_by_service[work.service.name].ahead_of(work.priority)
        wait = targets.estimate_wait(ahead, now) + targets.mean_latency
        return targets.accepts_work(now, work.failed_targets) and now + wait < work.deadline

    def _enqueue(self, work: Work, now: float) -> PlacementResult:
        evicted = self._queues_by_service[work.service.name].push(work)
        return Refused(self._refusal(work, now)) if evicted is work else Queued(evicted)

    def _refusal(self, work: Work, now: float) -> Refusal:
        service = work.service.name
        if work.region != self.region or not self.targets_by_service[service].accepts_work(now):
            return Refusal(Code.NO_TARGET, service, self.retry_after(service, now))
        full = self.account.held(now) <= self.account.in_use
        code = Code.REGION_FULL if full else Code.OVERLOADED
        return Refusal(code, service, self.retry_after(service, now))

    def overload_refusal(self, service: str, now: float) -> Refusal:
        """Return the refusal for a request that would miss its deadline in the queue."""
        return Refusal(Code.OVERLOADED, service, self.retry_after(service, now))

    def retry_after(self, service: str, now: float) -> float:
        """Return the estimated seconds to drain the queue, with jitter to keep retries apart."""
        targets = self.targets_by_service.get(service)
        waiting = self._queues_by_service.get(service)
        wait = targets.estimate_wait(len(waiting), now) if targets and waiting is not None else inf
        if wait == inf:
            # Without a target there is no wait to estimate; the next view may bring a target.
            wait = NO_TARGET_RETRY_AFTER_S
        wait = min(max(wait, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return wait * (1 + self._rng.random())

    def next_waiting(self, now: float) -> tuple[Work, OwnTarget] | None:
        """Dequeue a request that can run now, with its target; the highest priority first."""
        queues = [queue for queue in self._queues_by_service.values() if len(queue)]
        for queue in sorted(queues, key=lambda queue: queue.first_priority()):
            work = queue.pop()
            if work is None:
                continue
            work.queued = True
            target = self._acquire(work, now)
            work.queued = False
            if target is not None:
                return work, target
            queue.push_front(work)
        return None

    def remove_late(self, now: float) -> list[Work]:
        """Remove and return the waiting requests that would miss their deadlines."""
        removed: list[Work] = []
        for service, queue in self._queues_by_service.items():
            if not len(queue):
                continue
            targets = self.targets_by_service[service]
            waits = [targets.estimate_wait(n, now) for n in range(len(queue))]
            late = queue.remove_late(now, waits, targets.mean_latency)
            removed += late
        return removed

    def mark_leaving(self, target_id: str, until: float) -> None:
        """Send no new requests to a leaving target before the time ``until``."""
        for targets in self.targets_by_service.values():
            own = targets.by_id.get(target_id)
            if own is not None:
                own.reported_leaving_until = until

    def dequeue(self, work: Work) -> None:
        """Remove a request from the queue if it is waiting."""
        self._queues_by_service[work.service.name].remove(work)

    def queue_length(self, service: str) -> int:
        """Return the number of waiting requests of a service."""
        return len(self._queues_by_service[service])

    def total_queue_length(self) -> int:
        """Return the number of waiting requests of all services."""
        return sum(len(queue) for queue in self._queues_by_service.values())

    def load_reports(self, now: float) -> Iterable[LoadReport]:
        """Yield the reports on this entry's free slots that other entries receive."""
        for service, targets in self.targets_by_service.items():
            if targets.accepts_work(now):
                free = min(targets.free_slots(now), self.account.free(now, now))
                queued = len(self._queues_by_service[service])
                yield LoadReport(self._entry_id, service, max(free, 0), queued)
