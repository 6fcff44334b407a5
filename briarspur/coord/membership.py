"""Membership: detects live members by heartbeats with suspicion, and by a lagging list of VMs.

Each period a member probes one other member. If no reply arrives, it asks two others to probe the
same member; if they get no reply either, it suspects the member and advertises the suspicion. A
suspect that doesn't refute the suspicion in time is gone. Updates are piggybacked on probes and
replies. Their number per message is bounded, so the cost per member doesn't depend on the size of
the cluster.

The VM list lags, so it only serves as a list of addresses to probe. A member that isn't on the list
is dropped only if its heartbeats fail too, or after a long timeout. A member whose heartbeats fail
leaves the view, but its address is probed again for as long as it is listed.

A member that receives heartbeats from less than half of its region is isolated. The fault is likely
its own, so it declares no member gone until the isolation ends.
"""

import heapq
import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from briarspur.coord.address import Address
from briarspur.coord.invariants import invariants
from briarspur.coord.members import (
    Member,
    MembershipSettings,
    MemberState,
    MemberUpdate,
    OutgoingProbe,
    Probe,
    Reply,
)
from briarspur.coord.membertable import REACHABLE, MemberTable

__all__ = ["Membership"]


@dataclass(slots=True)
class OpenProbe:
    """A probe that has had no reply yet."""

    receiver: str
    indirect_left: int = 0


