"""Limit policies: how much cost an endpoint may have in flight."""

from dataclasses import dataclass
from typing import Protocol

from magnoliagrade.registry import Registry

__all__ = ["Completion", "FixedLimit", "LimitPolicy", "limit_policies"]

limit_policies = Registry(family="limit policy")


@dataclass(slots=True, kw_only=True)
class Completion:
    """What a whole answer shows about its endpoint.

    Parameters
    ----------
    tokens : int
        Tokens that were generated; 1 for a service call.
    first_byte_s : float
        Time from sending the request to the first byte of the body.
    token_s : float
        Mean time for each token after the first byte; whole time for a service.
    was_in_use : bool
        Whether the limit was at least half used while the request ran.
    at : float
        Monotonic time of the end.
    """

    tokens: int
    first_byte_s: float
    token_s: float
    was_in_use: bool
    at: float


class LimitPolicy(Protocol):
    """What decides the limit of one endpoint.

    Attributes
    ----------
    limit : float
        Cost that may be in flight now.
    cold_limit : float
        Cost that the endpoint bears right after its start.
    """

    limit: float
    cold_limit: float

    def configure(self, *, cold_limit, full_limit, options):
        """Take the bounds and options of the endpoint's pool."""

    def on_cold(self):
        """Note that the endpoint has turned cold."""

    def on_completion(self, completion):
        """Learn from a whole answer; return why the limit changed, or nothing."""


class FixedLimit:
    """Baseline: a constant limit.

    Parameters
    ----------
    is_full : bool
        Whether the limit is the pool's full limit instead of its cold one.
    """

    __slots__ = ("_is_full", "cold_limit", "limit")

    def __init__(self, *, is_full=False):
        self._is_full = is_full
        self.cold_limit = 1.0
        self.limit = 1.0

    def configure(self, *, cold_limit, full_limit, options):
        """Take the constant from the endpoint's pool."""
        self.limit = float(full_limit if self._is_full else cold_limit)
        self.cold_limit = self.limit

    def on_cold(self):
        """Change nothing."""

    def on_completion(self, completion):
        """Learn nothing."""
        return ""


@limit_policies.register("fixed-cold")
def make_fixed_cold():
    """Return a policy that always allows the cold limit."""
    return FixedLimit()


@limit_policies.register("fixed-full")
def make_fixed_full():
    """Return a policy that always allows the full limit."""
    return FixedLimit(is_full=True)
