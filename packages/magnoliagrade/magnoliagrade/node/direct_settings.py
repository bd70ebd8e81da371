"""Settings common to direct entries and agents, which use the operators' platform."""

from dataclasses import dataclass

from magnoliagrade.configuration import same_addresses, setting

__all__ = ["DirectProcessSettings"]


@dataclass(slots=True, kw_only=True)
class DirectProcessSettings:
    """Settings of every direct entry and agent; the `doc` of a field describes it."""

    name: str = setting(section="instance", doc="name of the instance")
    data_centre: str = setting(section="instance", doc="data centre of the instance")
    link_address: str = setting(
        section="listen",
        doc="address that accepts links from processes of the same kind",
        address=True,
    )
    metrics_address: str = setting(
        section="listen", doc="address that serves metrics", address=True
    )
    source_address: str = setting(
        section="listen",
        doc="local address of outgoing connections; empty lets the system choose",
        default="",
    )
    store_address: str = setting(
        section="platform", doc="address of the platform's store", address=True
    )
    response_memory_bytes: int = setting(
        section="limits",
        doc="memory for the responses of back ends in the process together; above it, "
        "unfinished ones that hold more than 64 KiB are closed",
        unit="bytes",
        default=24 * 1024 * 1024,
        low=65536,
        high=2**40,
    )
    log_level: str = setting(
        section="logs",
        doc="lowest level that is logged",
        default="INFO",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
    )
    log_lines_per_s: float = setting(
        section="logs",
        doc="log lines written on average, at most; lines beyond it are only counted",
        unit="1/s",
        default=100.0,
        low=1,
        high=10**6,
    )

    def combinations(self):
        """Return a message for each combination of settings that is invalid."""
        return same_addresses(self)
