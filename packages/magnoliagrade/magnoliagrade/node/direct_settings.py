"""Settings that processes on the operators' platform have in common."""

from dataclasses import dataclass

from magnoliagrade.configuration import same_addresses, setting

__all__ = ["DirectProcessSettings"]


@dataclass(slots=True, kw_only=True)
class DirectProcessSettings:
    """Settings of every direct process; each field documents itself."""

    name: str = setting(section="instance", doc="name of the instance")
    data_centre: str = setting(
        section="instance", doc="data centre that the instance stands in"
    )
    link_address: str = setting(
        section="listen",
        doc="where other processes of the same kind open links",
        address=True,
    )
    metrics_address: str = setting(
        section="listen", doc="where metrics are served", address=True
    )
    source_address: str = setting(
        section="listen",
        doc="local address of outgoing connections; empty leaves it to the system",
        default="",
    )
    store_address: str = setting(
        section="platform", doc="address of the platform's store", address=True
    )
    log_level: str = setting(
        section="logs",
        doc="lowest level that is logged",
        default="INFO",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
    )
    log_lines_per_s: float = setting(
        section="logs",
        doc="log lines that are written at most, on average; more are counted only",
        unit="1/s",
        default=100.0,
        low=1,
        high=10**6,
    )

    def combinations(self):
        """Return texts for settings that cannot go together."""
        return same_addresses(self)
