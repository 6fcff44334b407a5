"""Small line plots as inline SVG, without scripts or outside resources; pure."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from html import escape

__all__ = ["Point", "Threshold", "time_plot", "value_plot"]

WIDTH = 420
HEIGHT = 140
LEFT = 46
RIGHT = 10
TOP = 10
BOTTOM = 22
HEADROOM = 1.1


@dataclass(frozen=True, slots=True)
class Point:
    """One value; ``y`` is None where nothing is known, which breaks the line."""

    x: float
    y: float | None


@dataclass(frozen=True, slots=True)
class Threshold:
    """A horizontal line with its name; drawn only if it lies in the plot."""

    y: float
    name: str


@dataclass(frozen=True, slots=True)
class _Scale:
    """From values to pixels."""

    x_low: float
    x_high: float
    y_high: float

    def x(self, value: float) -> float:
        span = self.x_high - self.x_low or 1.0
        return LEFT + (value - self.x_low) / span * (WIDTH - LEFT - RIGHT)

    def y(self, value: float) -> float:
        return HEIGHT - BOTTOM - value / self.y_high * (HEIGHT - TOP - BOTTOM)


def time_plot(title: str, points: Sequence[Point], thresholds: Sequence[Threshold]) -> str:
    """Return a plot whose x values are Unix times, labelled in UTC."""
    return _plot(title, points, thresholds, _utc)


def value_plot(title: str, points: Sequence[Point], thresholds: Sequence[Threshold]) -> str:
    """Return a plot whose x values are labelled as they are."""
    return _plot(title, points, thresholds, lambda value: f"{value:g}")


def _plot(
    title: str,
    points: Sequence[Point],
    thresholds: Sequence[Threshold],
    x_text: Callable[[float], str],
) -> str:
    known = [point for point in points if point.y is not None]
    head = (
        f'<svg class="plot" viewBox="0 0 {WIDTH} {HEIGHT}" width="{WIDTH}" height="{HEIGHT}" '
        f'role="img" aria-label="{escape(title)}">'
    )
    if not known:
        return f'{head}<text x="{LEFT}" y="{HEIGHT / 2:g}">no data</text></svg>'
    highest = max(point.y for point in known if point.y is not None) or 1.0
    scale = _Scale(points[0].x, points[-1].x, highest * HEADROOM)
    parts = [head, *_axes(scale, x_text)]
    parts += [_threshold(line, scale) for line in thresholds if line.y <= scale.y_high]
    parts += [_line(run, scale) for run in _runs(points)]
    return "".join([*parts, "</svg>"])


def _axes(scale: _Scale, x_text: Callable[[float], str]) -> list[str]:
    bottom = HEIGHT - BOTTOM
    return [
        f'<path class="axis" d="M{LEFT} {TOP}V{bottom}H{WIDTH - RIGHT}"/>',
        f'<text x="{LEFT - 4}" y="{TOP + 8}" text-anchor="end">{scale.y_high:.3g}</text>',
        f'<text x="{LEFT - 4}" y="{bottom}" text-anchor="end">0</text>',
        f'<text x="{LEFT}" y="{HEIGHT - 6}">{escape(x_text(scale.x_low))}</text>',
        f'<text x="{WIDTH - RIGHT}" y="{HEIGHT - 6}" text-anchor="end">'
        f"{escape(x_text(scale.x_high))}</text>",
    ]


def _threshold(line: Threshold, scale: _Scale) -> str:
    y = scale.y(line.y)
    return (
        f'<path class="threshold" d="M{LEFT} {y:.1f}H{WIDTH - RIGHT}"/>'
        f'<text x="{WIDTH - RIGHT}" y="{y - 3:.1f}" text-anchor="end">{escape(line.name)}</text>'
    )


def _runs(points: Sequence[Point]) -> list[list[tuple[float, float]]]:
    """Return the runs of known values: a line across a gap would show what nobody measured."""
    runs: list[list[tuple[float, float]]] = [[]]
    for point in points:
        if point.y is None:
            runs.append([])
        else:
            runs[-1].append((point.x, point.y))
    return [run for run in runs if run]


def _line(run: Sequence[tuple[float, float]], scale: _Scale) -> str:
    pixels = [(scale.x(x), scale.y(y)) for x, y in run]
    if len(pixels) == 1:
        return f'<circle class="dot" cx="{pixels[0][0]:.1f}" cy="{pixels[0][1]:.1f}" r="2"/>'
    text = " ".join(f"{x:.1f},{y:.1f}" for x, y in pixels)
    return f'<polyline class="line" points="{text}"/>'


def _utc(value: float) -> str:
    return time.strftime("%d %b %H:%M", time.gmtime(value))
