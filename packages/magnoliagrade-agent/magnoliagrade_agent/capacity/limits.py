"""Limit policies: how much cost an endpoint may have in flight.

Cost and limits are in tokens for a model, in calls for a service.
"""

from dataclasses import dataclass
from typing import Protocol

from magnoliagrade.registry import Registry

__all__ = ["Completion", "FixedLimit", "LimitPolicy", "limit_policies"]

limit_policies = Registry(family="limit policy")


@dataclass(slots=True, kw_only=True)
class Completion:
    """Measurements of one request that the endpoint completed.

    Parameters
    ----------
    tokens : int
        Tokens that were generated; 1 for a service call.
    first_byte_s : float
        Time from sending the request to the first byte of the body; 0 if the
        response was not streamed.
    token_s : float
        Mean time for each token after the first byte; total time for a service call.
    was_in_use : bool
        Whether the limit was at least half used at any time during the request.
    ended_at : float
        Monotonic time of the end, in seconds.
    """

    tokens: int
    first_byte_s: float
    token_s: float
    was_in_use: bool
    ended_at: float


class LimitPolicy(Protocol):
    """Interface of a policy that sets the limit of one endpoint.

    Attributes
    ----------
    limit : float
        Cost that may be in flight now.
    cold_limit : float
        Cost that the endpoint can sustain right after its start.
    """

    limit: float
    cold_limit: float

    def configure(self, *, cold_limit, full_limit, options):
        """Set the bounds and options from the endpoint's pool.

        Parameters
        ----------
        cold_limit : float
            Cost that the endpoint can sustain right after its start.
        full_limit : float
            Cost that the endpoint can sustain when warm.
        options : mapping of str to str
            Options of the pool by name.
        """

    def on_cold(self):
        """Reset the limit to the cold limit, because the endpoint may be cold."""

    def on_completion(self, completion):
        """Update the limit from a completed request.

        Returns
        -------
        reason : str
            Why the limit changed; empty if it did not.
        """


class FixedLimit:
    """Constant limit, the baseline that adaptive policies are compared with.

    Parameters
    ----------
    is_full : bool
        Whether the limit is the pool's full limit instead of its cold limit.
    """

    __slots__ = ("_is_full", "cold_limit", "limit")

    def __init__(self, *, is_full=False):
        self._is_full = is_full
        self.cold_limit = 1.0
        self.limit = 1.0

    def configure(self, *, cold_limit, full_limit, options):
        """Set the constant from the endpoint's pool."""
        self.limit = float(full_limit if self._is_full else cold_limit)
        self.cold_limit = self.limit

    def on_cold(self):
        """Leave the limit unchanged."""

    def on_completion(self, completion):
        """Return an empty reason: the limit never changes."""
        return ""


@limit_policies.register("fixed-cold")
def make_fixed_cold():
    """Return a policy that always allows the cold limit."""
    return FixedLimit()


@limit_policies.register("fixed-full")
def make_fixed_full():
    """Return a policy that always allows the full limit."""
    return FixedLimit(is_full=True)
