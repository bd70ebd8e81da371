"""Prometheus metrics of the group that an agent belongs to."""

from prometheus_client import Counter, Gauge, Histogram

__all__ = [
    "GENERATIONS",
    "MOVED_BYTES",
    "PLANS",
    "PLAN_COST_S",
    "SKEW",
    "SWITCH_S",
    "update",
]

COMPLETE = Gauge("magnoliagrade_group_complete", "Whether the group runs", ["group"])
GENERATIONS = Gauge(
    "magnoliagrade_group_generations", "Generations opened by this agent", ["group"]
)
MAP_VERSION = Gauge(
    "magnoliagrade_group_map_version", "Version of the map in force", ["group"]
)
SWITCH_OPEN = Gauge(
    "magnoliagrade_group_switch_open",
    "Whether a switch is armed here and not yet known to all",
    ["group"],
)
COORDINATOR = Gauge(
    "magnoliagrade_group_coordinator", "Whether this agent coordinates", ["group"]
)
SKEW = Gauge(
    "magnoliagrade_group_skew_ratio",
    "Slowest over mean time of ranks, by the coordinator's counts",
    ["group"],
)
PLANS = Counter(
    "magnoliagrade_group_plans_total",
    "Plans by what became of them",
    ["group", "result"],
)
PLAN_COST_S = Gauge(
    "magnoliagrade_group_plan_cost_seconds", "Cost of the newest plan", ["group"]
)
MOVED_BYTES = Counter(
    "magnoliagrade_group_moved_bytes_total", "Bytes of experts ordered", ["group"]
)
SWITCH_S = Histogram(
    "magnoliagrade_group_switch_seconds",
    "Length of a switch by phase",
    ["group", "phase"],
)


def update(service):
    """Set the gauges that show the state of an agent's group.

    Parameters
    ----------
    service : GroupService
        Group service of the agent.
    """
    group, member = service.group, service.member
    COMPLETE.labels(group).set(service.is_complete)
    GENERATIONS.labels(group).set(member.generations_opened)
    MAP_VERSION.labels(group).set(member.view.version_at(service.step))
    SWITCH_OPEN.labels(group).set(member.is_open())
