"""Typed objects of the system: instances, endpoints, pools, routes, requests."""

from magnoliagrade.world.application import ROUTING_NAMES, Application, Pool, Work
from magnoliagrade.world.data_centre import DataCentre
from magnoliagrade.world.endpoint import Endpoint, EndpointState, LoadReport
from magnoliagrade.world.group import (
    OPTION_PREFIX,
    REBALANCING_POLICIES,
    ExpertMap,
    Group,
    GroupOptions,
    Rank,
)
from magnoliagrade.world.instance import Instance, InstanceState, Role
from magnoliagrade.world.organisation import Organisation
from magnoliagrade.world.request import Request
from magnoliagrade.world.route import Route

__all__ = [
    "ROUTING_NAMES",
    "OPTION_PREFIX",
    "REBALANCING_POLICIES",
    "Application",
    "DataCentre",
    "Endpoint",
    "EndpointState",
    "ExpertMap",
    "Group",
    "GroupOptions",
    "Instance",
    "InstanceState",
    "LoadReport",
    "Organisation",
    "Pool",
    "Rank",
    "Request",
    "Role",
    "Route",
    "Work",
]
