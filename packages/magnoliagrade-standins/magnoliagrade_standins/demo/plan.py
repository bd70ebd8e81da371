"""Sizes of a demonstration and the site that they make."""

from dataclasses import dataclass

from magnoliagrade_standins.harness import SitePlan

__all__ = ["DemoPlan"]


@dataclass(slots=True, kw_only=True)
class DemoPlan:
    """Sizes of a demonstration; the defaults are those of the brief.

    Parameters
    ----------
    data_centres : str or sequence of str
        Names, separated by commas.
    entries : int
        Entry instances over all data centres.
    engines : int
        Model endpoints over all data centres.
    services : int
        Plain-service endpoints over all data centres.

    Examples
    --------
    >>> DemoPlan(entries=7).site_plan().entries_by_data_centre
    {'kamloops': 3, 'kelowna': 2, 'vernon': 2}
    """

    data_centres: object = "kamloops,kelowna,vernon"
    entries: int = 7
    engines: int = 12
    services: int = 3

    def site_plan(self):
        """Return the plan of a site of these sizes."""
        names = self.data_centres
        if isinstance(names, str):
            names = [name.strip() for name in names.split(",")]
        return SitePlan(
            entries_by_data_centre=_spread(self.entries, names),
            engines_by_data_centre=_spread(self.engines, names),
            services_by_data_centre=_spread(self.services, names),
        )


def _spread(count, names):
    whole, rest = divmod(count, len(names))
    return {name: whole + (i < rest) for i, name in enumerate(names)}
