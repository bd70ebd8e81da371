"""Organisations: the customers whose requests are served."""

from dataclasses import dataclass, field

__all__ = ["Organisation"]


@dataclass(slots=True, kw_only=True)
class Organisation:
    """One customer.

    Parameters
    ----------
    name : str
        Name of the organisation.
    share : float
        Weight in the fair queues.
    rate_tokens_per_s : float
        Ceiling on token cost a second over the fleet; 0 means none.
    key_digests : list of str
        SHA-256 digests (hex) of the organisation's keys.
    labels : dict of str to str
        Labels that are added to each of its requests.
    """

    name: str
    share: float = 1.0
    rate_tokens_per_s: float = 0.0
    key_digests: list = field(default_factory=list)
    labels: dict = field(default_factory=dict)
