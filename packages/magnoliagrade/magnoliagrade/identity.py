"""Identifiers of instances, incarnations, requests and attempts."""

import itertools
import secrets
from dataclasses import dataclass

__all__ = ["InstanceIdentity", "new_incarnation", "new_request_id"]


def new_incarnation():
    """Return a random 64-bit number that identifies one run of a process."""
    return secrets.randbits(64)


def new_request_id():
    """Return a random 128-bit request id as 32 hexadecimal digits."""
    return secrets.token_hex(16)


@dataclass(slots=True, kw_only=True)
class InstanceIdentity:
    """Identity of a process.

    Parameters
    ----------
    instance : str
        Name of the instance from its settings.
    incarnation : int
        Random number that was drawn when the process started.
    data_centre : str
        Name of the data centre from its settings.
    """

    instance: str
    incarnation: int
    data_centre: str
    _attempt_numbers: itertools.count = None

    def __post_init__(self):
        """Start numbering the attempts of this incarnation."""
        self._attempt_numbers = itertools.count(1)

    def new_attempt_id(self):
        """Return an attempt id that no other attempt of any process has."""
        return f"{self.instance}.{self.incarnation:016x}.{next(self._attempt_numbers)}"
