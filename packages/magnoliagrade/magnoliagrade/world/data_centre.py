"""Data centres."""

from dataclasses import dataclass, field

__all__ = ["DataCentre"]


@dataclass(slots=True, kw_only=True)
class DataCentre:
    """One data centre and the labels that operators gave it.

    Parameters
    ----------
    name : str
        Name of the data centre.
    region : str
        Name of its region.
    labels : dict of str to str
        Operators' labels; `state=out` takes the data centre out.
    """

    name: str
    region: str = ""
    labels: dict = field(default_factory=dict)

    @property
    def is_out(self):
        """Whether operators have taken the data centre out."""
        return self.labels.get("state") == "out"
