"""Site sizes at which the cost of control is measured."""

from dataclasses import dataclass

from magnoliagrade_standins.harness import CONFIGURATION

__all__ = ["FAMILIES", "Size"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Size:
    """Size of one site to be measured.

    Parameters
    ----------
    family : str
        Dimension of size that is varied.
    value : int
        Size in that dimension.
    data_centres : int
        Number of data centres.
    entries : int
        Entries in each data centre.
    agents : int
        Agents in the first data centre.
    organisations : int
        Organisations in the configuration.
    """

    family: str
    value: int
    data_centres: int = 1
    entries: int = 2
    agents: int = 2
    organisations: int = 10

    def configuration(self):
        """Return the INI text of the configuration."""
        rows = [
            f"\n[organisation filler-{i}]\nshare = 2\nkey_digests = {i:064x}\n"
            for i in range(max(0, self.organisations - 10))
        ]
        return CONFIGURATION + "".join(rows)


FAMILIES = {
    "entries": [
        Size(family="entries", value=n, entries=n, agents=2) for n in (1, 7, 20, 40)
    ],
    "agents": [
        Size(family="agents", value=n, entries=2, agents=n) for n in (5, 15, 60)
    ],
    "organisations": [
        Size(family="organisations", value=n, organisations=n) for n in (10, 100, 6800)
    ],
    "data_centres": [
        Size(family="data_centres", value=n, data_centres=n, entries=3, agents=2)
        for n in (1, 4, 10)
    ],
}
