"""The entries that are live, as the decision core needs them."""

from dataclasses import dataclass, field

from briarspur.messages import EntryAddress

__all__ = ["MemberView", "ViewedMember"]


@dataclass(frozen=True, slots=True)
class ViewedMember:
    """One live entry.

    Attributes
    ----------
    incarnation : str
        Random text of this process; the home of the keys that begin with it.
    leaving : bool
        The entry is stopping: it gets no new targets and is not in look-ups, but still answers.
    """

    address: EntryAddress
    incarnation: str
    region: str
    zone: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class MemberView:
    """Every live entry, this one included, at one moment."""

    by_id: dict[str, ViewedMember] = field(default_factory=dict)

    def serving(self, region: str) -> list[str]:
        """Return the ids of the entries of a region that are not leaving, sorted."""
        return sorted(
            entry_id
            for entry_id, member in self.by_id.items()
            if member.region == region and not member.leaving
        )

    def by_incarnation(self, incarnation: str) -> ViewedMember | None:
        """Return the entry process with this incarnation, if it is live."""
        for member in self.by_id.values():
            if member.incarnation == incarnation:
                return member
        return None
