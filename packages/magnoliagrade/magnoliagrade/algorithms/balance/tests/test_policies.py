from magnoliagrade.algorithms.balance import rebalancing_policies
from magnoliagrade.world import REBALANCING_POLICIES


def test_configuration_lists_every_registered_policy():
    assert tuple(rebalancing_policies.names()) == REBALANCING_POLICIES
