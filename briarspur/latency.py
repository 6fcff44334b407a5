"""Latency histograms: recorded, sent, merged and subtracted, never averaged.

Values are microseconds with two significant digits. The histogram's own encoding (HdrHistogram V2,
compressed, base64) is what travels and what is stored.
"""

from collections.abc import Iterable
from typing import TypeAlias

from hdrh.histogram import HdrHistogram

__all__ = ["Histogram", "add", "decode", "encode", "merge", "new_histogram", "quantile", "subtract"]

Histogram: TypeAlias = HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
US_PER_S = 1_000_000


def new_histogram() -> Histogram:
    """Return an empty histogram from 1 µs to 1 hour."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def encode(histogram: Histogram) -> str:
    """Return the form that is sent and stored; empty for an empty histogram."""
    if histogram.get_total_count() == 0:
        return ""
    encoded: bytes = histogram.encode()
    return encoded.decode("ascii")


def decode(text: str) -> Histogram:
    """Return the histogram in ``text``.

    Raises
    ------
    ValueError
        The text is no histogram.
    """
    if not text:
        return new_histogram()
    try:
        return HdrHistogram.decode(text.encode("ascii"))
    except Exception as error:
        # The library raises zlib, base64 and its own errors; all mean the same here.
        raise ValueError(f"not a histogram: {error}") from None


def merge(texts: Iterable[str]) -> Histogram:
    """Return one histogram of all values in encoded ones.

    Raises
    ------
    ValueError
        One of them is no histogram.
    """
    result = new_histogram()
    for text in texts:
        if text:
            add(result, decode(text))
    return result


def add(total: Histogram, part: Histogram) -> None:
    """Add the values of ``part`` to ``total`` and free ``part``.

    Guards against a program that grows to hundreds of megabytes: a histogram and its encoder refer
    to each other, so its 30 KB would wait for Python's collector of cycles, which goes by the
    number of objects and not by their size.
    """
    if part.get_total_count():
        total.add(part)
    part.encoder = None
    part.counts = None


def subtract(later: Histogram, earlier: Histogram) -> Histogram:
    """Return what was recorded between two states of one cumulative histogram.

    Raises
    ------
    ValueError
        ``earlier`` holds values that ``later`` does not: they are not states of one histogram.
    """
    result = new_histogram()
    for index in range(result.counts_len):
        count = later.get_count_at_index(index) - earlier.get_count_at_index(index)
        if count < 0:
            raise ValueError("a cumulative histogram lost values")
        if count:
            result.record_value(result.get_value_from_index(index), count)
    return result


def quantile(histogram: Histogram, share: float) -> float | None:
    """Return the latency in seconds that ``share`` of the answers kept; None without answers."""
    if histogram.get_total_count() == 0:
        return None
    value: float = histogram.get_value_at_percentile(share * 100)
    return value / US_PER_S
