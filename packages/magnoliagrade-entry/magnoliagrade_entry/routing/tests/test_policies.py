from magnoliagrade.configuration import InvalidDocument, parse_configuration
from magnoliagrade.world import ROUTING_NAMES

from magnoliagrade_entry.routing import routing_policies


def test_configuration_knows_every_routing_policy():
    assert routing_policies.names() == sorted(ROUTING_NAMES)


def test_unknown_routing_policy_is_rejected():
    text = "[pool p]\nendpoint_selector = a=b\nrouting = nonsense\n"
    try:
        parse_configuration(text)
    except InvalidDocument as exc:
        problems = [(p.line, p.key) for p in exc.problems]
    assert problems == [(3, "routing")]
