"""Stand-ins for the operators' platform: its store and its endpoints.

They run in one event loop, together with the entries under test.
"""

from magnoliagrade_standins.operators.documents import (
    configuration_document,
    endpoint_document,
    route_document,
)
from magnoliagrade_standins.operators.endpoint import EndpointBehaviour, StandInEndpoint
from magnoliagrade_standins.operators.site import OperatorsSite
from magnoliagrade_standins.operators.store import OperatorsStore, StoreCopy

__all__ = [
    "EndpointBehaviour",
    "OperatorsSite",
    "OperatorsStore",
    "StandInEndpoint",
    "StoreCopy",
    "configuration_document",
    "endpoint_document",
    "route_document",
]
