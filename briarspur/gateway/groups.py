"""How entries are grouped for news and for reading the store.

In a small fleet everybody tells everybody. In a larger one that would grow with the square of the
fleet, so each availability zone is a group: its members tell one another, and one of them, the
speaker, tells the speakers of the other groups and passes on what those say.
"""

from collections import defaultdict
from collections.abc import Iterable

from briarspur.coord.rendezvous import rank
from briarspur.gateway.entryrecord import EntryRecord

__all__ = ["LARGEST_GROUP", "ONE_GROUP", "GroupView"]

LARGEST_GROUP = 24
"""Entries up to which the whole fleet is one group. At 24, an entry gets 230 datagrams a second at
most; 91 entries in one group took a third of their bytes between regions for news."""
READERS = 2
"""Entries of a group that follow the store for the others. With one, any fault of it left a whole
zone to the calls of its single entries, which learnt of a departure after up to 2.2 s instead of
0.6 s."""
ONE_GROUP = "all"


class GroupView:
    """The groups as one entry sees them.

    Every entry computes them from the live entries it knows. Views that differ for a moment cost a
    message too many or too few, never correctness: sums replace one another by group, and whoever
    hears nothing fresh asks the store.
    """

    def __init__(self, me: EntryRecord) -> None:
        self._me = me
        self.name = ONE_GROUP
        self.members: list[EntryRecord] = []
        self.speakers: list[EntryRecord] = []
        self._ranked: list[str] = [me.entry_id]

    def update(self, live: Iterable[EntryRecord], known: Iterable[EntryRecord]) -> None:
        """Take the other entries: those that live, and all that are recorded."""
        live, known = list(live), list(known)
        if len(known) + 1 <= LARGEST_GROUP:
            self.name, self.members, self.speakers = ONE_GROUP, known, []
            self._rank(record for record in live)
            return
        self.name = self._me.zone
        self.members = [record for record in known if record.zone == self._me.zone]
        self._rank(record for record in live if record.zone == self._me.zone)
        self.speakers = _speakers(live, known, self._me.zone)

    @property
    def is_speaker(self) -> bool:
        """Whether this entry speaks for its group to others."""
        return self.name != ONE_GROUP and self._ranked[0] == self._me.entry_id

    @property
    def is_reader(self) -> bool:
        """Whether this entry follows the store for its group."""
        return self._me.entry_id in self._ranked[:READERS]

    def _rank(self, live: Iterable[EntryRecord]) -> None:
        ids = [self._me.entry_id, *(record.entry_id for record in live)]
        self._ranked = rank(self.name, ids)


def _speakers(
    live: list[EntryRecord], known: list[EntryRecord], own_zone: str
) -> list[EntryRecord]:
    """Return the speaker of each other zone; one of the recorded entries where none is heard."""
    by_zone: dict[str, list[EntryRecord]] = defaultdict(list)
    for record in live:
        by_zone[record.zone].append(record)
    for record in known:
        if record.zone not in by_zone:
            by_zone[record.zone] = [other for other in known if other.zone == record.zone]
    speakers = []
    for zone, records in sorted(by_zone.items()):
        if zone == own_zone:
            continue
        by_id = {record.entry_id: record for record in records}
        speakers.append(by_id[rank(zone, by_id)[0]])
    return speakers