class Membership:
    """One member's view of all members.

    Parameters
    ----------
    own_member : Member
        This process.
    rng : random.Random
        Random source for the order of probes.
    incarnation_number : int
        Initial incarnation number of this process. The wall clock in seconds is suitable: it makes
        a new process newer than the previous one with the same member id. If the number is too
        low, it is corrected at the first contact with others.
    """

    def __init__(
        self,
        own_member: Member,
        rng: random.Random,
        settings: MembershipSettings | None = None,
        incarnation_number: int = 0,
        now: float = 0.0,
    ) -> None:
        self.own_member = own_member
        self.table = MemberTable(own_member, incarnation_number, now)
        self.id_conflicts = 0
        self._rng = rng
        self._settings = settings or MembershipSettings()
        self._last_received_at = now
        self._probe_order: list[str] = []
        self._address_order: list[Address] = []
        self._addresses_to_probe: list[Address] = []
        self._addresses_basis: tuple[frozenset[Address], int] = (frozenset(), 0)
        self._filler_order: list[str] = []
        self._open_probe_by_number: dict[int, OpenProbe] = {}
        self._last_number = 0

    # The view.

    @property
    def view_version(self) -> int:
        """Increases whenever a member joins, is gone or starts to leave."""
        return self.table.view_version

    @property
    def changed_at(self) -> float:
        """When ``view_version`` last increased."""
        return self.table.changed_at

    def live(self, region: str | None = None) -> list[Member]:
        """Return the members that accept new work, including this one, ordered by id."""
        return self.table.live(region)

    def reachable(self, region: str | None = None) -> list[Member]:
        """Return the live members and the leaving ones, which still answer."""
        return self.table.reachable(region)

    def member(self, member_id: str) -> Member | None:
        """Return the reachable member with an id, None if there is none."""
        return self.table.member(member_id)

    def by_incarnation(self, incarnation: str) -> Member | None:
        """Return the reachable member with an incarnation, None if it is gone or unknown."""
        return self.table.by_incarnation(incarnation)

    def state(self, member_id: str) -> MemberState | None:
        """Return the state of a member, None if it is unknown."""
        return self.table.state(member_id)

    def isolated(self, now: float) -> bool:
        """Return whether heartbeats arrive from less than half of the region, or from nobody."""
        is_silent = now - self._last_received_at > self._settings.suspicion_timeout
        # With only two members, the survivor of a crash would never declare the other gone. With
        # more members, it is rare that all others fail at the same time.
        return (is_silent and self.table.count_others() > 1) or self.table.sees_minority()

    def has_contact(self) -> bool:
        """Return whether the VM list was read or another member is known."""
        return self.table.has_list or len(self.table.record_by_id) > 1

    def count_unknown_addresses(self) -> int:
        """Return the number of listed addresses at which no member is known."""
        return sum(self.table.id_at(address) is None for address in self.table.listed)

    def load_snapshot(self, updates: Iterable[MemberUpdate], now: float) -> None:
        """Apply all updates that another member has, at the start of this process.

        All others know these updates already, so they aren't queued to be sent. In a large fleet
        they would delay the only new update, which is that this process has started.
        """
        before = set(self.table.pending_ids)
        self.apply(updates, now)
        for member_id in self.table.pending_ids.keys() - before:
            del self.table.pending_ids[member_id]

    def set_listed_addresses(self, addresses: Iterable[Address], now: float) -> None:
        """Set the addresses of the VM list; other members are dropped only as described above."""
        self.table.set_listed_addresses(addresses, now)

    def snapshot(self) -> tuple[MemberUpdate, ...]:
        """Return all updates, for a process that has just started."""
        return tuple(record.update for record in self.table.record_by_id.values())

    # Events.

    def tick(self, now: float) -> list[OutgoingProbe]:
        """Expire suspicions and old updates, and return the probes of this period."""
        self._expire_suspicions(now)
        self.table.drop_expired(self._settings.gone_retention, self._settings.unlisted_timeout, now)
        probes = [self._probe_member(), self._probe_address()]
        return [probe for probe in probes if probe is not None]

    def on_probe(self, probe: Probe, now: float) -> tuple[MemberUpdate, ...]:
        """Apply the updates of a received probe; return the updates for its reply."""
        self._last_received_at = now
        self.apply(probe.updates, now)
        return self._piggyback(probe.sender)

    def on_reply(self, reply: Reply, now: float) -> list[OutgoingProbe]:
        """Process the reply to a probe; return probes to send now."""
        self._last_received_at = now
        self.apply(reply.updates, now)
        if not reply.acknowledged:
            return self.on_timeout(reply.number, now)
        self._open_probe_by_number.pop(reply.number, None)
        return []

    def on_timeout(self, number: int, now: float) -> list[OutgoingProbe]:
        """Process the timeout of a probe; return indirect probes to send now."""
        probe = self._open_probe_by_number.get(number)
        if probe is None:
            return []
        if probe.indirect_left == 0:
            probers = self._choose_probers(probe.receiver) if probe.receiver else []
            if probers:
                probe.indirect_left = len(probers)
                return [self._probe_indirectly(number, probe, prober) for prober in probers]
        else:
            probe.indirect_left -= 1
            if probe.indirect_left > 0:
                return []
        del self._open_probe_by_number[number]
        self._suspect(probe.receiver, now)
        return []

    def apply(self, updates: Iterable[MemberUpdate], now: float) -> None:
        """Apply updates from another member."""
        for update in updates:
            self._apply(update, now)

    def leave(self, now: float) -> None:
        """Advertise that this process accepts no new work; it still answers."""
        own_update = self.table.own_update
        self.table.set(
            replace(
                own_update,
                incarnation_number=own_update.incarnation_number + 1,
                state=MemberState.LEAVING,
            ),
            now,
        )

    def probes_of_region(self) -> list[OutgoingProbe]:
        """Return a probe of every other reachable member of this member's region."""
        members = self.reachable(self.own_member.region)
        return [
            self._probe(member.address, member.member_id)
            for member in members
            if member.member_id != self.own_member.member_id
        ]

    # Probing.

    def _probe_member(self) -> OutgoingProbe | None:
        """Return a probe of the next member, in rounds of random order."""
        while True:
            if not self._probe_order:
                self._probe_order = [m.member_id for m in self.table.members(REACHABLE, None)]
                self._probe_order.remove(self.own_member.member_id)
                self._rng.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            member = self.member(self._probe_order.pop())
            if member is not None:
                return self._probe(member.address, member.member_id)

    def _probe_address(self) -> OutgoingProbe | None:
        """Return a probe of the next address at which no reachable member is known."""
        if not self._address_order:
            self._address_order = self._find_addresses_to_probe()
            self._rng.shuffle(self._address_order)
        while self._address_order:
            address = self._address_order.pop()
            if self._has_no_member(address):
                return self._probe(address, "")
        return None

    def _find_addresses_to_probe(self) -> list[Address]:
        """Return the addresses to probe; recomputed only if the VM list or the view has changed."""
        basis = (self.table.listed, self.table.view_version)
        if basis[0] is not self._addresses_basis[0] or basis[1] != self._addresses_basis[1]:
            gone = {
                self.table.record_by_id[member_id].update.member.address
                for member_id in self.table.gone_ids - self.table.unlisted_ids
            }
            addresses = [a for a in self.table.listed | gone if self._has_no_member(a)]
            self._addresses_to_probe = sorted(addresses, key=lambda a: (a.host, a.port))
            self._addresses_basis = basis
        return list(self._addresses_to_probe)

    def _has_no_member(self, address: Address) -> bool:
        member_id = self.table.id_at(address)
        return member_id is None or self.member(member_id) is None

    def _probe(self, address: Address, receiver: str) -> OutgoingProbe:
        self._last_number += 1
        self._open_probe_by_number[self._last_number] = OpenProbe(receiver)
        # A member that is considered gone must receive this update, or it couldn't refute it.
        updates = self._piggyback(receiver or self.table.id_at(address) or "")
        return OutgoingProbe(self._last_number, address, receiver, False, updates)

    def _probe_indirectly(self, number: int, probe: OpenProbe, prober: Member) -> OutgoingProbe:
        updates = self._piggyback(prober.member_id)
        return OutgoingProbe(number, prober.address, probe.receiver, True, updates)

    def _choose_probers(self, receiver: str) -> list[Member]:
        alive = [
            member
            for member in self.table.members((MemberState.ALIVE,), None)
            if member.member_id not in (receiver, self.own_member.member_id)
        ]
        return self._rng.sample(alive, min(self._settings.indirect_probes, len(alive)))

    # Updates.

    def _piggyback(self, receiver: str) -> tuple[MemberUpdate, ...]:
        """Return the updates for one message: new ones, least often sent first, then others.

        The receiver's own state goes first, so that it can refute a suspicion immediately.
        """
        chosen: dict[str, None] = {self.own_member.member_id: None}
        known = self.table.record_by_id.get(receiver)
        if known is not None and known.update.state is not MemberState.ALIVE:
            chosen[receiver] = None
        records = self.table.record_by_id
        free_count = self._settings.max_updates - len(chosen)
        for member_id in heapq.nsmallest(
            free_count, self.table.pending_ids, key=lambda member_id: records[member_id].times_sent
        ):
            chosen[member_id] = None
        while len(chosen) < min(self._settings.max_updates, len(self.table.record_by_id)):
            chosen[self._next_filler()] = None
        limit = math.ceil(
            self._settings.resend_factor * math.log2(len(self.table.record_by_id) + 1)
        )
        for member_id in chosen:
            record = self.table.record_by_id[member_id]
            record.times_sent += 1
            if record.times_sent >= limit:
                self.table.pending_ids.pop(member_id, None)
        invariants.check(
            "membership.bounded-message", len(chosen) <= self._settings.max_updates, chosen
        )
        return tuple(self.table.record_by_id[member_id].update for member_id in chosen)

    def _next_filler(self) -> str:
        while True:
            if not self._filler_order:
                self._filler_order = list(self.table.record_by_id)
                self._rng.shuffle(self._filler_order)
            member_id = self._filler_order.pop()
            if member_id in self.table.record_by_id:
                return member_id

    def _apply(self, update: MemberUpdate, now: float) -> None:
        member_id = update.member.member_id
        if member_id == self.own_member.member_id:
            self._refute(update, now)
            return
        if self.table.is_blocked(update.member):
            return
        record = self.table.record_by_id.get(member_id)
        if record is None:
            # An unknown member that is gone, for instance one that was dropped, isn't stored.
            if update.state is not MemberState.GONE:
                self.table.set(update, now)
        elif update.replaces(record.update):
            self.table.set(update, now)

    def _refute(self, update: MemberUpdate, now: float) -> None:
        """Raise the own incarnation number above an update that this process did not issue."""
        own_update = self.table.own_update
        if update.member.incarnation == self.own_member.incarnation:
            if not update.replaces(own_update):
                return
        elif update.incarnation_number < own_update.incarnation_number:
            return
        elif update.state is not MemberState.GONE:
            self.id_conflicts += 1
        self.table.set(
            replace(
                own_update,
                incarnation_number=max(own_update.incarnation_number, update.incarnation_number)
                + 1,
            ),
            now,
        )

    def _suspect(self, member_id: str, now: float) -> None:
        record = self.table.record_by_id.get(member_id)
        if record is None:
            return
        if record.update.state is MemberState.LEAVING:
            self.table.set(replace(record.update, state=MemberState.GONE), now)
        elif record.update.state is MemberState.ALIVE:
            self.table.set(replace(record.update, state=MemberState.SUSPECT), now)

    def _expire_suspicions(self, now: float) -> None:
        """Declare expired suspects gone, unless the fault is likely local."""
        due = [
            member_id
            for member_id in self.table.suspect_ids
            if now - self.table.record_by_id[member_id].since >= self._settings.suspicion_timeout
        ]
        if not due or self.isolated(now):
            return
        for member_id in sorted(due):
            update = self.table.record_by_id[member_id].update
            self.table.set(replace(update, state=MemberState.GONE), now)
