"""Logs: one line of key=value pairs for each event."""

import logging
import sys
from collections.abc import Mapping
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from briarspur.logsink import BoundedSink

__all__ = ["EVENTS", "configure", "event"]

LOGGER = logging.getLogger("briarspur")
NEEDS_QUOTES = frozenset(' "=\n\r\t\\')

EVENTS: dict[str, str] = {
    "started": "the daemon listens",
    "status-page": "where the daemon's status page is",
    "stopping": "a graceful stop began",
    "stop-leaving": "the entry left look-ups and handed its targets over, and serves on",
    "stop-finishing": "cached look-ups have lapsed; requests in flight are being finished",
    "outcomes-written": "what became of this entry's keys is in the store",
    "outcomes-lost": "the store did not take the outcomes; repeats will be told `unknown`",
    "peer-unavailable": "an object could not be fetched from another entry",
    "store-unavailable": "an object could not be read; what is in force stays",
    "stopped": "the daemon has ended what it had in flight",
    "settings-invalid": "the settings file is not valid",
    "policy-in-force": "a version of the policy came into force",
    "policy-rejected": "a version of the policy is not valid and was not taken",
    "plan-in-force": "a plan came into force",
    "lease-taken": "this briarspur-steer now holds the lease and plans",
    "lease-lost": "this briarspur-steer no longer holds the lease",
    "plan-written": "a plan was written to the store",
    "plan-not-written": "a plan was made, but may not be in the store",
    "plan-rejected": "the plan in the store is not valid and was not taken",
    "refused": "a request got a final answer of our own",
    "failed": "a request ended without a whole answer",
    "levels-not-collected": "service-level counts of a minute could not be collected",
    "levels-not-written": "service-level counts wait because the store does not take them",
    "change-accepted": "an operator's change of the policy is in force in the store",
    "change-refused": "an operator's change was not taken: a conflict, a fault or no token",
    "configuration-in-force": "a version of the configuration came into force",
    "configuration-part-malformed": (
        "a part of the configuration in force can't be read: skipped, or read carefully"
    ),
    "store-away": "no entry is known to have had an answer of the store for a while",
    "stood-still": "this process was stopped, or too busy to look at anything, for so long",
    "store-back": "the store answers again after an outage; what vanished in it is held a while",
    "target-hold-ended": "a vanished registration did not come back after an outage of the store",
    "object-malformed": "an object of the store can't be read and was skipped",
    "history-gone": "the store forgot the changes since the last read; all is listed again",
    "store-lost": "the store does not answer about one kind of object",
    "store-regained": "the store answers again, after so many seconds",
    "record-not-written": "this entry could not tell the store where it is; it tries again",
    "entry-forgotten": "the record of an entry that has been silent for minutes was deleted",
    "record-not-deleted": "such a record could not be deleted; it is tried again",
    "target-registered": "a backend server, or a new incarnation of one, may be used",
    "target-limit": (
        "what a backend server is believed to take changed: requests a second from all entries,"
        " who says so and how long ago"
    ),
    "target-rest": "a backend server wants nothing from this entry for so many seconds",
    "target-departed": (
        "a backend server in use leaves or is gone: how that was learnt, how long ago at most"
    ),
    "target-changed": "a backend server drains, or changed its service or address",
    "target-cold": "a backend server became cold in the middle of its life",
    "target-removed": "a backend server's registration is gone",
    "target-vanished": "a registration is missing since the store was away; the server is kept",
    "target-gone": "another server answers at a backend server's address",
    "vm-skipped": "an entry of the list of VMs can't be read; the others hold",
    "warmth-not-read": "the record of what is warm could not be read; it is tried again",
    "warmth-not-written": "the record of what is warm was not written; it is tried again",
    "warmth-read": "an entry that starts read what is warm where",
    "warmth-skipped": "the record of what is warm can't be read and was not used",
    "warmth-written": "what is warm where was written to the store",
    "zones-evacuated": "the availability zones that get no new requests changed",
    "store-reader": "this entry begins or ends to follow the store for its group",
    "group-speaker": "this entry begins or ends to tell its group's sums of load",
    "entries-changed": "the live entries, as this one sees them, changed",
    "news-malformed": "a datagram was not news of an entry",
    "news-not-sent": "a datagram could not be sent",
    "reloaded": "SIGHUP came; requests and connections go on",
    "attempt": "a request is sent to a backend server, with what the choice rested on",
    "attempt-ended": "how an attempt at a backend server ended",
    "answered": "a request got a backend server's whole answer",
    "log-sampling": "from now on the lines of one in so many answered requests are written",
    "log-lines-dropped": "so many lines were lost because nobody read them",
    "invariant-violated": "a property that must always hold did not hold",
    "internal-error": "a fault of briarspur",
}
"""Every event name with its meaning; ``docs/LOG-EVENTS.md`` lists them."""


def key_values(fields: Mapping[str, Any], **_: object) -> str:
    """Return ``fields`` as one line of key=value pairs, quoted where a value needs it."""
    return " ".join(f"{key}={_value(value)}" for key, value in fields.items() if value is not None)


def _value(value: object) -> str:
    text = value if isinstance(value, str) else str(value)
    if text and NEEDS_QUOTES.isdisjoint(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


def configure(level: str = "INFO") -> None:
    """Send events of ``level`` and above to standard output, never waiting for its reader."""
    sink = BoundedSink(sys.stdout.fileno())
    handler = logging.StreamHandler(sink)
    formatter = JsonFormatter(
        "{asctime}{levelname}{message}",
        style="{",
        json_serializer=key_values,
        rename_fields={"asctime": "time", "levelname": "level", "message": "event"},
    )
    formatter.default_msec_format = "%s.%03d"
    handler.setFormatter(formatter)
    LOGGER.handlers[:] = [handler]
    # The current stack frame is looked up for each line otherwise, a third of a line's cost.
    logging._srcfile = None
    LOGGER.setLevel(level)
    LOGGER.propagate = False


def event(name: str, level: int = logging.INFO, **fields: object) -> None:
    """Log one event.

    Parameters
    ----------
    name : str
        One of :data:`EVENTS`.
    level : int
        A level of :mod:`logging`.
    **fields : object
        Pairs to print; those that are None are left out.
    """
    LOGGER.log(level, name, extra=fields)
