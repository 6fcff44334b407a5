"""Revisions that are ordered across the store's eras.

The store may return from an older copy of its objects. Its revisions go back then, and are given
out again; its era rises by one. Everywhere outside the adapter, a revision is one integer with the
era in its upper bits, so a revision of a later era is above all of the earlier ones.
"""

__all__ = ["era_of", "format_revision", "number_of", "revision_in_era"]

NUMBER_BITS = 48
"""Bits for the store's own revision; the era is in the bits above them."""
NUMBER_MASK = (1 << NUMBER_BITS) - 1


def revision_in_era(era: int, number: int) -> int:
    """Return the revision that the store numbered ``number`` in one of its eras."""
    return era << NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the era of a revision; 0 if the store doesn't tell its era."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return a revision as the store numbers it within its era."""
    return revision & NUMBER_MASK


def format_revision(revision: int) -> str:
    """Return a revision for logs: its number, after its era and a slash if it has one."""
    era, number = era_of(revision), number_of(revision)
    return f"{era}/{number}" if era else str(number)
