"""The latest updates about all members, indexed, and the last VM list that was read."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from briarspur.coord.address import Address
from briarspur.coord.invariants import invariants
from briarspur.coord.members import Member, MemberState, MemberUpdate

__all__ = ["LIVE", "REACHABLE", "MemberTable", "Record"]

MAX_BLOCKED_INCARNATIONS = 1_000
LIVE = (MemberState.ALIVE, MemberState.SUSPECT)
REACHABLE = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)


@dataclass(slots=True)
class Record:
    """The latest update about a member, and when it was stored."""

    update: MemberUpdate
    since: float
    times_sent: int = 0
    unlisted_since: float = 0.0


class MemberTable:
    """The latest update about each member.

    Parameters
    ----------
    own_member : Member
        This process.
    incarnation_number : int
        Initial incarnation number of this process.

    Attributes
    ----------
    view_version : int
        Increases whenever a member joins, is gone or starts to leave, so that callers can cache
        what they derive from the view.
    changed_at : float
        When ``view_version`` last increased.
    """

    def __init__(self, own_member: Member, incarnation_number: int, now: float) -> None:
        self.own_member = own_member
        self.view_version = 1
        self.changed_at = now
        self.listed: frozenset[Address] = frozenset()
        self.record_by_id: dict[str, Record] = {}
        self.pending_ids: dict[str, None] = {}
        self.suspect_ids: set[str] = set()
        self.gone_ids: set[str] = set()
        self.unlisted_ids: set[str] = set()
        self.has_list = False
        self._id_by_address: dict[Address, str] = {}
        self._id_by_incarnation: dict[str, str] = {}
        self._blocked_incarnations: dict[str, None] = {}
        self.set(MemberUpdate(own_member, incarnation_number, MemberState.ALIVE), now)

    @property
    def own_update(self) -> MemberUpdate:
        """The update about this process."""
        return self.record_by_id[self.own_member.member_id].update

    def live(self, region: str | None = None) -> list[Member]:
        """Return the members that accept new work, including this one, ordered by id."""
        return self.members(LIVE, region)

    def reachable(self, region: str | None = None) -> list[Member]:
        """Return the live members and the leaving ones, which still answer."""
        return self.members(REACHABLE, region)

    def member(self, member_id: str) -> Member | None:
        """Return the reachable member with an id, None if there is none."""
        record = self.record_by_id.get(member_id)
        if record is None or record.update.state is MemberState.GONE:
            return None
        return record.update.member

    def by_incarnation(self, incarnation: str) -> Member | None:
        """Return the reachable member with an incarnation, None if it is gone or unknown."""
        member_id = self._id_by_incarnation.get(incarnation)
        return None if member_id is None else self.member(member_id)

    def state(self, member_id: str) -> MemberState | None:
        """Return the state of a member, None if it is unknown."""
        record = self.record_by_id.get(member_id)
        return None if record is None else record.update.state

    def id_at(self, address: Address) -> str | None:
        """Return the id of the last known member at an address, even if it is gone."""
        return self._id_by_address.get(address)

    def count_others(self) -> int:
        """Return the number of other members, without those that the VM list lacks."""
        return len(self.record_by_id.keys() - self.unlisted_ids - {self.own_member.member_id})

    def sees_minority(self) -> bool:
        """Return whether less than half of this member's region is alive in its view.

        Members that are gone by both the heartbeats and the VM list don't count.
        """
        alive = known = 0
        for member_id, record in self.record_by_id.items():
            update = record.update
            if (
                update.member.region != self.own_member.region
                or update.state is MemberState.LEAVING
            ):
                continue
            is_alive = update.state is MemberState.ALIVE
            # Heartbeats and VM list agree that it is gone, so its silence doesn't suggest a local
            # fault.
            if not is_alive and member_id in self.unlisted_ids:
                continue
            known += 1
            alive += is_alive
        return 2 * alive < known

    def set_listed_addresses(self, addresses: Iterable[Address], now: float) -> None:
        """Set the addresses of the VM list, and record since when members aren't listed."""
        self.listed = frozenset(addresses)
        self.has_list = True
        for member_id, record in self.record_by_id.items():
            if record.update.member.address in self.listed:
                self.unlisted_ids.discard(member_id)
            elif member_id not in self.unlisted_ids:
                self.unlisted_ids.add(member_id)
                record.unlisted_since = now

    def is_blocked(self, member: Member) -> bool:
        """Return whether to ignore updates about a process, until it is listed again."""
        if member.incarnation not in self._blocked_incarnations:
            return False
        if member.address not in self.listed:
            return True
        del self._blocked_incarnations[member.incarnation]
        return False

    def drop_expired(self, gone_retention: float, unlisted_timeout: float, now: float) -> None:
        """Drop members that have been gone, or unlisted, for these times in seconds."""
        for member_id in sorted(self.gone_ids | self.unlisted_ids):
            record = self.record_by_id[member_id]
            is_gone = member_id in self.gone_ids
            is_expired = is_gone and now - record.since >= gone_retention
            is_unlisted = (
                member_id in self.unlisted_ids and now - record.unlisted_since >= unlisted_timeout
            )
            # This process never drops itself, even if the list lacks it.
            if member_id == self.own_member.member_id:
                continue
            if is_unlisted and not is_gone:
                self._block(record.update.member.incarnation)
            if is_expired or is_unlisted:
                self._drop(member_id, now)

    def _block(self, incarnation: str) -> None:
        """Ignore updates about a process that the VM list has lacked for a long time."""
        self._blocked_incarnations[incarnation] = None
        while len(self._blocked_incarnations) > MAX_BLOCKED_INCARNATIONS:
            del self._blocked_incarnations[next(iter(self._blocked_incarnations))]

    def _drop(self, member_id: str, now: float) -> None:
        record = self.record_by_id.pop(member_id)
        member = record.update.member
        self.pending_ids.pop(member_id, None)
        for ids in (self.suspect_ids, self.gone_ids, self.unlisted_ids):
            ids.discard(member_id)
        self._unindex(member)
        if record.update.state is not MemberState.GONE:
            self._raise_version(now)

    def _unindex(self, member: Member) -> None:
        if self._id_by_address.get(member.address) == member.member_id:
            del self._id_by_address[member.address]
        self._id_by_incarnation.pop(member.incarnation, None)

    def set(self, update: MemberUpdate, now: float) -> None:
        """Store an update, mark it to be sent, and raise the view version if the view changes."""
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
        self.pending_ids[member_id] = None
        for state, ids in (
            (MemberState.SUSPECT, self.suspect_ids),
            (MemberState.GONE, self.gone_ids),
        ):
            if update.state is state:
                ids.add(member_id)
            else:
                ids.discard(member_id)
        if old is None or _visible_state(old.update) != _visible_state(update):
            self._raise_version(now)

    def _raise_version(self, now: float) -> None:
        self.view_version += 1
        self.changed_at = now

    def members(self, states: Sequence[MemberState], region: str | None) -> list[Member]:
        """Return the members in any of some states, of one region or all, ordered by id."""
        members = [
            record.update.member
            for record in self.record_by_id.values()
            if record.update.state in states
            and (region is None or record.update.member.region == region)
        ]
        return sorted(members, key=lambda member: member.member_id)


def _visible_state(update: MemberUpdate) -> tuple[Member, bool, bool]:
    """Return the parts of an update that callers see; a suspicion isn't one of them."""
    is_gone = update.state is MemberState.GONE
    return update.member, is_gone, update.state is MemberState.LEAVING
