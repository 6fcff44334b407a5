"""The story of one request, put together from the logs of processes."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

__all__ = ["Story", "TracedLine", "read_story", "story_text"]

PAIR = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S+)')
LEAST_GAP = 0.05
"""Seconds between two lines from which the gap is named."""
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
"""Lines about a server that tell what became of it; shown for the servers of the story."""
CONTEXT_SECONDS = 10.0
"""How long before and after the request such lines are of use."""


@dataclass(frozen=True, slots=True)
class TracedLine:
    """One line of a log.

    Attributes
    ----------
    time : float
        Seconds of the day, as the line says.
    process : str
        What stands before the line's first pair, such as the process's name; may be empty.
    """

    time: float
    process: str
    event: str
    fields: dict[str, str]


@dataclass(slots=True)
class Story:
    """What the logs say of one request, in order of time."""

    request: str
    lines: list[TracedLine] = field(default_factory=list)
    context: list[TracedLine] = field(default_factory=list)
    sampled_out: bool = False


def read_story(request: str, lines: Iterable[str]) -> Story:
    """Return the story of a request.

    Parameters
    ----------
    lines : iterable of str
        Lines of any number of processes, in any order; others than log lines are skipped.
    """
    story = Story(request)
    others: list[TracedLine] = []
    for line in _parsed(lines):
        if line.fields.get("request") == request:
            story.lines.append(line)
        elif line.event in CONTEXT_EVENTS:
            others.append(line)
        elif line.event in ("log-sampling", "log-lines-dropped"):
            story.sampled_out = True
    story.lines.sort(key=lambda line: line.time)
    story.context = _about(story, others)
    return story


def story_text(story: Story) -> str:
    """Return the story as text."""
    if not story.lines:
        reason = "; its lines may have been left out (log-sampling)" if story.sampled_out else ""
        return f"{story.request}: nothing in these logs{reason}"
    merged = sorted([*story.lines, *story.context], key=lambda line: line.time)
    start = story.lines[0].time
    texts = [f"request {story.request}"]
    last: float | None = None
    for line in merged:
        in_story = line.fields.get("request") == story.request
        if in_story:
            if last is not None and line.time - last >= LEAST_GAP:
                texts.append(f"           ... {line.time - last:.3f} s without a line")
            last = line.time
        mark = " " if in_story else "~"
        fields = " ".join(f"{k}={v}" for k, v in line.fields.items() if k != "request")
        texts.append(
            f"{mark} {line.time - start:+9.3f} {line.process:<18} {line.event:<18} {fields}"
        )
    return "\n".join(texts)


def _about(story: Story, others: list[TracedLine]) -> list[TracedLine]:
    """Return the lines about the story's servers at its time, each once."""
    if not story.lines:
        return []
    targets = {line.fields.get("target") for line in story.lines}
    begin, end = story.lines[0].time - CONTEXT_SECONDS, story.lines[-1].time + CONTEXT_SECONDS
    entries = {line.process for line in story.lines}
    return [
        line
        for line in others
        if line.fields.get("target") in targets
        and begin <= line.time <= end
        and line.process in entries
    ]


def _parsed(lines: Iterable[str]) -> Iterator[TracedLine]:
    for text in lines:
        start = text.find("time=")
        if start < 0 or "event=" not in text:
            continue
        fields = {name: value.strip('"') for name, value in PAIR.findall(text[start:])}
        time = _seconds(fields.pop("time", ""))
        event = fields.pop("event", "")
        fields.pop("level", None)
        if time is None or not event:
            continue
        words = text[:start].split()
        yield TracedLine(time, words[-1] if words else "", event, fields)


def _seconds(text: str) -> float | None:
    clock = text.partition(" ")[2].replace(",", ".").split(":")
    if len(clock) != 3:
        return None
    try:
        hours, minutes, seconds = (float(part) for part in clock)
    except ValueError:
        return None
    return hours * 3_600.0 + minutes * 60.0 + seconds
