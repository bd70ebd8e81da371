"""Stand-in of the rate-limited weight store."""

from magnoliagrade_standins.weights.store import WeightLoad, WeightStore

__all__ = ["WeightLoad", "WeightStore"]
