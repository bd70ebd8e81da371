"""Latency histograms: recorded in microseconds, read in seconds."""

from hdrh.histogram import HdrHistogram

__all__ = ["PERCENTILES", "make_histogram", "percentile_s"]

PERCENTILES = (50, 95, 99)
MAX_LATENCY_US = 600 * 1_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000


def make_histogram(values_s):
    """Return a histogram of latencies.

    Parameters
    ----------
    values_s : iterable of float
        Latencies in seconds, at most 600.

    Returns
    -------
    histogram : HdrHistogram
        Latencies in microseconds with three significant digits.
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for value in values_s:
        histogram.record_value(max(1, round(value * US_PER_S)))
    return histogram


def percentile_s(histogram, percentile):
    """Return a percentile in seconds, or None if the histogram is empty.

    Parameters
    ----------
    histogram : HdrHistogram
        Histogram from `make_histogram`.
    percentile : float
        Percentile from 0 to 100.

    Examples
    --------
    >>> percentile_s(make_histogram([0.001, 0.002, 0.004]), 50)
    0.002
    """
    if not histogram.get_total_count():
        return None
    return histogram.get_value_at_percentile(percentile) / US_PER_S
