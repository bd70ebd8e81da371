"""Settings of an agent beside a model server of the operators' platform."""

from dataclasses import dataclass

from magnoliagrade.configuration import setting
from magnoliagrade.node import DirectProcessSettings

__all__ = ["DirectAgentSettings"]


@dataclass(slots=True, kw_only=True)
class DirectAgentSettings(DirectProcessSettings):
    """Settings of a direct agent; the `doc` of each field describes it."""

    server_address: str = setting(
        section="platform", doc="address of the model server beside it", address=True
    )
    link_mbps: float = setting(
        section="limits",
        doc="rate of the machine's link, which the agent shares with the model server",
        unit="Mbit/s",
        default=1000.0,
        low=0.1,
        high=10**6,
    )
