"""Ejection of endpoints with outlying latency or failure rate (outlier detection)."""

import statistics

from prometheus_client import Counter

__all__ = ["EndpointHealth", "without_outliers"]

ENDPOINT_FAULT_CODES = (
    "ANSWER_BROKEN",
    "OUTCOME_UNKNOWN",
    "UPSTREAM_FAILED",
    "DEADLINE",
)
MIN_SAMPLES = 8
# An endpoint is ejected if its seconds per token exceed this multiple of the median of
# its pool.
EJECTION_LATENCY_RATIO = 3.0
# Seconds per token up to which no endpoint is ejected for latency.
MIN_EJECTION_LATENCY_S = 0.005
EJECTION_FAILURE_FRACTION = 0.5
MAX_EJECTED_FRACTION = 0.34
INITIAL_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
SAMPLE_HALF_LIFE_S = 10.0

EJECTIONS = Counter(
    "magnoliagrade_ejections_total", "Endpoints ejected by reason", ["reason"]
)


class EndpointHealth:
    """Recent latency and failures of one endpoint.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    token_s : float
        Moving average of the seconds per generated token, or per call for a
        service without tokens.
    failures : float
        Moving average of the fraction of attempts that failed through the
        endpoint's fault.
    samples : float
        Number of attempts that count; halves every 10 s.
    ejected_until : float
        Monotonic time at which the last ejection ends.
    is_probing : bool
        Whether the endpoint is ejected or has yet to pass the probe after it.

    Notes
    -----
    After its ejection an endpoint is probed with one request at a time. A
    successful probe readmits it; a failed or slow one ejects it again for twice as
    long, up to 60 s.
    """

    __slots__ = (
        "_clock",
        "_ejection_s",
        "_median_token_s",
        "_noted_at",
        "ejected_until",
        "failures",
        "is_probing",
        "samples",
        "token_s",
    )

    def __init__(self, *, clock):
        self._clock = clock
        self._ejection_s = INITIAL_EJECTION_S
        self._noted_at = clock.monotonic()
        self._median_token_s = 0.0
        self.token_s = 0.0
        self.failures = 0.0
        self.samples = 0.0
        self.ejected_until = 0.0
        self.is_probing = False

    def note(self, result, token_s):
        """Add the result of an attempt; ignore errors that aren't the endpoint's fault.

        Parameters
        ----------
        result : str
            `whole` for a complete response, or the error code.
        token_s : float
            Seconds that the attempt took per token requested.
        """
        is_fault = result in ENDPOINT_FAULT_CODES
        if not is_fault and result != "whole":
            return
        self._decay_samples()
        self.samples += 1.0
        weight = max(0.1, 1.0 / self.samples)
        self.failures += weight * (is_fault - self.failures)
        if not is_fault:
            self.token_s += weight * (token_s - self.token_s)
        if self.is_probing:
            self._end_probe(is_fault, token_s)

    def is_ejected(self):
        """Return whether the endpoint is ejected now."""
        return self._clock.monotonic() < self.ejected_until

    def eject(self, median_token_s):
        """Eject the endpoint for its current ejection period; a probe must follow.

        Parameters
        ----------
        median_token_s : float
            Median seconds per token of the pool, which a probe is compared with.
        """
        self._median_token_s = median_token_s
        self.ejected_until = self._clock.monotonic() + self._ejection_s
        self.is_probing = True

    def ejection_reason(self, median_token_s):
        """Return the reason to eject the endpoint, or an empty text if there is none.

        Parameters
        ----------
        median_token_s : float
            Median seconds per token of the pool; 0 if unknown.
        """
        if self.is_probing or self.samples < MIN_SAMPLES:
            return ""
        if self.failures >= EJECTION_FAILURE_FRACTION:
            return "failures"
        bound = max(MIN_EJECTION_LATENCY_S, EJECTION_LATENCY_RATIO * median_token_s)
        return "latency" if median_token_s and self.token_s > bound else ""

    def _decay_samples(self):
        now = self._clock.monotonic()
        self.samples *= 0.5 ** ((now - self._noted_at) / SAMPLE_HALF_LIFE_S)
        self._noted_at = now

    def _end_probe(self, is_fault, token_s):
        bound = max(
            MIN_EJECTION_LATENCY_S, EJECTION_LATENCY_RATIO * self._median_token_s
        )
        if is_fault or (self._median_token_s and token_s > bound):
            self._ejection_s = min(MAX_EJECTION_S, 2 * self._ejection_s)
            self.eject(self._median_token_s)
            return
        self.is_probing = False
        self._ejection_s = INITIAL_EJECTION_S
        self.samples = 0.0
        self.failures = 0.0
        self.token_s = token_s


def without_outliers(handles, *, on_ejected=None):
    """Return the endpoints of a pool that are not ejected; eject at most one more.

    Parameters
    ----------
    handles : list of EndpointHandle
        Candidates of one pool.
    on_ejected : callable, optional
        Called with the handle and the reason of a new ejection.

    Returns
    -------
    kept : list of EndpointHandle
        Endpoints that are neither ejected nor busy with a probe; all handles if
        none is left. About a third of the handles at most is excluded as ejected.

    Notes
    -----
    Ejecting more than a third would move the load of the ejected endpoints to the
    rest, and overload may be what made them slow.
    """
    allowed = int(MAX_EJECTED_FRACTION * len(handles))
    ejected = [h for h in handles if h.health.is_ejected()]
    if len(ejected) < allowed:
        _eject_worst(handles, ejected, on_ejected)
    if len(ejected) > allowed:
        ejected = sorted(ejected, key=lambda h: h.health.ejected_until)[
            len(ejected) - allowed :
        ]
    return [
        h for h in handles if h not in ejected and not _has_probe_in_flight(h)
    ] or handles


def _has_probe_in_flight(handle):
    return handle.health.is_probing and handle.in_flight_count + len(
        handle.pending_tickets()
    )


def _eject_worst(handles, ejected, on_ejected):
    known = [h.health.token_s for h in handles if h.health.samples >= MIN_SAMPLES]
    median_token_s = statistics.median_low(known) if len(known) > 1 else 0.0
    rest = [h for h in handles if h not in ejected]
    rest.sort(key=lambda h: (h.health.failures, h.health.token_s), reverse=True)
    for handle in rest:
        reason = handle.health.ejection_reason(median_token_s)
        if reason:
            handle.health.eject(median_token_s)
            ejected.append(handle)
            EJECTIONS.labels(reason).inc()
            if on_ejected is not None:
                on_ejected(handle, reason)
            return
