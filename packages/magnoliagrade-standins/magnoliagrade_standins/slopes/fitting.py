"""Linear fits of readings over site size, and their extrapolation to a fleet."""

from dataclasses import dataclass

import numpy as np

__all__ = ["Fleet", "fit_line", "predict"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Fleet:
    """Size of the fleet that readings are extrapolated to.

    Parameters
    ----------
    entries : int
        Entries in each data centre.
    agents : int
        Agents in each data centre.
    organisations : int
        Number of organisations in the configuration.
    data_centres : int
        Number of data centres.
    changes_per_day : int
        Configuration changes per day.
    """

    entries: int = 39
    agents: int = 60
    organisations: int = 6800
    data_centres: int = 10
    changes_per_day: int = 960

    @property
    def changes_per_s(self):
        """Configuration changes per second."""
        return self.changes_per_day / 86400


def fit_line(values, readings):
    """Return the slope and intercept of a least-squares line through readings.

    Parameters
    ----------
    values : sequence of float
        Sizes; at least two different ones.
    readings : sequence of float
        Reading at each size.

    Returns
    -------
    slope, intercept : float
        Change of the reading per unit of size, and the reading at size 0.

    Examples
    --------
    >>> slope, intercept = fit_line([1, 2, 3], [3.0, 5.0, 7.0])
    >>> round(slope, 6), round(intercept, 6)
    (2.0, 1.0)
    """
    slope, intercept = np.polyfit(np.asarray(values, float), readings, 1)
    return float(slope), float(intercept)


def predict(results, role, name, fleet):
    """Return one reading extrapolated to the size of a fleet.

    Parameters
    ----------
    results : list of SizeResult
        Results of all families of sizes.
    role : str
        `entry` or `agent`.
    name : str
        Name of the reading.
    fleet : Fleet
        Size to extrapolate to.

    Returns
    -------
    value : float
        The reading of the smallest size of the `organisations` family, plus for
        each family its slope times the difference between the fleet and that size.

    Notes
    -----
    The model is additive: interactions between two dimensions of size, such as
    entries and data centres, are not modelled.
    """
    base = _smallest(results, "organisations")
    total = _reading(base, role, name)
    base_size_by_family = {
        "entries": 2,
        "agents": 2,
        "organisations": 10,
        "data_centres": 1,
    }
    for family, start in base_size_by_family.items():
        rows = [r for r in results if r.family == family]
        if len(rows) < 2:
            continue
        slope, _ = fit_line(
            [r.value for r in rows], [_reading(r, role, name) for r in rows]
        )
        total += slope * (getattr(fleet, family) - start)
    return total


def _smallest(results, family):
    rows = [r for r in results if r.family == family] or results
    return min(rows, key=lambda r: r.value)


def _reading(result, role, name):
    return result.rest_by_role[role][name]
