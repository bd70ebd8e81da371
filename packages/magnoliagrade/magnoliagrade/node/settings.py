"""Settings common to entries and agents."""

from dataclasses import dataclass

from magnoliagrade.configuration import same_addresses, setting

__all__ = ["NodeSettings"]


@dataclass(slots=True, kw_only=True)
class NodeSettings:
    """Settings of every entry and agent; the `doc` of a field describes it."""

    name: str = setting(
        section="instance", doc="name of the instance", env="MAGNOLIAGRADE_INSTANCE"
    )
    data_centre: str = setting(
        section="instance",
        doc="data centre of the instance",
        env="MAGNOLIAGRADE_DATA_CENTRE",
    )
    data_address: str = setting(
        section="listen",
        doc="address that receives requests from entries",
        address=True,
        default="127.0.0.1:0",
        env="MAGNOLIAGRADE_DATA_ADDRESS",
    )
    control_address: str = setting(
        section="listen",
        doc="address that accepts links from entries",
        address=True,
        default="127.0.0.1:0",
        env="MAGNOLIAGRADE_CONTROL_ADDRESS",
    )
    admin_address: str = setting(
        section="listen",
        doc="address that serves health, readiness and metrics",
        address=True,
        default="127.0.0.1:0",
        env="MAGNOLIAGRADE_ADMIN_ADDRESS",
    )
    advertised_data_address: str = setting(
        section="listen",
        doc="address at which others reach the data listener; empty: its bound one",
        address=True,
        default="",
    )
    advertised_control_address: str = setting(
        section="listen",
        doc="address at which others reach the control listener; empty: its bound one",
        address=True,
        default="",
    )
    source_address: str = setting(
        section="listen",
        doc="local address of outgoing connections; empty lets the system choose",
        default="",
        env="MAGNOLIAGRADE_SOURCE_ADDRESS",
    )
    drain_limit_s: float = setting(
        section="shutdown",
        doc="longest wait for requests in flight",
        unit="s",
        default=120.0,
        low=0,
        high=86400,
    )
    log_level: str = setting(
        section="logs",
        doc="lowest level that is logged",
        default="INFO",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
    )
    otlp_url: str = setting(
        section="traces",
        doc="URL that receives spans by OTLP over HTTP; empty writes JSON lines",
        url=True,
        default="",
    )
    sampling: float = setting(
        section="traces",
        doc="fraction of new traces that are recorded",
        default=0.0,
        low=0,
        high=1,
    )

    def combinations(self):
        """Return a message for each combination of settings that is invalid."""
        return same_addresses(self)
