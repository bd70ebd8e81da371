"""Ejection of endpoints that do much worse than their pool."""

import statistics

from prometheus_client import Counter

__all__ = ["EndpointHealth", "without_outliers"]

FAULTS = ("ANSWER_BROKEN", "OUTCOME_UNKNOWN", "UPSTREAM_FAILED", "DEADLINE")
MIN_SAMPLES = 8
LATENCY_RATIO = 3.0
LATENCY_FLOOR_S = 0.005
FAILURE_FRACTION = 0.5
MAX_EJECTED_FRACTION = 0.34
EJECTION_S = 5.0
EJECTION_MAX_S = 60.0
HALF_LIFE_S = 10.0

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
        Recent mean time for each generated token, or for a whole service call.
    failures : float
        Recent fraction of attempts that failed by the endpoint's fault.

    Notes
    -----
    An ejected endpoint gets one request at a time once its ejection ends; the
    first good answer brings it back, a bad one doubles the ejection, up to 60 s.
    """

    __slots__ = (
        "_clock",
        "_ejection_s",
        "_noted_at",
        "_typical_token_s",
        "failures",
        "is_probing",
        "out_until",
        "samples",
        "token_s",
    )

    def __init__(self, *, clock):
        self._clock = clock
        self._ejection_s = EJECTION_S
        self._noted_at = clock.monotonic()
        self._typical_token_s = 0.0
        self.token_s = 0.0
        self.failures = 0.0
        self.samples = 0.0
        self.out_until = 0.0
        self.is_probing = False

    def note(self, result, token_s):
        """Take the end of an attempt.

        Parameters
        ----------
        result : str
            `whole`, or the code of the failure.
        token_s : float
            Time of the attempt for each token that it asked for.
        """
        is_fault = result in FAULTS
        if not is_fault and result != "whole":
            return
        self._fade()
        self.samples += 1.0
        weight = max(0.1, 1.0 / self.samples)
        self.failures += weight * (is_fault - self.failures)
        if not is_fault:
            self.token_s += weight * (token_s - self.token_s)
        if self.is_probing:
            self._end_probe(is_fault, token_s)

    def is_ejected(self):
        """Return whether the endpoint is ejected now."""
        return self._clock.monotonic() < self.out_until

    def eject(self, typical_token_s):
        """Take no part until the ejection ends; probing follows.

        Parameters
        ----------
        typical_token_s : float
            Median of its pool, which a probe is held against.
        """
        self._typical_token_s = typical_token_s
        self.out_until = self._clock.monotonic() + self._ejection_s
        self.is_probing = True

    def reason_against(self, typical_token_s):
        """Return why the endpoint should be ejected, or an empty text.

        Parameters
        ----------
        typical_token_s : float
            Median of its pool.
        """
        if self.is_probing or self.samples < MIN_SAMPLES:
            return ""
        if self.failures >= FAILURE_FRACTION:
            return "failures"
        bound = max(LATENCY_FLOOR_S, LATENCY_RATIO * typical_token_s)
        return "latency" if typical_token_s and self.token_s > bound else ""

    def _fade(self):
        now = self._clock.monotonic()
        self.samples *= 0.5 ** ((now - self._noted_at) / HALF_LIFE_S)
        self._noted_at = now

    def _end_probe(self, is_fault, token_s):
        bound = max(LATENCY_FLOOR_S, LATENCY_RATIO * self._typical_token_s)
        if is_fault or (self._typical_token_s and token_s > bound):
            self._ejection_s = min(EJECTION_MAX_S, 2 * self._ejection_s)
            self.eject(self._typical_token_s)
            return
        self.is_probing = False
        self._ejection_s = EJECTION_S
        self.samples = 0.0
        self.failures = 0.0
        self.token_s = token_s


def without_outliers(handles, *, on_ejected=None):
    """Return the contacts of a pool that are not ejected.

    Parameters
    ----------
    contacts : list of EndpointHandle
        Candidates of one pool.
    on_ejected : callable, optional
        Called with the contact and the reason of each new ejection.

    Returns
    -------
    kept : list of EndpointHandle
        Never less than two thirds of the contacts, and never none.

    Notes
    -----
    Ejecting more than a third would move the load of the ill ones to the rest,
    which may be what made them slow.
    """
    allowed = int(MAX_EJECTED_FRACTION * len(handles))
    out = [h for h in handles if h.health.is_ejected()]
    if len(out) < allowed:
        _eject_worst(handles, out, on_ejected)
    if len(out) > allowed:
        out = sorted(out, key=lambda h: h.health.out_until)[len(out) - allowed :]
    return [h for h in handles if h not in out and not _is_probed(h)] or handles


def _is_probed(handle):
    return handle.health.is_probing and handle.in_flight_count + len(handle.asking())


def _eject_worst(handles, out, on_ejected):
    known = [h.health.token_s for h in handles if h.health.samples >= MIN_SAMPLES]
    typical = statistics.median_low(known) if len(known) > 1 else 0.0
    rest = [h for h in handles if h not in out]
    rest.sort(key=lambda h: (h.health.failures, h.health.token_s), reverse=True)
    for handle in rest:
        reason = handle.health.reason_against(typical)
        if reason:
            handle.health.eject(typical)
            out.append(handle)
            EJECTIONS.labels(reason).inc()
            if on_ejected is not None:
                on_ejected(handle, reason)
            return
