"""Report of a load: counts and latency histograms, as text and as JSON."""

from collections import Counter
from dataclasses import asdict, dataclass, field

from magnoliagrade_standins.load.arrivals import Kind
from magnoliagrade_standins.load.histograms import (
    PERCENTILES,
    make_histogram,
    percentile_s,
)

__all__ = ["LoadReport", "summarise"]


@dataclass(slots=True, kw_only=True)
class LoadReport:
    """Counts and latencies of a load.

    Parameters
    ----------
    duration_s : float
        Time in seconds during which requests arrived.
    sent, whole, good, foreign : int
        Numbers of requests that were sent; that received a complete response; whose
        response was complete, correct and in time; whose response held parts that
        belong to another request.
    good_tokens : int
        Number of tokens in good responses.
    count_by_code : dict of str to int
        Number of requests without a good response by error code, or by
        `foreign`, `late` or `cut-short`.
    histogram_by_name : dict of str to HdrHistogram
        Latencies `first token`, `between tokens` and `total` of complete responses,
        in microseconds.
    good_by_organisation : dict of str to tuple of int
        Numbers of good responses and of requests sent.
    orders : OrderCheckResult or None
        Result of the check of orders; None if there were no records.
    """

    duration_s: float
    sent: int = 0
    whole: int = 0
    good: int = 0
    foreign: int = 0
    good_tokens: int = 0
    count_by_code: dict = field(default_factory=dict)
    histogram_by_name: dict = field(default_factory=dict)
    good_by_organisation: dict = field(default_factory=dict)
    orders: object = None

    @property
    def goodput_per_s(self):
        """Good responses per second."""
        return self.good / self.duration_s

    def percentile_s(self, name, percentile):
        """Return a percentile of a histogram in seconds, or None if it is empty.

        Parameters
        ----------
        name : str
            Name of the histogram.
        percentile : float
            Percentile from 0 to 100.
        """
        return percentile_s(self.histogram_by_name[name], percentile)

    def as_dict(self):
        """Return the report as a dictionary for JSON."""
        return {
            "duration_s": self.duration_s,
            "sent": self.sent,
            "whole": self.whole,
            "good": self.good,
            "foreign": self.foreign,
            "goodput_per_s": self.goodput_per_s,
            "good_tokens_per_s": self.good_tokens / self.duration_s,
            "count_by_code": self.count_by_code,
            "latency_s": {
                name: {str(p): self.percentile_s(name, p) for p in PERCENTILES}
                for name in self.histogram_by_name
            },
            "good_by_organisation": self.good_by_organisation,
            "orders": asdict(self.orders) if self.orders else None,
        }

    def as_text(self):
        """Return the report as text."""
        lines = [
            f"requests sent      {self.sent} in {self.duration_s:g} s",
            f"goodput            {self.goodput_per_s:.1f}/s complete, correct, in time "
            f"({_percent_text(self.good, self.sent)} of those sent), "
            f"{self.good_tokens / self.duration_s:.0f} tokens/s",
            f"foreign responses  {self.foreign}",
        ]
        lines += [self._latency_line(name) for name in self.histogram_by_name]
        lines.append(f"rejected or failed {_counts_text(self.count_by_code)}")
        if self.orders:
            lines.append(_orders_line(self.orders))
        return "\n".join(lines)

    def _latency_line(self, name):
        values = [self.percentile_s(name, p) for p in PERCENTILES]
        shown = ["none" if v is None else f"{1000 * v:.1f} ms" for v in values]
        percentiles = "/".join(str(p) for p in PERCENTILES)
        return f"{name:<18} {' / '.join(shown)} at {percentiles} %"


def summarise(outcomes, *, duration_s, orders=None):
    """Return the report of a load.

    Parameters
    ----------
    outcomes : list of Outcome
        Outcomes of a load.
    duration_s : float
        Time in seconds during which requests arrived.
    orders : OrderCheckResult, optional
        Result of the check of orders.
    """
    report = LoadReport(
        duration_s=duration_s,
        sent=len(outcomes),
        whole=sum(o.is_complete for o in outcomes),
        good=sum(o.is_good for o in outcomes),
        foreign=sum(not o.is_correct for o in outcomes),
        good_tokens=sum(o.tokens for o in outcomes if o.is_good),
        count_by_code=dict(
            Counter(_failure_code(o) for o in outcomes if not o.is_good)
        ),
        good_by_organisation=_count_by_organisation(outcomes),
        orders=orders,
    )
    complete = [o for o in outcomes if o.is_complete]
    streams = [o for o in complete if o.arrival.kind is Kind.STREAM]
    report.histogram_by_name = {
        "first token": make_histogram(o.first_token_s for o in streams),
        "between tokens": make_histogram(gap for o in streams for gap in o.gaps_s),
        "total": make_histogram(o.total_s for o in complete),
    }
    return report


def _failure_code(outcome):
    if outcome.code:
        return outcome.code
    if not outcome.is_correct:
        return "foreign"
    return "late" if outcome.is_complete else "cut-short"


def _count_by_organisation(outcomes):
    sent = Counter(o.arrival.organisation for o in outcomes)
    good = Counter(o.arrival.organisation for o in outcomes if o.is_good)
    return {name: (good[name], count) for name, count in sorted(sent.items())}


def _percent_text(part, total):
    return f"{100 * part / total:.1f} %" if total else "none"


def _counts_text(count_by_code):
    shown = [f"{code} {count}" for code, count in sorted(count_by_code.items())]
    return ", ".join(shown) or "none"


def _orders_line(orders):
    return (
        f"orders             {orders.orders} sent, {orders.executed} executed, "
        f"{len(orders.lost)} lost, {len(orders.doubled)} doubled, "
        f"{len(orders.ran_though_refused)} run though rejected, "
        f"{orders.unknown} left unknown"
    )
