"""Latency histograms that can be encoded, merged and subtracted.

Latencies are merged as histograms, never averaged. Values are microseconds with two significant
digits. Histograms are sent and stored in the HdrHistogram V2 encoding (compressed, base64).
"""

from collections.abc import Iterable
from typing import TypeAlias

from hdrh.histogram import HdrHistogram

__all__ = ["Histogram", "add", "decode", "encode", "merge", "new_histogram", "quantile", "subtract"]

Histogram: TypeAlias = HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000


def new_histogram() -> Histogram:
    """Return an empty histogram with a range of 1 µs to 1 hour."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def encode(histogram: Histogram) -> str:
    """Return the encoded histogram, or an empty string if it has no values."""
    if histogram.get_total_count() == 0:
        return ""
    encoded: bytes = histogram.encode()
    return encoded.decode("ascii")


def decode(text: str) -> Histogram:
    """Return the histogram encoded in ``text``.

    Raises
    ------
    ValueError
        If the text is not an encoded histogram.
    """
    if not text:
        return new_histogram()
    try:
        return HdrHistogram.decode(text.encode("ascii"))
    except Exception as error:
        # The library raises zlib and base64 errors as well as its own; all mean a malformed text.
        raise ValueError(f"not a histogram: {error}") from None


def merge(texts: Iterable[str]) -> Histogram:
    """Return one histogram with the values of all the encoded histograms.

    Raises
    ------
    ValueError
        If one of the texts is not an encoded histogram.
    """
    result = new_histogram()
    for text in texts:
        if text:
            add(result, decode(text))
    return result


def add(total: Histogram, part: Histogram) -> None:
    """Add the values of ``part`` to ``total`` and free ``part``.

    A histogram and its encoder refer to each other, so their 30 KB would be freed only by the
    cyclic garbage collector. That collector is triggered by the number of objects, not by their
    size, so the process would grow to hundreds of megabytes.
    """
    if part.get_total_count():
        total.add(part)
    part.encoder = None
    part.counts = None


def subtract(later: Histogram, earlier: Histogram) -> Histogram:
    """Return the values recorded between two snapshots of a cumulative histogram.

    Raises
    ------
    ValueError
        If ``earlier`` has values that ``later`` lacks, so they are not of the same histogram.
    """
    result = new_histogram()
    for index in range(result.counts_len):
        count = later.get_count_at_index(index) - earlier.get_count_at_index(index)
        if count < 0:
            raise ValueError("a cumulative histogram lost values")
        if count:
            result.record_value(result.get_value_from_index(index), count)
    return result


def quantile(histogram: Histogram, fraction: float) -> float | None:
    """Return the latency in seconds at a quantile from 0 to 1, or None if there are no values."""
    if histogram.get_total_count() == 0:
        return None
    value: float = histogram.get_value_at_percentile(fraction * 100)
    return value / US_PER_S
