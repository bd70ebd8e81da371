"""Data centres and their labels."""

from dataclasses import dataclass, field

__all__ = ["DataCentre"]


@dataclass(slots=True, kw_only=True)
class DataCentre:
    """One data centre and the labels that operators set on it.

    Parameters
    ----------
    name : str
        Name of the data centre.
    region : str
        Name of its region.
    labels : dict of str to str
        Labels set by operators; `state=out` takes the data centre out of service.
    """

    name: str
    region: str = ""
    labels: dict = field(default_factory=dict)

    @property
    def is_out(self):
        """Whether operators have taken the data centre out of service."""
        return self.labels.get("state") == "out"
