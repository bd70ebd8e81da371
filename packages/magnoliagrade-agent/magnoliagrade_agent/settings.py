"""Settings of an endpoint agent."""

from dataclasses import dataclass

from magnoliagrade.configuration import setting
from magnoliagrade.node import NodeSettings
from magnoliagrade.world import Work

__all__ = ["AgentSettings"]


@dataclass(slots=True, kw_only=True)
class AgentSettings(NodeSettings):
    """Settings of an agent; each field's `doc` describes it."""

    store_url: str = setting(
        section="platform",
        doc="URL of the platform's key-value service; used only by agents of a group",
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
        doc="time between reads of the engine's load report",
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
        doc="URL that the rank's orders are sent to; if empty, the endpoint's URL",
        default="",
    )

    def combinations(self):
        """Return a description of each invalid combination of settings."""
        # `dataclass(slots=True)` creates a second class, so `super()` without arguments
        # refers to the wrong one.
        problems = NodeSettings.combinations(self)
        if bool(self.group) != (self.rank >= 0):
            problems.append("[group] group and [group] rank must be set together")
        elif self.group and not self.store_url:
            problems.append("[group] group needs [platform] store_url")
        return problems

    def label_by_name(self):
        """Return the endpoint's own labels; in a group, `group` is one of them."""
        parts = [p.partition("=") for p in self.labels.split(",") if p.strip()]
        labels = {name.strip(): value.strip() for name, _, value in parts}
        if self.group:
            labels.setdefault("group", self.group)
        return labels
