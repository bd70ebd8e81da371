"""Sets of endpoints that fail together."""

from dataclasses import dataclass

__all__ = ["FaultDomain"]


@dataclass(slots=True, frozen=True, kw_only=True)
class FaultDomain:
    """Endpoints that become unavailable together.

    Parameters
    ----------
    service : str
        Service of the endpoints.
    group : str
        Group whose ranks they are; empty if that is not known, or for endpoints that
        belong to no group.
    """

    service: str
    group: str = ""
