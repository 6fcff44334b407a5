"""Membership: who is there, by heartbeats with suspicion and a lagging list of VMs.

Each period a member probes one other. If no reply comes, it asks two others to probe the same one;
if these get none either, it suspects the member and says so. A suspect that does not refute in time
is gone. Facts ride on probes and replies, a bounded number on each, so the cost of a member does
not depend on how many there are.

The VM list lags. It names addresses to probe, and nothing more: a member that it lacks is dropped
only when heartbeats fail too, or after a long while; a member that heartbeats miss is gone from the
view, yet its address is probed again as long as the list names it.

A member that hears less than half of its region is isolated: the fault is likely its own, so it
declares nobody gone until that ends.
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
    Probe,
    ProbeOut,
    Reply,
)
from briarspur.coord.membertable import REACHABLE, MemberTable

__all__ = ["Membership"]


@dataclass(slots=True)
class OpenProbe:
    """A probe without a reply yet."""

    receiver: str
    via_left: int = 0


class Membership:
    """One member's view of all members.

    Parameters
    ----------
    me : Member
        This process.
    rng : random.Random
        Source of the order of probes.
    number : int
        First number of this process: seconds of the wall clock do, so that a new process of a seat
        is newer than the last. If it is not, the first contact with others mends it.
    """

    def __init__(
        self,
        me: Member,
        rng: random.Random,
        settings: MembershipSettings | None = None,
        number: int = 0,
        now: float = 0.0,
    ) -> None:
        self.me = me
        self.table = MemberTable(me, number, now)
        self.seat_conflicts = 0
        self._rng = rng
        self._settings = settings or MembershipSettings()
        self._heard_at = now
        self._probe_order: list[str] = []
        self._address_order: list[Address] = []
        self._wanted: list[Address] = []
        self._wanted_basis: tuple[frozenset[Address], int] = (frozenset(), 0)
        self._filler_order: list[str] = []
        self._open_by_number: dict[int, OpenProbe] = {}
        self._last_number = 0

    # The view.

    @property
    def view_version(self) -> int:
        """Rises whenever a member comes, goes or begins to leave."""
        return self.table.view_version

    @property
    def changed_at(self) -> float:
        """When ``view_version`` last rose."""
        return self.table.changed_at

    def live(self, region: str | None = None) -> list[Member]:
        """Return the members that take new work, this one included, ordered by id."""
        return self.table.live(region)

    def reachable(self, region: str | None = None) -> list[Member]:
        """Return the live members and those that are leaving: these still answer."""
        return self.table.reachable(region)

    def member(self, member_id: str) -> Member | None:
        """Return a reachable member by id."""
        return self.table.member(member_id)

    def by_incarnation(self, incarnation: str) -> Member | None:
        """Return the reachable member that is this very process, None if it is gone or unknown."""
        return self.table.by_incarnation(incarnation)

    def state(self, member_id: str) -> MemberState | None:
        """Return what is thought of a member; None if nothing is known."""
        return self.table.state(member_id)

    def isolated(self, now: float) -> bool:
        """Return whether this member hears less than half of its region, or nobody at all."""
        is_silent = now - self._heard_at > self._settings.suspicion
        # Of two, each would wait for the other for ever; of more, all others rarely die at once.
        return (is_silent and self.table.others() > 1) or self.table.hears_too_few()

    def has_contact(self) -> bool:
        """Return whether the VM list was read or another member is known."""
        return self.table.has_list or len(self.table.record_by_id) > 1

    def unheard(self) -> int:
        """Return how many listed addresses no known member has."""
        return sum(self.table.at(address) is None for address in self.table.listed)

    def learn_all(self, updates: Iterable[MemberUpdate], now: float) -> None:
        """Take every fact of another member, at the start of this process.

        They are old news to all others, so they aren't passed on as new: in a large fleet that
        would crowd out the one fact that is new, that this process has begun.
        """
        before = set(self.table.fresh_ids)
        self.learn(updates, now)
        for member_id in self.table.fresh_ids.keys() - before:
            del self.table.fresh_ids[member_id]

    def candidates(self, addresses: Iterable[Address], now: float) -> None:
        """Take a reading of the VM list; members it lacks are dropped only as said above."""
        self.table.candidates(addresses, now)

    def updates(self) -> tuple[MemberUpdate, ...]:
        """Return every fact, for a process that has just begun."""
        return tuple(record.update for record in self.table.record_by_id.values())

    # Events.

    def tick(self, now: float) -> list[ProbeOut]:
        """Do what is due and return the probes of this period."""
        self._end_suspicions(now)
        self.table.forget(self._settings.forget, self._settings.list_patience, now)
        probes = [self._probe_member(), self._probe_address()]
        return [probe for probe in probes if probe is not None]

    def on_probe(self, probe: Probe, now: float) -> tuple[MemberUpdate, ...]:
        """Learn from a probe; return the facts for its reply."""
        self._heard_at = now
        self.learn(probe.updates, now)
        return self._piggyback(probe.sender)

    def on_reply(self, reply: Reply, now: float) -> list[ProbeOut]:
        """Learn from the reply to a probe; return probes that are due now."""
        self._heard_at = now
        self.learn(reply.updates, now)
        if not reply.acknowledged:
            return self.on_timeout(reply.number, now)
        self._open_by_number.pop(reply.number, None)
        return []

    def on_timeout(self, number: int, now: float) -> list[ProbeOut]:
        """Take note that a probe got no reply; return probes through others."""
        probe = self._open_by_number.get(number)
        if probe is None:
            return []
        if probe.via_left == 0:
            helpers = self._helpers(probe.receiver) if probe.receiver else []
            if helpers:
                probe.via_left = len(helpers)
                return [self._probe_via(number, probe, helper) for helper in helpers]
        else:
            probe.via_left -= 1
            if probe.via_left > 0:
                return []
        del self._open_by_number[number]
        self._suspect(probe.receiver, now)
        return []

    def learn(self, updates: Iterable[MemberUpdate], now: float) -> None:
        """Take facts from another member."""
        for update in updates:
            self._learn(update, now)

    def leave(self, now: float) -> None:
        """Say that this process takes no new work; it still answers."""
        mine = self.table.mine
        self.table.set(replace(mine, number=mine.number + 1, state=MemberState.LEAVING), now)

    def probes_of_region(self) -> list[ProbeOut]:
        """Return a probe of every other reachable member of the own region."""
        members = self.reachable(self.me.region)
        return [
            self._probe(member.address, member.member_id)
            for member in members
            if member.member_id != self.me.member_id
        ]

    # Probing.

    def _probe_member(self) -> ProbeOut | None:
        """Return a probe of the next member, each in its turn."""
        while True:
            if not self._probe_order:
                self._probe_order = [m.member_id for m in self.table.members(REACHABLE, None)]
                self._probe_order.remove(self.me.member_id)
                self._rng.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            member = self.member(self._probe_order.pop())
            if member is not None:
                return self._probe(member.address, member.member_id)

    def _probe_address(self) -> ProbeOut | None:
        """Return a probe of the next listed address that no member here has."""
        if not self._address_order:
            self._address_order = self._wanted_addresses()
            self._rng.shuffle(self._address_order)
        while self._address_order:
            address = self._address_order.pop()
            if self._is_new(address):
                return self._probe(address, "")
        return None

    def _wanted_addresses(self) -> list[Address]:
        """Return the addresses to try, worked out anew only when the list or the view changed."""
        basis = (self.table.listed, self.table.view_version)
        if basis[0] is not self._wanted_basis[0] or basis[1] != self._wanted_basis[1]:
            gone = {
                self.table.record_by_id[member_id].update.member.address
                for member_id in self.table.gone_ids - self.table.unlisted_ids
            }
            wanted = [a for a in self.table.listed | gone if self._is_new(a)]
            self._wanted = sorted(wanted, key=lambda a: (a.host, a.port))
            self._wanted_basis = basis
        return list(self._wanted)

    def _is_new(self, address: Address) -> bool:
        member_id = self.table.at(address)
        return member_id is None or self.member(member_id) is None

    def _probe(self, address: Address, receiver: str) -> ProbeOut:
        self._last_number += 1
        self._open_by_number[self._last_number] = OpenProbe(receiver)
        # A member thought gone that answers must hear so, or it could not refute it.
        updates = self._piggyback(receiver or self.table.at(address) or "")
        return ProbeOut(self._last_number, address, receiver, False, updates)

    def _probe_via(self, number: int, probe: OpenProbe, helper: Member) -> ProbeOut:
        updates = self._piggyback(helper.member_id)
        return ProbeOut(number, helper.address, probe.receiver, True, updates)

    def _helpers(self, receiver: str) -> list[Member]:
        able = [
            member
            for member in self.table.members((MemberState.ALIVE,), None)
            if member.member_id not in (receiver, self.me.member_id)
        ]
        return self._rng.sample(able, min(self._settings.helpers, len(able)))

    # Facts.

    def _piggyback(self, receiver: str) -> tuple[MemberUpdate, ...]:
        """Return the facts for one message: new ones by fewest sendings, then others in turn.

        What is thought of the receiver goes first, so that it can refute a suspicion at once.
        """
        chosen: dict[str, None] = {self.me.member_id: None}
        known = self.table.record_by_id.get(receiver)
        if known is not None and known.update.state is not MemberState.ALIVE:
            chosen[receiver] = None
        records = self.table.record_by_id
        room = self._settings.updates - len(chosen)
        for member_id in heapq.nsmallest(
            room, self.table.fresh_ids, key=lambda member_id: records[member_id].sendings
        ):
            chosen[member_id] = None
        while len(chosen) < min(self._settings.updates, len(self.table.record_by_id)):
            chosen[self._next_filler()] = None
        limit = math.ceil(self._settings.resend * math.log2(len(self.table.record_by_id) + 1))
        for member_id in chosen:
            record = self.table.record_by_id[member_id]
            record.sendings += 1
            if record.sendings >= limit:
                self.table.fresh_ids.pop(member_id, None)
        invariants.check(
            "membership.bounded-message", len(chosen) <= self._settings.updates, chosen
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

    def _learn(self, update: MemberUpdate, now: float) -> None:
        member_id = update.member.member_id
        if member_id == self.me.member_id:
            self._refute(update, now)
            return
        if self.table.is_struck(update.member):
            return
        record = self.table.record_by_id.get(member_id)
        if record is None:
            # A member that is gone, or was forgotten, need not be remembered anew.
            if update.state is not MemberState.GONE:
                self.table.set(update, now)
        elif update.replaces(record.update):
            self.table.set(update, now)

    def _refute(self, update: MemberUpdate, now: float) -> None:
        """Raise the own number above a fact about this seat that this process did not state."""
        mine = self.table.mine
        if update.member.incarnation == self.me.incarnation:
            if not update.replaces(mine):
                return
        elif update.number < mine.number:
            return
        elif update.state is not MemberState.GONE:
            self.seat_conflicts += 1
        self.table.set(replace(mine, number=max(mine.number, update.number) + 1), now)

    def _suspect(self, member_id: str, now: float) -> None:
        record = self.table.record_by_id.get(member_id)
        if record is None:
            return
        if record.update.state is MemberState.LEAVING:
            self.table.set(replace(record.update, state=MemberState.GONE), now)
        elif record.update.state is MemberState.ALIVE:
            self.table.set(replace(record.update, state=MemberState.SUSPECT), now)

    def _end_suspicions(self, now: float) -> None:
        """Declare suspects gone whose time is up, unless the fault is likely here."""
        due = [
            member_id
            for member_id in self.table.suspect_ids
            if now - self.table.record_by_id[member_id].since >= self._settings.suspicion
        ]
        if not due or self.isolated(now):
            return
        for member_id in sorted(due):
            update = self.table.record_by_id[member_id].update
            self.table.set(replace(update, state=MemberState.GONE), now)
