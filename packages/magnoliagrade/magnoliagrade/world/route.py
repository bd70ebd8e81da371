"""Routes: which requests belong to which pool."""

from dataclasses import dataclass

__all__ = ["Route"]


@dataclass(slots=True, kw_only=True)
class Route:
    """A rule that sends requests with certain labels to a pool.

    Parameters
    ----------
    name : str
        Name of the route.
    pool : str
        Name of the pool.
    request_selector : str
        Label selector over request labels; each request carries the label
        `application` besides those of its organisation and its caller.
    order : int
        Routes are tried by ascending order, then by name.
    """

    name: str
    pool: str
    request_selector: str = ""
    order: int = 100
