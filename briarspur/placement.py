"""Filter: where a request runs: on a target of ours, at another owner, or later."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from briarspur.codes import Code
from briarspur.coord.escrow import Account, EscrowSettings
from briarspur.coord.outlier import Outliers
from briarspur.loads import LoadReport, Loads
from briarspur.members import MemberView, ViewedMember
from briarspur.messages import Priority
from briarspur.ownership import SlotRule
from briarspur.policy import Policy, Target
from briarspur.refusal import Refusal
from briarspur.target import Chooser, OwnTarget, OwnTargets
from briarspur.waitqueue import WaitQueue
from briarspur.work import Work

__all__ = ["Placed", "Placement", "Queued", "Refused", "ToEntry", "ToTarget"]

REGION_SHARE_BY_PRIORITY = {
    Priority.ONCE_ONLY: 1.0,
    Priority.INTERACTIVE: 1.0,
    Priority.DOWNLOAD: 0.9,
    Priority.BULK: 0.7,
}
"""Part of what we hold of the region's limit up to which each priority may fill it."""

MIN_RETRY_AFTER = 0.2
MAX_RETRY_AFTER = 10.0
NO_TARGET_RETRY_AFTER = 1.0
"""Bounds in seconds of what a refused caller is told, and what it is told without a target."""


@dataclass(frozen=True, slots=True)
class ToTarget:
    """Dispatch to this target; its slot and the region's unit are already taken."""

    own: OwnTarget


@dataclass(frozen=True, slots=True)
class ToEntry:
    """Forward to this entry, which owns targets in the region."""

    member: ViewedMember


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits here for a slot.

    Attributes
    ----------
    evicted : Work or None
        A request of lower priority that had to go for it.
    """

    evicted: Work | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """The request can't be placed."""

    refusal: Refusal


Placed = ToTarget | ToEntry | Queued | Refused


