"""How entries are grouped for exchanging news and for reading the store.

In a small fleet each entry sends its news to every other one. In a larger fleet that traffic would
grow with the square of the number of entries, so each availability zone is a group. Its members
send their load to its two aggregators, and one of these sends the sum of the group to the
aggregators of the other groups, and the sum of all entries to the members.
"""

from collections import defaultdict
from collections.abc import Iterable

from briarspur.coord.rendezvous import rank
from briarspur.gateway.entryrecord import EntryRecord

__all__ = ["MAX_GROUP_SIZE", "ONE_GROUP", "GroupView"]

MAX_GROUP_SIZE = 24
"""Entries up to which the whole fleet is one group, in which each entry sends to every other."""
AGGREGATORS_PER_GROUP = 2
"""Entries of a group that gather its news and follow the store for it. With a single one, any fault
of it would leave the other entries of the zone to their own calls to the store, from which they
learn of changes much later."""
ONE_GROUP = "all"


class GroupView:
    """The groups as one entry sees them.

    Every entry computes them from the live entries that it knows. While the views of two entries
    differ, a message too many or too few is sent, but nothing is wrong: each sum replaces the
    earlier one of its group, and entries that receive no fresh news ask the store.

    Attributes
    ----------
    members : list of EntryRecord
        The other entries of this entry's group.
    own_aggregators : list of EntryRecord
        The aggregators among these members.
    first_aggregators, aggregators : list of EntryRecord
        The first aggregators, and both aggregators, of the other groups.
    has_live_members : bool
        Whether another entry of the group was seen recently.
    """

    def __init__(self, own_record: EntryRecord) -> None:
        self._own_record = own_record
        self.name = ONE_GROUP
        self.members: list[EntryRecord] = []
        self.own_aggregators: list[EntryRecord] = []
        self.first_aggregators: list[EntryRecord] = []
        self.aggregators: list[EntryRecord] = []
        self.has_live_members = False
        self._ranked_live: list[EntryRecord] = [own_record]
        self._ranked_recorded: list[EntryRecord] = [own_record]
        self._last_update: tuple[list[EntryRecord], list[EntryRecord]] | None = None

    def update(self, live: Iterable[EntryRecord], recorded: Iterable[EntryRecord]) -> None:
        """Compute the groups from the other entries: the live ones, and all recorded ones."""
        live, recorded = list(live), list(recorded)
        if (live, recorded) == self._last_update:
            return
        self._last_update = (live, recorded)
        if len(recorded) + 1 <= MAX_GROUP_SIZE:
            self.name, self.members = ONE_GROUP, recorded
            self.first_aggregators, self.aggregators, self.own_aggregators = [], [], []
            self._ranked_live = _rank_entries(self.name, [self._own_record, *live])
            self._ranked_recorded = _rank_entries(self.name, [self._own_record, *recorded])
            return
        self.name = self._own_record.zone
        self.members = [record for record in recorded if record.zone == self._own_record.zone]
        near = [record for record in live if record.zone == self._own_record.zone]
        self._ranked_live = _rank_entries(self.name, [self._own_record, *near])
        self._ranked_recorded = _rank_entries(self.name, [self._own_record, *self.members])
        self.has_live_members = bool(near)
        # An entry that has received no news yet must still show some other entry that it is alive.
        candidates = self._ranked_live if near else _rank_entries(self.name, self.members)
        self.own_aggregators = [
            r for r in candidates[:AGGREGATORS_PER_GROUP] if r.entry_id != self._own_record.entry_id
        ]
        by_zone = _rank_by_zone(live, recorded)
        others = [found for zone, found in sorted(by_zone.items()) if zone != self._own_record.zone]
        self.first_aggregators = [found[0] for found in others]
        self.aggregators = [record for found in others for record in found[:AGGREGATORS_PER_GROUP]]

    @property
    def is_grouped(self) -> bool:
        """Whether there are several groups."""
        return self.name != ONE_GROUP

    @property
    def is_aggregator(self) -> bool:
        """Whether this entry sends its group's sums, or would as soon as the other one fails."""
        return self.is_grouped and self.is_reader

    @property
    def first_id(self) -> str:
        """The id of the first of the group's aggregators and readers."""
        return self._ranked_live[0].entry_id

    @property
    def is_first(self) -> bool:
        """Whether this entry is the first of its group's aggregators and readers."""
        return self.first_id == self._own_record.entry_id

    @property
    def is_reader(self) -> bool:
        """Whether this entry follows the store for its group."""
        return self._is_among(self._ranked_live)

    @property
    def is_expected_reader(self) -> bool:
        """Whether it would follow the store if all recorded entries of its group were live."""
        return self._is_among(self._ranked_recorded)

    def _is_among(self, ranked: list[EntryRecord]) -> bool:
        return any(
            record.entry_id == self._own_record.entry_id
            for record in ranked[:AGGREGATORS_PER_GROUP]
        )


def _rank_entries(name: str, records: Iterable[EntryRecord]) -> list[EntryRecord]:
    """Return a group's entries, those on the strongest VMs first.

    An aggregator sends and receives for its whole group, which can fill the link of a small VM.
    """
    by_id = {record.entry_id: record for record in records}
    ordered = [by_id[entry_id] for entry_id in rank(name, by_id)]
    return sorted(ordered, key=lambda record: (-record.processor, -record.link_mbps))


def _rank_by_zone(
    live: list[EntryRecord], recorded: list[EntryRecord]
) -> dict[str, list[EntryRecord]]:
    """Return the ranked live entries of each zone; the recorded ones if none of them is live."""
    by_zone: dict[str, list[EntryRecord]] = defaultdict(list)
    for record in live:
        by_zone[record.zone].append(record)
    live_zones = set(by_zone)
    for record in recorded:
        if record.zone not in live_zones:
            by_zone[record.zone].append(record)
    return {zone: _rank_entries(zone, records) for zone, records in by_zone.items()}
