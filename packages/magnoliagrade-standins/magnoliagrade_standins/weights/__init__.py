"""Stand-in for a rate-limited weight store."""

from magnoliagrade_standins.weights.server import WeightClient, make_weights_app
from magnoliagrade_standins.weights.store import WeightLoad, WeightStore

__all__ = ["WeightClient", "WeightLoad", "WeightStore", "make_weights_app"]