class Placement:
    """The targets, slots and queues of one entry.

    Its ``account`` is this entry's part of the region's in-flight limit.

    Parameters
    ----------
    me : str
        This entry's id.
    region : str
        This entry's region; its targets are all in it.
    queue_limit : int
        Requests that may wait, for each service.
    """

    def __init__(
        self,
        me: str,
        region: str,
        rule: SlotRule,
        chooser: Chooser,
        rng: random.Random,
        queue_limit: int,
    ) -> None:
        self.region = region
        self.account = Account(f"in-flight/{region}", 0)
        self.loads = Loads()
        self.targets_by_service: dict[str, OwnTargets] = {}
        self.outliers_by_service: dict[str, Outliers] = {}
        self._me = me
        self._rule = rule
        self._chooser = chooser
        self._rng = rng
        self._queue_limit = queue_limit
        self._waiting_by_service: dict[str, WaitQueue] = {}
        self._owners_by_flow: dict[tuple[str, str], list[ViewedMember]] = {}
        self._limited = False

    def set_limit(self, share: int, now: float, settings: EscrowSettings) -> None:
        """Take this entry's share of the region's in-flight limit from a new policy.

        The first share is used at once, but for the part that an earlier process of this entry may
        have lent; later ones by the rules of the account.
        """
        if self._limited:
            self.account.set_longest_use(settings.longest_use, now)
            self.account.set_base(share, now)
            return
        self.account = Account(self.account.resource, share, now, settings, fresh=True)
        self._limited = True

    def assign(self, policy: Policy, view: MemberView, now: float) -> list[OwnTarget]:
        """Take a new policy or view of the members; return the targets that are new to us."""
        self._owners_by_flow.clear()
        new: list[OwnTarget] = []
        for service in policy.services_by_name:
            self._add_service(service)
            targets = policy.targets_of(service, self.region)
            new += self._assign_service(service, targets, view, now)
            for region in policy.regions_by_name:
                self._owners_by_flow[service, region] = self._owners(policy, view, service, region)
        return new

    def _add_service(self, service: str) -> None:
        if service not in self.targets_by_service:
            self.targets_by_service[service] = OwnTargets(service, self._chooser)
            self.outliers_by_service[service] = Outliers()
            self._waiting_by_service[service] = WaitQueue(self._queue_limit)

    def _assign_service(
        self, service: str, targets: list[Target], view: MemberView, now: float
    ) -> list[OwnTarget]:
        own = self.targets_by_service[service]
        members = view.serving(self.region)
        slots = self._rule.slots_by_target(targets, members, self._me) if members else {}
        new_ids = own.assign(targets, slots)
        self.outliers_by_service[service].set_targets(sorted(slots))
        return [own.by_id[target_id] for target_id in sorted(new_ids)]

    def _owners(
        self, policy: Policy, view: MemberView, service: str, region: str
    ) -> list[ViewedMember]:
        targets = policy.targets_of(service, region)
        members = view.serving(region)
        if not targets or not members:
            return []
        owned = self._rule.entries_of(targets, members)
        return [view.by_id[entry_id] for entry_id in sorted(owned)]

    def usable(self, service: str, region: str) -> bool:
        """Tell whether a region has an entry that owns a target of the service."""
        return bool(self._owners_by_flow.get((service, region)))

    def has_room(self, service: str, region: str, now: float) -> bool:
        """Tell whether another entry is thought to have a free slot for the service there."""
        return any(
            self.loads.free(member.address.entry_id, service, now) > 0
            for member in self._owners_by_flow.get((service, region), [])
            if member.address.entry_id != self._me
        )

    def place(self, work: Work, now: float, may_forward: bool) -> Placed:
        """Find a place for a request; never one that would exceed a limit."""
        if work.region == self.region:
            own = self._take(work, now)
            if own is not None:
                return ToTarget(own)
        best = self._best_entry(work, now) if may_forward else None
        if best is not None and (self._free(best, work, now) > 0 or not self._may_queue(work, now)):
            return ToEntry(best)
        if self._may_queue(work, now):
            return self._queue(work, now)
        return Refused(self._refusal(work, now))

    def _take(self, work: Work, now: float) -> OwnTarget | None:
        """Take a slot of a target and a unit of the region's limit, or neither."""
        service = work.service.name
        # A process that was paused finds its queue full of requests nobody waits for any more.
        if now >= work.deadline:
            return None
        if self._waiting_by_service[service].ahead_of(work.priority) > 0 and not work.queued:
            return None
        ejected = self.outliers_by_service[service].ejected_targets(now)
        own = self.targets_by_service[service].choose(work, ejected, now)
        if own is None or not self._take_region(work, now):
            return None
        return own

    def _take_region(self, work: Work, now: float) -> bool:
        share = REGION_SHARE_BY_PRIORITY[work.priority]
        if share < 1.0 and self.account.in_use >= share * self.account.held(now):
            # The last part is kept for those who go first, as far as they could use it here: an
            # entry owns targets of some services only, and idle ones would be closed for nobody.
            spare = self.account.free(now, work.deadline) - 1
            if spare < self._free_slots_beside(work.service.name, now):
                return False
        return self.account.take(now, work.deadline)

    def _free_slots_beside(self, service: str, now: float) -> int:
        """Return the free slots of our targets of all other services."""
        others = [t for name, t in self.targets_by_service.items() if name != service]
        return sum(targets.free_slots(now) for targets in others)

    def _best_entry(self, work: Work, now: float) -> ViewedMember | None:
        """Return the owner in the region that seems to have the most free slots, not ourselves."""
        owners = [
            member
            for member in self._owners_by_flow.get((work.service.name, work.region), [])
            if member.address.entry_id != self._me
            and member.address.entry_id not in work.failed_entries
        ]
        if not owners:
            return None
        most = max(self._free(member, work, now) for member in owners)
        return self._rng.choice([m for m in owners if self._free(m, work, now) == most])

    def _free(self, member: ViewedMember, work: Work, now: float) -> float:
        return self.loads.free(member.address.entry_id, work.service.name, now)

    def _may_queue(self, work: Work, now: float) -> bool:
        """Tell whether waiting here is likely to end in time.

        A request that would wait past its deadline is refused at once: kept, it would take a slot
        that another one could use, and its caller would learn of the refusal only at the end.
        """
        if work.region != self.region or self._queue_limit == 0:
            return False
        targets = self.targets_by_service[work.service.name]
        ahead = self._waiting_by_service[work.service.name].ahead_of(work.priority)
        wait = targets.estimate_wait(ahead, now) + targets.mean_latency
        return targets.accepts_work(now, work.failed_targets) and now + wait < work.deadline

    def _queue(self, work: Work, now: float) -> Placed:
        evicted = self._waiting_by_service[work.service.name].push(work)
        return Refused(self._refusal(work, now)) if evicted is work else Queued(evicted)

    def _refusal(self, work: Work, now: float) -> Refusal:
        service = work.service.name
        if work.region != self.region or not self.targets_by_service[service].accepts_work(now):
            return Refusal(Code.NO_TARGET, service, self.retry_after(service, now))
        full = self.account.held(now) <= self.account.in_use
        code = Code.REGION_FULL if full else Code.OVERLOADED
        return Refusal(code, service, self.retry_after(service, now))

    def overloaded(self, service: str, now: float) -> Refusal:
        """Return the refusal for a request that would wait too long."""
        return Refusal(Code.OVERLOADED, service, self.retry_after(service, now))

    def retry_after(self, service: str, now: float) -> float:
        """Return the seconds until the queue is served, spread so that callers return apart."""
        targets = self.targets_by_service.get(service)
        waiting = self._waiting_by_service.get(service)
        wait = targets.estimate_wait(len(waiting), now) if targets and waiting is not None else inf
        if wait == inf:
            # Without a target there is no queue to estimate: one may come with the next view.
            wait = NO_TARGET_RETRY_AFTER
        wait = min(max(wait, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
        return wait * (1 + self._rng.random())

    def next_waiting(self, now: float) -> tuple[Work, OwnTarget] | None:
        """Take a waiting request that can run now, with its target; the highest priority first."""
        queues = [queue for queue in self._waiting_by_service.values() if len(queue)]
        for queue in sorted(queues, key=lambda queue: queue.first_priority()):
            work = queue.pop()
            if work is None:
                continue
            work.queued = True
            own = self._take(work, now)
            work.queued = False
            if own is not None:
                return work, own
            queue.push_front(work)
        return None

    def hopeless(self, now: float) -> list[Work]:
        """Take out the waiting requests that would not be answered in time."""
        gone: list[Work] = []
        for service, queue in self._waiting_by_service.items():
            if not len(queue):
                continue
            targets = self.targets_by_service[service]
            wait_of = [targets.estimate_wait(n, now) for n in range(len(queue))]
            late = queue.remove_late(now, wait_of, targets.mean_latency)
            gone += late
        return gone

    def signal(self, target_id: str, until: float) -> None:
        """Give a target no new work until then, because it is known to be leaving."""
        for targets in self.targets_by_service.values():
            own = targets.by_id.get(target_id)
            if own is not None:
                own.reported_leaving_until = until

    def forget(self, work: Work) -> None:
        """Take a request out of the queue, if it waits."""
        self._waiting_by_service[work.service.name].remove(work)

    def queued(self, service: str) -> int:
        """Return how many requests of a service wait."""
        return len(self._waiting_by_service[service])

    def waiting(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue) for queue in self._waiting_by_service.values())

    def reports(self, now: float) -> Iterable[LoadReport]:
        """Yield what other entries should know of our free slots."""
        for service, targets in self.targets_by_service.items():
            if targets.accepts_work(now):
                free = min(targets.free_slots(now), self.account.free(now, now))
                queued = len(self._waiting_by_service[service])
                yield LoadReport(self._me, service, max(free, 0), queued)
