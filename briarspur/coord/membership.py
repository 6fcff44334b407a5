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

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from briarspur.coord.invariants import invariants
from briarspur.coord.members import (
    Address,
    Member,
    MembershipSettings,
    MemberState,
    MemberUpdate,
    Probe,
    ProbeOut,
    Reply,
)

__all__ = ["Membership"]

MAX_STRUCK = 1_000
LIVE = (MemberState.ALIVE, MemberState.SUSPECT)
REACHABLE = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)


@dataclass(slots=True)
class Record:
    """The newest fact about a member, and since when it stands here."""

    update: MemberUpdate
    since: float
    sendings: int = 0
    unlisted_since: float = 0.0


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
        self.view_version = 1
        self.changed_at = now
        self.seat_conflicts = 0
        self._rng = rng
        self._settings = settings or MembershipSettings()
        self._record_by_id = {
            me.member_id: Record(MemberUpdate(me, number, MemberState.ALIVE), now)
        }
        self._fresh_ids: dict[str, None] = {me.member_id: None}
        self._suspect_ids: set[str] = set()
        self._gone_ids: set[str] = set()
        self._unlisted_ids: set[str] = set()
        self._listed: frozenset[Address] = frozenset()
        self._has_list = False
        self._heard_at = now
        self._id_by_address: dict[Address, str] = {me.address: me.member_id}
        self._id_by_incarnation: dict[str, str] = {me.incarnation: me.member_id}
        self._struck_incarnations: dict[str, None] = {}
        self._probe_order: list[str] = []
        self._address_order: list[Address] = []
        self._filler_order: list[str] = []
        self._open_by_number: dict[int, OpenProbe] = {}
        self._last_number = 0

    # The view.

    def live(self, region: str | None = None) -> list[Member]:
        """Return the members that take new work, this one included, ordered by id."""
        return self._members(LIVE, region)

    def reachable(self, region: str | None = None) -> list[Member]:
        """Return the live members and those that are leaving: these still answer."""
        return self._members(REACHABLE, region)

    def member(self, member_id: str) -> Member | None:
        """Return a reachable member by id."""
        record = self._record_by_id.get(member_id)
        if record is None or record.update.state is MemberState.GONE:
            return None
        return record.update.member

    def by_incarnation(self, incarnation: str) -> Member | None:
        """Return the reachable member that is this very process, None if it is gone or unknown."""
        member_id = self._id_by_incarnation.get(incarnation)
        return None if member_id is None else self.member(member_id)

    def state(self, member_id: str) -> MemberState | None:
        """Return what is thought of a member; None if nothing is known."""
        record = self._record_by_id.get(member_id)
        return None if record is None else record.update.state

    def isolated(self, now: float) -> bool:
        """Return whether this member hears less than half of its region, or nobody at all.

        Members that heartbeats and VM list agree are gone don't count.
        """
        others = len(self._record_by_id.keys() - self._unlisted_ids - {self.me.member_id})
        is_silent = now - self._heard_at > self._settings.suspicion
        # Of two, each would wait for the other for ever; of more, all others rarely die at once.
        if is_silent and others > 1:
            return True
        heard = known = 0
        for member_id, record in self._record_by_id.items():
            update = record.update
            if update.member.region != self.me.region or update.state is MemberState.LEAVING:
                continue
            is_heard = update.state is MemberState.ALIVE
            # Heartbeats and VM list agree: it is gone, so not hearing it tells nothing of us.
            if not is_heard and member_id in self._unlisted_ids:
                continue
            known += 1
            heard += is_heard
        return 2 * heard < known

    def updates(self) -> tuple[MemberUpdate, ...]:
        """Return every fact, for a process that has just begun."""
        return tuple(record.update for record in self._record_by_id.values())

    # Events.

    def tick(self, now: float) -> list[ProbeOut]:
        """Do what is due and return the probes of this period."""
        self._end_suspicions(now)
        self._forget(now)
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

    def candidates(self, addresses: Iterable[Address], now: float) -> None:
        """Take a reading of the VM list; members it lacks are dropped only as said above."""
        self._listed = frozenset(addresses)
        self._has_list = True
        for member_id, record in self._record_by_id.items():
            if record.update.member.address in self._listed:
                self._unlisted_ids.discard(member_id)
            elif member_id not in self._unlisted_ids:
                self._unlisted_ids.add(member_id)
                record.unlisted_since = now

    def leave(self, now: float) -> None:
        """Say that this process takes no new work; it still answers."""
        mine = self._record_by_id[self.me.member_id].update
        self._set(replace(mine, number=mine.number + 1, state=MemberState.LEAVING), now)

    # Probing.

    def _probe_member(self) -> ProbeOut | None:
        """Return a probe of the next member, each in its turn."""
        while True:
            if not self._probe_order:
                self._probe_order = [m.member_id for m in self._members(REACHABLE, None)]
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
            gone = {
                self._record_by_id[member_id].update.member.address
                for member_id in self._gone_ids - self._unlisted_ids
            }
            wanted = [a for a in self._listed | gone if self._is_new(a)]
            self._address_order = sorted(wanted, key=lambda a: (a.host, a.port))
            self._rng.shuffle(self._address_order)
        while self._address_order:
            address = self._address_order.pop()
            if self._is_new(address):
                return self._probe(address, "")
        return None

    def _is_new(self, address: Address) -> bool:
        member_id = self._id_by_address.get(address)
        return member_id is None or self.member(member_id) is None

    def _probe(self, address: Address, receiver: str) -> ProbeOut:
        self._last_number += 1
        self._open_by_number[self._last_number] = OpenProbe(receiver)
        # A member thought gone that answers must hear so, or it could not refute it.
        updates = self._piggyback(receiver or self._id_by_address.get(address, ""))
        return ProbeOut(self._last_number, address, receiver, False, updates)

    def _probe_via(self, number: int, probe: OpenProbe, helper: Member) -> ProbeOut:
        updates = self._piggyback(helper.member_id)
        return ProbeOut(number, helper.address, probe.receiver, True, updates)

    def _helpers(self, receiver: str) -> list[Member]:
        able = [
            member
            for member in self._members((MemberState.ALIVE,), None)
            if member.member_id not in (receiver, self.me.member_id)
        ]
        return self._rng.sample(able, min(self._settings.helpers, len(able)))

    # Facts.

    def _piggyback(self, receiver: str) -> tuple[MemberUpdate, ...]:
        """Return the facts for one message: new ones by fewest sendings, then others in turn.

        What is thought of the receiver goes first, so that it can refute a suspicion at once.
        """
        chosen: dict[str, None] = {self.me.member_id: None}
        known = self._record_by_id.get(receiver)
        if known is not None and known.update.state is not MemberState.ALIVE:
            chosen[receiver] = None
        fresh = sorted(self._fresh_ids, key=lambda i: self._record_by_id[i].sendings)
        for member_id in fresh[: self._settings.updates - len(chosen)]:
            chosen[member_id] = None
        while len(chosen) < min(self._settings.updates, len(self._record_by_id)):
            chosen[self._next_filler()] = None
        limit = math.ceil(self._settings.resend * math.log2(len(self._record_by_id) + 1))
        for member_id in chosen:
            record = self._record_by_id[member_id]
            record.sendings += 1
            if record.sendings >= limit:
                self._fresh_ids.pop(member_id, None)
        invariants.check(
            "membership.bounded-message", len(chosen) <= self._settings.updates, chosen
        )
        return tuple(self._record_by_id[member_id].update for member_id in chosen)

    def _next_filler(self) -> str:
        while True:
            if not self._filler_order:
                self._filler_order = list(self._record_by_id)
                self._rng.shuffle(self._filler_order)
            member_id = self._filler_order.pop()
            if member_id in self._record_by_id:
                return member_id

    def _learn(self, update: MemberUpdate, now: float) -> None:
        member_id = update.member.member_id
        if member_id == self.me.member_id:
            self._refute(update, now)
            return
        if update.member.incarnation in self._struck_incarnations:
            if update.member.address not in self._listed:
                return
            del self._struck_incarnations[update.member.incarnation]
        record = self._record_by_id.get(member_id)
        if record is None:
            # A member that is gone, or was forgotten, need not be remembered anew.
            if update.state is not MemberState.GONE:
                self._set(update, now)
        elif update.replaces(record.update):
            if update.state is MemberState.GONE and self.isolated(now):
                return
            self._set(update, now)

    def _refute(self, update: MemberUpdate, now: float) -> None:
        """Raise the own number above a fact about this seat that this process did not state."""
        mine = self._record_by_id[self.me.member_id].update
        if update.member.incarnation == self.me.incarnation:
            if not update.replaces(mine):
                return
        elif update.number < mine.number:
            return
        elif update.state is not MemberState.GONE:
            self.seat_conflicts += 1
        self._set(replace(mine, number=max(mine.number, update.number) + 1), now)

    def _suspect(self, member_id: str, now: float) -> None:
        record = self._record_by_id.get(member_id)
        if record is None:
            return
        if record.update.state is MemberState.LEAVING:
            self._set(replace(record.update, state=MemberState.GONE), now)
        elif record.update.state is MemberState.ALIVE:
            self._set(replace(record.update, state=MemberState.SUSPECT), now)

    def _end_suspicions(self, now: float) -> None:
        """Declare suspects gone whose time is up, unless the fault is likely here."""
        due = [
            member_id
            for member_id in self._suspect_ids
            if now - self._record_by_id[member_id].since >= self._settings.suspicion
        ]
        if not due or self.isolated(now):
            return
        for member_id in sorted(due):
            update = self._record_by_id[member_id].update
            self._set(replace(update, state=MemberState.GONE), now)

    def _forget(self, now: float) -> None:
        """Drop members gone for long, and those that the VM list has lacked for long."""
        for member_id in sorted(self._gone_ids | self._unlisted_ids):
            record = self._record_by_id[member_id]
            is_gone = member_id in self._gone_ids
            is_old = is_gone and now - record.since >= self._settings.forget
            is_unlisted = (
                member_id in self._unlisted_ids
                and now - record.unlisted_since >= self._settings.list_patience
            )
            # This process knows better than the list that it is there.
            if member_id == self.me.member_id:
                continue
            if is_unlisted and not is_gone:
                self._strike(record.update.member.incarnation)
            if is_old or is_unlisted:
                self._drop(member_id, now)

    def _strike(self, incarnation: str) -> None:
        """Take no more facts of a process that the VM list has lacked for long."""
        self._struck_incarnations[incarnation] = None
        while len(self._struck_incarnations) > MAX_STRUCK:
            del self._struck_incarnations[next(iter(self._struck_incarnations))]

    def _drop(self, member_id: str, now: float) -> None:
        record = self._record_by_id.pop(member_id)
        member = record.update.member
        self._fresh_ids.pop(member_id, None)
        for ids in (self._suspect_ids, self._gone_ids, self._unlisted_ids):
            ids.discard(member_id)
        self._unindex(member)
        if record.update.state is not MemberState.GONE:
            self._changed(now)

    def _unindex(self, member: Member) -> None:
        if self._id_by_address.get(member.address) == member.member_id:
            del self._id_by_address[member.address]
        self._id_by_incarnation.pop(member.incarnation, None)

    def _set(self, update: MemberUpdate, now: float) -> None:
        """Store a fact, note it for sending, and count the change of the view."""
        member_id = update.member.member_id
        old = self._record_by_id.get(member_id)
        invariants.check(
            "membership.facts-only-rise",
            old is None or update.replaces(old.update),
            (old, update),
        )
        record = Record(update, now)
        if old is not None:
            record.unlisted_since = old.unlisted_since
            self._unindex(old.update.member)
        self._record_by_id[member_id] = record
        self._id_by_address[update.member.address] = member_id
        self._id_by_incarnation[update.member.incarnation] = member_id
        if update.member.address in self._listed:
            self._unlisted_ids.discard(member_id)
        elif self._has_list and member_id not in self._unlisted_ids:
            self._unlisted_ids.add(member_id)
            record.unlisted_since = now
        self._fresh_ids[member_id] = None
        for state, ids in (
            (MemberState.SUSPECT, self._suspect_ids),
            (MemberState.GONE, self._gone_ids),
        ):
            if update.state is state:
                ids.add(member_id)
            else:
                ids.discard(member_id)
        if old is None or _standing(old.update) != _standing(update):
            self._changed(now)

    def _changed(self, now: float) -> None:
        self.view_version += 1
        self.changed_at = now

    def _members(self, states: Sequence[MemberState], region: str | None) -> list[Member]:
        members = [
            record.update.member
            for record in self._record_by_id.values()
            if record.update.state in states
            and (region is None or record.update.member.region == region)
        ]
        return sorted(members, key=lambda member: member.member_id)


def _standing(update: MemberUpdate) -> tuple[Member, bool, bool]:
    """Return what callers of the view depend on: a suspicion alone changes nothing for them."""
    is_gone = update.state is MemberState.GONE
    return update.member, is_gone, update.state is MemberState.LEAVING
