"""Routes, which map requests to pools."""

from dataclasses import dataclass

__all__ = ["Route"]


@dataclass(slots=True, kw_only=True)
class Route:
    """A rule that maps requests to a pool by their labels.

    Parameters
    ----------
    name : str
        Name of the route.
    pool : str
        Name of the pool.
    request_selector : str
        Label selector over request labels. Each request has the label
        `application` in addition to the labels of its organisation and its caller.
    order : int
        Routes are tried in ascending order; routes of equal order by name.
    """

    name: str
    pool: str
    request_selector: str = ""
    order: int = 100
