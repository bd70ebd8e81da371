"""Stand-in for a faulty network: a TCP proxy that injects faults by rules."""

from magnoliagrade_standins.proxy.proxy import FaultProxy, Flow, Rule
from magnoliagrade_standins.proxy.server import make_proxy_app

__all__ = ["FaultProxy", "Flow", "Rule", "make_proxy_app"]
