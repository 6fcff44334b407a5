"""A read-only view of the live entries, for the decision core."""

from dataclasses import dataclass, field

from briarspur.messages import EntryAddress

__all__ = ["MemberView", "ViewedMember"]


@dataclass(frozen=True, slots=True)
class ViewedMember:
    """A live entry.

    Attributes
    ----------
    incarnation : str
        Random id of the entry process. The process is the home of every idempotency key that has
        this id in its prefix.
    leaving : bool
        Whether the entry is stopping: it owns no targets and is not listed in look-ups, but still
        answers requests.
    """

    address: EntryAddress
    incarnation: str
    region: str
    zone: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class MemberView:
    """A snapshot of the live entries, including this one."""

    by_id: dict[str, ViewedMember] = field(default_factory=dict)

    def serving(self, region: str) -> list[str]:
        """Return the sorted ids of the entries of a region that are not leaving."""
        return sorted(
            entry_id
            for entry_id, member in self.by_id.items()
            if member.region == region and not member.leaving
        )

    def by_incarnation(self, incarnation: str) -> ViewedMember | None:
        """Return the live entry with this incarnation, or None if there is none."""
        for member in self.by_id.values():
            if member.incarnation == incarnation:
                return member
        return None
