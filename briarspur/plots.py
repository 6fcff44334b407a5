"""Draw small line plots as inline SVG, without scripts, external resources or I/O."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from html import escape

__all__ = ["Point", "Threshold", "time_plot", "value_plot"]

WIDTH_PX = 420
HEIGHT_PX = 140
LEFT_PX = 46
RIGHT_PX = 10
TOP_PX = 10
BOTTOM_PX = 22
HEADROOM_FACTOR = 1.1


@dataclass(frozen=True, slots=True)
class Point:
    """A data point; ``y`` is None if there is no data, which leaves a gap in the line."""

    x: float
    y: float | None


@dataclass(frozen=True, slots=True)
class Threshold:
    """A labelled horizontal line; drawn only if it lies within the range of the plot."""

    y: float
    name: str


@dataclass(frozen=True, slots=True)
class _Scale:
    """Maps data values to pixel coordinates."""

    x_low: float
    x_high: float
    y_high: float

    def x(self, value: float) -> float:
        span = self.x_high - self.x_low or 1.0
        return LEFT_PX + (value - self.x_low) / span * (WIDTH_PX - LEFT_PX - RIGHT_PX)

    def y(self, value: float) -> float:
        return HEIGHT_PX - BOTTOM_PX - value / self.y_high * (HEIGHT_PX - TOP_PX - BOTTOM_PX)


def time_plot(title: str, points: Sequence[Point], thresholds: Sequence[Threshold]) -> str:
    """Draw a plot whose x values are Unix times; label its x axis in UTC."""
    return _plot(title, points, thresholds, _format_utc)


def value_plot(title: str, points: Sequence[Point], thresholds: Sequence[Threshold]) -> str:
    """Draw a plot whose x axis is labelled with plain numbers."""
    return _plot(title, points, thresholds, lambda value: f"{value:g}")


def _plot(
    title: str,
    points: Sequence[Point],
    thresholds: Sequence[Threshold],
    format_x: Callable[[float], str],
) -> str:
    known_points = [point for point in points if point.y is not None]
    head = (
        f'<svg class="plot" viewBox="0 0 {WIDTH_PX} {HEIGHT_PX}" '
        f'width="{WIDTH_PX}" height="{HEIGHT_PX}" role="img" aria-label="{escape(title)}">'
    )
    if not known_points:
        return f'{head}<text x="{LEFT_PX}" y="{HEIGHT_PX / 2:g}">no data</text></svg>'
    highest = max(point.y for point in known_points if point.y is not None) or 1.0
    scale = _Scale(points[0].x, points[-1].x, highest * HEADROOM_FACTOR)
    parts = [head, *_draw_axes(scale, format_x)]
    parts += [_draw_threshold(line, scale) for line in thresholds if line.y <= scale.y_high]
    parts += [_draw_segment(segment, scale) for segment in _segments(points)]
    return "".join([*parts, "</svg>"])


def _draw_axes(scale: _Scale, format_x: Callable[[float], str]) -> list[str]:
    bottom = HEIGHT_PX - BOTTOM_PX
    return [
        f'<path class="axis" d="M{LEFT_PX} {TOP_PX}V{bottom}H{WIDTH_PX - RIGHT_PX}"/>',
        f'<text x="{LEFT_PX - 4}" y="{TOP_PX + 8}" text-anchor="end">{scale.y_high:.3g}</text>',
        f'<text x="{LEFT_PX - 4}" y="{bottom}" text-anchor="end">0</text>',
        f'<text x="{LEFT_PX}" y="{HEIGHT_PX - 6}">{escape(format_x(scale.x_low))}</text>',
        f'<text x="{WIDTH_PX - RIGHT_PX}" y="{HEIGHT_PX - 6}" text-anchor="end">'
        f"{escape(format_x(scale.x_high))}</text>",
    ]


def _draw_threshold(line: Threshold, scale: _Scale) -> str:
    y = scale.y(line.y)
    return (
        f'<path class="threshold" d="M{LEFT_PX} {y:.1f}H{WIDTH_PX - RIGHT_PX}"/>'
        f'<text x="{WIDTH_PX - RIGHT_PX}" y="{y - 3:.1f}" text-anchor="end">'
        f"{escape(line.name)}</text>"
    )


def _segments(points: Sequence[Point]) -> list[list[tuple[float, float]]]:
    """Split the points at gaps, as a line across a gap would show values without data."""
    segments: list[list[tuple[float, float]]] = [[]]
    for point in points:
        if point.y is None:
            segments.append([])
        else:
            segments[-1].append((point.x, point.y))
    return [segment for segment in segments if segment]


def _draw_segment(segment: Sequence[tuple[float, float]], scale: _Scale) -> str:
    pixels = [(scale.x(x), scale.y(y)) for x, y in segment]
    if len(pixels) == 1:
        return f'<circle class="dot" cx="{pixels[0][0]:.1f}" cy="{pixels[0][1]:.1f}" r="2"/>'
    text = " ".join(f"{x:.1f},{y:.1f}" for x, y in pixels)
    return f'<polyline class="line" points="{text}"/>'


def _format_utc(value: float) -> str:
    return time.strftime("%d %b %H:%M", time.gmtime(value))
