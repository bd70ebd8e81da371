"""Slopes through measured sizes, and what they give for a fleet."""

from dataclasses import dataclass

import numpy as np

__all__ = ["Fleet", "fit_line", "predict"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Fleet:
    """The size that is worked towards.

    Parameters
    ----------
    entries : int
        Entries in each data centre.
    agents : int
        Agents in each data centre.
    organisations : int
        Organisations.
    data_centres : int
        Data centres.
    changes_per_day : int
        Changes of the configuration a day.
    """

    entries: int = 39
    agents: int = 60
    organisations: int = 6800
    data_centres: int = 10
    changes_per_day: int = 960

    @property
    def changes_per_s(self):
        """Changes of the configuration a second."""
        return self.changes_per_day / 86400


def fit_line(values, readings):
    """Return slope and intercept of the least-squares line through readings.

    Parameters
    ----------
    values : sequence of float
        Sizes.
    readings : sequence of float
        What was read at each.

    Returns
    -------
    slope, intercept : float
        The line.

    Examples
    --------
    >>> slope, intercept = fit_line([1, 2, 3], [3.0, 5.0, 7.0])
    >>> round(slope, 6), round(intercept, 6)
    (2.0, 1.0)
    """
    slope, intercept = np.polyfit(np.asarray(values, float), readings, 1)
    return float(slope), float(intercept)


def predict(results, role, name, fleet):
    """Return what one reading would be at a fleet's size.

    Parameters
    ----------
    results : list of SizeResult
        Results of all families.
    role : str
        `entry` or `agent`.
    name : str
        Name of the reading.
    fleet : Fleet
        The size.

    Returns
    -------
    value : float
        The reading of the smallest size of organisations, which all families
        share, plus each family's slope times the distance to the fleet.

    Notes
    -----
    The families are added up; what two sizes cause together beyond their sum is
    not in it.
    """
    base = _smallest(results, "organisations")
    total = _reading(base, role, name)
    at_base = {"entries": 2, "agents": 2, "organisations": 10, "data_centres": 1}
    for family, start in at_base.items():
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
