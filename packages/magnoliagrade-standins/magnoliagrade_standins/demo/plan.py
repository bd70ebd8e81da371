"""Sizes of a demonstration and the site of these sizes."""

from dataclasses import dataclass

from magnoliagrade_standins.harness import CONFIGURATION, Site, SitePlan
from magnoliagrade_standins.ranks.site import GroupSite, group_configuration

__all__ = ["DemoPlan"]


@dataclass(slots=True, kw_only=True)
class DemoPlan:
    """Sizes of a demonstration.

    Parameters
    ----------
    data_centres : str or sequence of str
        Names of the data centres; a string has them separated by commas.
    entries : int
        Entry instances over all data centres.
    engines : int
        Model endpoints over all data centres.
    ranks : int
        Number of model endpoints that are ranks of one expert-parallel group in the
        first data centre; 0 for no group. A site with fewer model endpoints has no
        group.
    drift : float
        Simulated seconds of the daily drift of expert popularity per second.
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
    ranks: int = 4
    drift: float = 300.0
    services: int = 3

    @property
    def group_ranks(self):
        """Number of ranks of the site's group, or 0 without a group."""
        return self.ranks if self.engines >= self.ranks else 0

    @property
    def process_count(self):
        """Number of processes of the site, including the platform stand-in."""
        endpoints = self.engines + self.services
        single_engines = self.engines - self.group_ranks
        back_ends = single_engines + self.services + bool(self.group_ranks)
        return 1 + self.entries + endpoints + back_ends

    def site_plan(self):
        """Return the plan of a site of these sizes."""
        names = self._data_centre_names()
        configuration = CONFIGURATION
        if self.group_ranks:
            configuration += group_configuration(ranks=self.group_ranks)
        return SitePlan(
            entries_by_data_centre=_distribute(self.entries, names),
            engines_by_data_centre=self._engines_by_data_centre(names),
            services_by_data_centre=_distribute(self.services, names),
            configuration=configuration,
        )

    def make_site(self):
        """Return a site of these sizes that is not started yet."""
        if not self.group_ranks:
            return Site(plan=self.site_plan())
        return GroupSite(
            plan=self.site_plan(),
            ranks=self.group_ranks,
            options={"drift": self.drift},
            data_centre=self._data_centre_names()[0],
        )

    def _data_centre_names(self):
        if isinstance(self.data_centres, str):
            return [name.strip() for name in self.data_centres.split(",")]
        return list(self.data_centres)

    def _engines_by_data_centre(self, names):
        # With a group, the first data centre has no other model endpoints, unless it is
        # the only one.
        single = self.engines - self.group_ranks
        if not self.group_ranks or len(names) == 1:
            return _distribute(single, names)
        return {names[0]: 0, **_distribute(single, names[1:])}


def _distribute(count, names):
    quotient, remainder = divmod(count, len(names))
    return {name: quotient + (i < remainder) for i, name in enumerate(names)}
