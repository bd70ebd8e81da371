"""Settings of an endpoint agent."""

from dataclasses import dataclass

from magnoliagrade.configuration import same_addresses, setting
from magnoliagrade.world import Work

__all__ = ["AgentSettings"]


@dataclass(slots=True, kw_only=True)
class AgentSettings:
    """Settings of an agent; each field documents itself."""

    name: str = setting(
        section="instance",
        doc="name of the endpoint instance",
        env="MAGNOLIAGRADE_INSTANCE",
    )
    data_centre: str = setting(
        section="instance",
        doc="data centre that the endpoint stands in",
        env="MAGNOLIAGRADE_DATA_CENTRE",
    )
    data_address: str = setting(
        section="listen",
        doc="where entries send requests",
        address=True,
        default="127.0.0.1:0",
        env="MAGNOLIAGRADE_DATA_ADDRESS",
    )
    control_address: str = setting(
        section="listen",
        doc="where entries open links",
        address=True,
        default="127.0.0.1:0",
        env="MAGNOLIAGRADE_CONTROL_ADDRESS",
    )
    admin_address: str = setting(
        section="listen",
        doc="health, readiness and metrics",
        address=True,
        default="127.0.0.1:0",
        env="MAGNOLIAGRADE_ADMIN_ADDRESS",
    )
    advertised_data_address: str = setting(
        section="listen",
        doc="where others reach the data listener; empty means where it listens",
        address=True,
        default="",
    )
    advertised_control_address: str = setting(
        section="listen",
        doc="where others reach the control listener; empty means where it listens",
        address=True,
        default="",
    )
    source_address: str = setting(
        section="listen",
        doc="local address of outgoing connections; empty leaves it to the system",
        default="",
        env="MAGNOLIAGRADE_SOURCE_ADDRESS",
    )
    store_url: str = setting(
        section="platform",
        doc="URL of the platform's key-value service; only group members use it",
        url=True,
        default="",
        env="MAGNOLIAGRADE_STORE_URL",
    )
    url: str = setting(
        section="endpoint",
        doc="URL of the model engine or plain service",
        url=True,
        env="MAGNOLIAGRADE_ENDPOINT_URL",
    )
    work: str = setting(
        section="endpoint",
        doc="kind of back end",
        choices=tuple(w.value for w in Work),
        default=Work.MODEL.value,
    )
    labels: str = setting(
        section="endpoint",
        doc="labels of the endpoint as name=value, separated by commas",
        default="",
    )
    load_interval_s: float = setting(
        section="endpoint",
        doc="time between readings of the engine's load",
        unit="s",
        default=0.5,
        low=0.01,
        high=60,
    )
    group: str = setting(
        section="group",
        doc="expert-parallel group of this endpoint; empty for none",
        default="",
    )
    rank: int = setting(
        section="group",
        doc="rank within the group; -1 for none",
        default=-1,
        low=-1,
        high=4095,
    )
    group_addresses: str = setting(
        section="group",
        doc="control addresses of the group's agents by rank, separated by commas",
        default="",
    )
    rank_url: str = setting(
        section="group",
        doc="URL of the rank's orders; empty means the endpoint's URL",
        default="",
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
        doc="where spans go by OTLP over HTTP; empty writes JSON lines",
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
        """Return texts for settings that cannot go together."""
        problems = same_addresses(self)
        if bool(self.group) != (self.rank >= 0):
            problems.append("[group] group and [group] rank must be set together")
        elif self.group and not self.store_url:
            problems.append("[group] group needs [platform] store_url")
        return problems

    def label_by_name(self):
        """Return the endpoint's own labels; a rank has its group's name as one."""
        parts = [p.partition("=") for p in self.labels.split(",") if p.strip()]
        labels = {name.strip(): value.strip() for name, _, value in parts}
        if self.group:
            labels.setdefault("group", self.group)
        return labels
