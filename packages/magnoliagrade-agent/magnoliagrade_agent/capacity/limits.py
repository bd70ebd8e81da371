"""Limit policies: how much cost an endpoint may have in flight."""

from typing import Protocol

from magnoliagrade.registry import Registry

__all__ = ["FixedLimit", "LimitPolicy", "limit_policies"]

limit_policies = Registry(family="limit policy")


class LimitPolicy(Protocol):
    """What decides the limit of one endpoint.

    Attributes
    ----------
    limit : float
        Cost that may be in flight now.
    """

    limit: float

    def configure(self, *, cold_limit, full_limit):
        """Take the bounds of the endpoint's pool."""

    def on_cold(self):
        """Note that the endpoint has turned cold."""

    def on_completion(self, *, cost, first_byte_s, total_s, in_flight, failed):
        """Learn from a request that has ended."""


@limit_policies.register("fixed-cold")
class FixedLimit:
    """Baseline: always the cold limit."""

    __slots__ = ("limit",)

    def __init__(self):
        self.limit = 1.0

    def configure(self, *, cold_limit, full_limit):
        """Take the cold limit of the endpoint's pool."""
        self.limit = float(cold_limit)

    def on_cold(self):
        """Change nothing; the limit is that of a cold endpoint already."""

    def on_completion(self, *, cost, first_byte_s, total_s, in_flight, failed):
        """Learn nothing."""
