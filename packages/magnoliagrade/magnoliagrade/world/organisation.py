"""Organisations, the customers whose requests are served."""

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
        Weight of its requests in the fair queues.
    rate_tokens_per_s : float
        Rate limit over all entries, in tokens of cost per second; 0 means no limit.
    key_digests : list of str
        SHA-256 digests of its API keys, in hexadecimal.
    labels : dict of str to str
        Labels added to each of its requests.
    """

    name: str
    share: float = 1.0
    rate_tokens_per_s: float = 0.0
    key_digests: list = field(default_factory=list)
    labels: dict = field(default_factory=dict)
