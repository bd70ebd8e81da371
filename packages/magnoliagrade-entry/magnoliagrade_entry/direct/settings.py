"""Settings of an entry on the operators' platform."""

from dataclasses import dataclass

from magnoliagrade.configuration import same_addresses, setting

__all__ = ["DirectSettings"]


@dataclass(slots=True, kw_only=True)
class DirectSettings:
    """Settings of a direct entry; each field documents itself."""

    name: str = setting(section="instance", doc="name of the instance")
    data_centre: str = setting(
        section="instance", doc="data centre that the instance stands in"
    )
    caller_address: str = setting(
        section="listen", doc="where callers connect", address=True
    )
    ready_address: str = setting(
        section="listen", doc="where the platform asks for readiness", address=True
    )
    link_address: str = setting(
        section="listen", doc="where other entries open links", address=True
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
    revoke_ms: float = setting(
        section="bounds",
        doc="longest time that a key may be honoured after its removal",
        unit="ms",
        default=5000.0,
        low=100,
        high=3600000,
    )
    grace_s: float = setting(
        section="bounds",
        doc="time between SIGTERM and the end of the process",
        unit="s",
        default=8.0,
        low=0.1,
        high=3600,
    )
    stall_ms: float = setting(
        section="bounds",
        doc="how long a group of ranks waits for one that does not answer",
        unit="ms",
        default=1500.0,
        low=0,
        high=600000,
    )
    retry_ratio: float = setting(
        section="bounds",
        doc="attempts beyond the first that all entries together may make a request",
        default=0.2,
        low=0,
        high=10,
    )
    retry_extra: float = setting(
        section="bounds",
        doc="attempts beyond the first that are allowed besides in each window",
        default=10.0,
        low=0,
        high=10**6,
    )
    retry_window_s: float = setting(
        section="bounds",
        doc="window of the retry budget",
        unit="s",
        default=10.0,
        low=0.1,
        high=3600,
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
