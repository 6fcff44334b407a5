"""The facts a member has about all members, indexed, beside the last reading of the VM list."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from briarspur.coord.address import Address
from briarspur.coord.invariants import invariants
from briarspur.coord.members import Member, MemberState, MemberUpdate

__all__ = ["LIVE", "REACHABLE", "MemberTable", "Record"]

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


class MemberTable:
    """Facts by member; the newer one stands.

    Parameters
    ----------
    me : Member
        This process.
    number : int
        Its first number.

    Attributes
    ----------
    view_version : int
        Rises whenever a member comes, goes or begins to leave, so that callers can keep what they
        derive from the view.
    changed_at : float
        When it last rose.
    """

    def __init__(self, me: Member, number: int, now: float) -> None:
        self.me = me
        self.view_version = 1
        self.changed_at = now
        self.listed: frozenset[Address] = frozenset()
        self.record_by_id: dict[str, Record] = {}
        self.fresh_ids: dict[str, None] = {}
        self.suspect_ids: set[str] = set()
        self.gone_ids: set[str] = set()
        self.unlisted_ids: set[str] = set()
        self.has_list = False
        self._id_by_address: dict[Address, str] = {}
        self._id_by_incarnation: dict[str, str] = {}
        self._struck_incarnations: dict[str, None] = {}
        self.set(MemberUpdate(me, number, MemberState.ALIVE), now)

    @property
    def mine(self) -> MemberUpdate:
        """The fact about this process."""
        return self.record_by_id[self.me.member_id].update

    def live(self, region: str | None = None) -> list[Member]:
        """Return the members that take new work, this one included, ordered by id."""
        return self.members(LIVE, region)

    def reachable(self, region: str | None = None) -> list[Member]:
        """Return the live members and those that are leaving: these still answer."""
        return self.members(REACHABLE, region)

    def member(self, member_id: str) -> Member | None:
        """Return a reachable member by id."""
        record = self.record_by_id.get(member_id)
        if record is None or record.update.state is MemberState.GONE:
            return None
        return record.update.member

    def by_incarnation(self, incarnation: str) -> Member | None:
        """Return the reachable member that is this very process, None if it is gone or unknown."""
        member_id = self._id_by_incarnation.get(incarnation)
        return None if member_id is None else self.member(member_id)

    def state(self, member_id: str) -> MemberState | None:
        """Return what is thought of a member; None if nothing is known."""
        record = self.record_by_id.get(member_id)
        return None if record is None else record.update.state

    def at(self, address: Address) -> str | None:
        """Return the id of the member last known at an address, gone ones included."""
        return self._id_by_address.get(address)

    def others(self) -> int:
        """Return how many other members count as there, by the VM list."""
        return len(self.record_by_id.keys() - self.unlisted_ids - {self.me.member_id})

    def hears_too_few(self) -> bool:
        """Return whether less than half of the own region is heard.

        Members that heartbeats and VM list agree are gone don't count.
        """
        heard = known = 0
        for member_id, record in self.record_by_id.items():
            update = record.update
            if update.member.region != self.me.region or update.state is MemberState.LEAVING:
                continue
            is_heard = update.state is MemberState.ALIVE
            # Heartbeats and VM list agree: it is gone, so not hearing it tells nothing of us.
            if not is_heard and member_id in self.unlisted_ids:
                continue
            known += 1
            heard += is_heard
        return 2 * heard < known

    def candidates(self, addresses: Iterable[Address], now: float) -> None:
        """Take a reading of the VM list; members it lacks are dropped only as said above."""
        self.listed = frozenset(addresses)
        self.has_list = True
        for member_id, record in self.record_by_id.items():
            if record.update.member.address in self.listed:
                self.unlisted_ids.discard(member_id)
            elif member_id not in self.unlisted_ids:
                self.unlisted_ids.add(member_id)
                record.unlisted_since = now

    def is_struck(self, member: Member) -> bool:
        """Return whether facts about a process are to be ignored, until it is listed again."""
        if member.incarnation not in self._struck_incarnations:
            return False
        if member.address not in self.listed:
            return True
        del self._struck_incarnations[member.incarnation]
        return False

    def forget(self, forget_after: float, list_patience: float, now: float) -> None:
        """Drop members that are gone, or unlisted, for these times in seconds."""
        for member_id in sorted(self.gone_ids | self.unlisted_ids):
            record = self.record_by_id[member_id]
            is_gone = member_id in self.gone_ids
            is_old = is_gone and now - record.since >= forget_after
            is_unlisted = (
                member_id in self.unlisted_ids and now - record.unlisted_since >= list_patience
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
        record = self.record_by_id.pop(member_id)
        member = record.update.member
        self.fresh_ids.pop(member_id, None)
        for ids in (self.suspect_ids, self.gone_ids, self.unlisted_ids):
            ids.discard(member_id)
        self._unindex(member)
        if record.update.state is not MemberState.GONE:
            self._changed(now)

    def _unindex(self, member: Member) -> None:
        if self._id_by_address.get(member.address) == member.member_id:
            del self._id_by_address[member.address]
        self._id_by_incarnation.pop(member.incarnation, None)

    def set(self, update: MemberUpdate, now: float) -> None:
        """Store a fact, note it for sending, and count the change of the view."""
        member_id = update.member.member_id
        old = self.record_by_id.get(member_id)
        invariants.check(
            "membership.facts-only-rise",
            old is None or update.replaces(old.update),
            (old, update),
        )
        record = Record(update, now)
        if old is not None:
            record.unlisted_since = old.unlisted_since
            self._unindex(old.update.member)
        self.record_by_id[member_id] = record
        self._id_by_address[update.member.address] = member_id
        self._id_by_incarnation[update.member.incarnation] = member_id
        if update.member.address in self.listed:
            self.unlisted_ids.discard(member_id)
        elif self.has_list and member_id not in self.unlisted_ids:
            self.unlisted_ids.add(member_id)
            record.unlisted_since = now
        self.fresh_ids[member_id] = None
        for state, ids in (
            (MemberState.SUSPECT, self.suspect_ids),
            (MemberState.GONE, self.gone_ids),
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

    def members(self, states: Sequence[MemberState], region: str | None) -> list[Member]:
        """Return the members in one of some states, of one region or all, ordered by id."""
        members = [
            record.update.member
            for record in self.record_by_id.values()
            if record.update.state in states
            and (region is None or record.update.member.region == region)
        ]
        return sorted(members, key=lambda member: member.member_id)


def _standing(update: MemberUpdate) -> tuple[Member, bool, bool]:
    """Return what callers of the view depend on: a suspicion alone changes nothing for them."""
    is_gone = update.state is MemberState.GONE
    return update.member, is_gone, update.state is MemberState.LEAVING
