"""The timeline of one request, assembled from the logs of several processes."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

__all__ = ["RequestTimeline", "TracedLine", "read_timeline", "timeline_text"]

PAIR = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S+)')
MIN_GAP_S = 0.05
"""A gap of at least this length between two lines is reported."""
CONTEXT_EVENTS = frozenset(
    {
        "target-registered",
        "target-changed",
        "target-departed",
        "target-cold",
        "target-removed",
        "target-gone",
        "target-vanished",
    }
)
"""Events about a backend server's lifecycle; shown for the servers that the request used."""
CONTEXT_S = 10.0
"""Lifecycle events up to this long before and after the request are shown."""


@dataclass(frozen=True, slots=True)
class TracedLine:
    """One line of a log.

    Attributes
    ----------
    time : float
        Seconds since midnight, from the line's time stamp.
    process : str
        The last word before the line's first pair, such as the process's name; may be empty.
    """

    time: float
    process: str
    event: str
    fields: dict[str, str]


@dataclass(slots=True)
class RequestTimeline:
    """The log lines of one request, ordered by time."""

    request: str
    lines: list[TracedLine] = field(default_factory=list)
    context: list[TracedLine] = field(default_factory=list)
    sampled_out: bool = False


def read_timeline(request: str, lines: Iterable[str]) -> RequestTimeline:
    """Return the timeline of a request.

    Parameters
    ----------
    lines : iterable of str
        Lines of any number of processes, in any order; lines that are not log lines are skipped.
    """
    timeline = RequestTimeline(request)
    events: list[TracedLine] = []
    for line in _parse_lines(lines):
        if line.fields.get("request") == request:
            timeline.lines.append(line)
        elif line.event in CONTEXT_EVENTS:
            events.append(line)
        elif line.event in ("log-sampling", "log-lines-dropped"):
            timeline.sampled_out = True
    timeline.lines.sort(key=lambda line: line.time)
    timeline.context = _context_lines(timeline, events)
    return timeline


def timeline_text(timeline: RequestTimeline) -> str:
    """Return the timeline as text; ``~`` marks context lines."""
    if not timeline.lines:
        reason = "; its lines may have been left out (log-sampling)" if timeline.sampled_out else ""
        return f"{timeline.request}: nothing in these logs{reason}"
    merged = sorted([*timeline.lines, *timeline.context], key=lambda line: line.time)
    start = timeline.lines[0].time
    texts = [f"request {timeline.request}"]
    previous: float | None = None
    for line in merged:
        is_own_line = line.fields.get("request") == timeline.request
        if is_own_line:
            if previous is not None and line.time - previous >= MIN_GAP_S:
                texts.append(f"           ... {line.time - previous:.3f} s without a line")
            previous = line.time
        mark = " " if is_own_line else "~"
        fields = " ".join(f"{k}={v}" for k, v in line.fields.items() if k != "request")
        texts.append(
            f"{mark} {line.time - start:+9.3f} {line.process:<18} {line.event:<18} {fields}"
        )
    return "\n".join(texts)


def _context_lines(timeline: RequestTimeline, events: list[TracedLine]) -> list[TracedLine]:
    """Return the events about the request's servers around its time.

    Only events logged by processes that handled the request count, so that an event which every
    process logs doesn't appear once for each of them.
    """
    if not timeline.lines:
        return []
    targets = {line.fields.get("target") for line in timeline.lines}
    begin, end = timeline.lines[0].time - CONTEXT_S, timeline.lines[-1].time + CONTEXT_S
    processes = {line.process for line in timeline.lines}
    return [
        line
        for line in events
        if line.fields.get("target") in targets
        and begin <= line.time <= end
        and line.process in processes
    ]


def _parse_lines(lines: Iterable[str]) -> Iterator[TracedLine]:
    for text in lines:
        start = text.find("time=")
        if start < 0 or "event=" not in text:
            continue
        fields = {name: value.strip('"') for name, value in PAIR.findall(text[start:])}
        time = _seconds_of_day(fields.pop("time", ""))
        event = fields.pop("event", "")
        fields.pop("level", None)
        if time is None or not event:
            continue
        words = text[:start].split()
        yield TracedLine(time, words[-1] if words else "", event, fields)


def _seconds_of_day(text: str) -> float | None:
    clock = text.partition(" ")[2].replace(",", ".").split(":")
    if len(clock) != 3:
        return None
    try:
        hours, minutes, seconds = (float(part) for part in clock)
    except ValueError:
        return None
    return hours * 3_600.0 + minutes * 60.0 + seconds
