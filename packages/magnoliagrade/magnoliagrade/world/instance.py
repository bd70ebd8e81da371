"""Instances as the platform's list names them."""

import enum
from dataclasses import dataclass

__all__ = ["Instance", "InstanceState", "Role"]


class Role(enum.Enum):
    """What an instance of the system does."""

    ENTRY = "entry"
    AGENT = "agent"


class InstanceState(enum.Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, kw_only=True)
class Instance:
    """One row of the platform's list of instances.

    Parameters
    ----------
    name : str
        Name of the instance.
    role : Role
        Entry or agent.
    data_centre : str
        Where it stands.
    control_address : str
        `host:port` of its control listener.
    state : InstanceState
        Live or leaving; the list lags.
    """

    name: str
    role: Role
    data_centre: str
    control_address: str
    state: InstanceState = InstanceState.LIVE
