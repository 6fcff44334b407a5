"""Derives how often the store is read from the time within which a change must be in force."""

from collections.abc import Mapping
from dataclasses import dataclass

from briarspur.gateway.replica import Kind
from briarspur.gateway.sync import Pace

__all__ = ["ReadTimes", "read_times"]

MIN_BOUND_S = 3.0
"""Time after its acknowledgement within which a change must be in force. The times below apply to
all bounds up to this one; for longer bounds they are increased in proportion."""
MAX_STRETCH_FACTOR = 3.0
"""Maximum increase of the times, so that the return of the store is detected within seconds."""
FRESH_S = 1.2
"""Age of the store's confirmation up to which an entry relies on the copies of other entries. It
must exceed the time between two reads of one reader, and leave an entry that receives no recent
news enough time to list everything within the bound."""
OWN_READ_S = 1.0
"""Age of its own read of the store up to which a reader needs no copies from others. It exceeds the
time between two reads while the store answers."""
TARGETS_PACE = Pace(wait=0.5, pause=0.3)
"""Registrations may be renewed all the time, so they are read in batches, since each call is
charged for. Their watches wait for a short time only, because a watch confirms only when it ends
that no change is missing."""
CONFIGURATION_PACE = Pace(wait=1.0, pause=0.0)
EVACUATIONS_PACE = Pace(wait=2.0, pause=0.0)
"""Other kinds change rarely, and their changes are reported immediately. The wait bounds the time
until a connection that went silent is found: 0.7 s after the end of the wait."""
ENTRIES_PACE = Pace(wait=8.0, pause=0.2)
"""The records of other entries may be late by 9 s, since their news show which entries are alive.
Reservations apply to quotas only."""


@dataclass(frozen=True, slots=True)
class ReadTimes:
    """Times that control the reads of the store, in seconds.

    Attributes
    ----------
    fresh : float
        Age up to which an entry relies on the copies of other entries.
    own_read : float
        Age of its own read up to which a reader needs no copies from others.
    """

    fresh: float
    own_read: float
    paces: Mapping[Kind, Pace]


def read_times(bound: float) -> ReadTimes:
    """Return the times for a bound, in seconds, within which any change must be in force."""
    stretch = min(MAX_STRETCH_FACTOR, max(1.0, bound / MIN_BOUND_S))
    return ReadTimes(
        fresh=FRESH_S * stretch,
        own_read=OWN_READ_S * stretch,
        paces={
            Kind.CONFIGURATION: CONFIGURATION_PACE.stretched(stretch),
            Kind.TARGETS: TARGETS_PACE.stretched(stretch),
            Kind.EVACUATIONS: EVACUATIONS_PACE.stretched(stretch),
            Kind.ENTRIES: ENTRIES_PACE,
            Kind.RESERVATIONS: ENTRIES_PACE,
        },
    )
