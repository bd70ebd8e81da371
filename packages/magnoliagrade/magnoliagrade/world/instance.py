"""Instances of the system as listed by the operators' platform."""

import enum
from dataclasses import dataclass

__all__ = ["Instance", "InstanceState", "Role"]


class Role(enum.Enum):
    """Role of an instance in the system."""

    ENTRY = "entry"
    AGENT = "agent"


class InstanceState(enum.Enum):
    """State of an instance in the platform's list of instances."""

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
        Name of the data centre that it runs in.
    control_address : str
        `host:port` of its control listener.
    state : InstanceState
        Live or leaving; the list is updated with a delay.
    """

    name: str
    role: Role
    data_centre: str
    control_address: str
    state: InstanceState = InstanceState.LIVE
