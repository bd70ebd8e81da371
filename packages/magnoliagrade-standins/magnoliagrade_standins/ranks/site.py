"""A site that runs a group of ranks in addition to its other endpoints."""

import socket

from magnoliagrade_standins.harness import (
    CONFIGURATION,
    Site,
    SitePlan,
    binary_command,
    standin_command,
)

__all__ = ["GROUP", "GroupSite", "group_configuration", "group_plan"]

GROUP = "experts"


def group_configuration(*, ranks, policy="weighed", interval_s=1.0):
    """Return the section of the configuration that describes the group.

    Parameters
    ----------
    ranks : int
        Number of ranks.
    policy : str
        Rebalancing policy.
    interval_s : float
        Seconds between rebalancing plans.
    """
    return f"""
[group {GROUP}]
ranks = {ranks}
experts = 16
layers = 2
slots_per_rank = {16 // ranks + 2}
rebalancing = {policy}
option.interval_s = {interval_s}
option.expert_bytes = 1000000
option.store_bytes_per_s = 1000000000
"""


def group_plan(**fields):
    """Return the plan of a site with one data centre and one group.

    Parameters
    ----------
    **fields
        Parameters of `group_configuration`.
    """
    return SitePlan(
        entries_by_data_centre={"kamloops": 1},
        configuration=CONFIGURATION + group_configuration(**fields),
        has_proxy=True,
    )


class GroupSite(Site):
    """Running processes of a site with one group of ranks.

    Parameters
    ----------
    plan : SitePlan
        Plan whose configuration contains the section of `group_configuration`.
    ranks : int
        Number of ranks of the group.
    options : dict, optional
        Further fields of the group's `GroupProfile`.
    data_centre : str
        Name of the data centre in which the group runs.
    """

    __slots__ = ("data_centre", "options", "ranks")

    def __init__(self, *, plan, ranks, options=None, data_centre="kamloops"):
        super().__init__(plan=plan)
        self.data_centre = data_centre
        self.options = options or {}
        self.ranks = ranks

    def name_of(self, rank):
        """Return the name of a rank's endpoint."""
        return f"{self.data_centre}-rank-{rank}"

    async def group_record(self):
        """Return the record of the maps that the group used, as the ranks keep it."""
        async with self.session.get(f"{self._rank_url(0)}/rank/record") as response:
            return await response.json()

    async def group_pace(self):
        """Return the group's skew, steps and stalls without the record of maps."""
        async with self.session.get(f"{self._rank_url(0)}/rank/pace") as response:
            return await response.json()

    async def hold_step(self, rank):
        """Return the step at which a rank is held, 0 for none."""
        async with self.session.get(f"{self._rank_url(rank)}/rank/state") as response:
            return (await response.json())["hold_step"]

    async def control_rank(self, rank, **fields):
        """Restart or stall a rank or set its speed, as the fields say."""
        url = f"{self._rank_url(rank)}/rank/control"
        async with self.session.post(url, json=fields) as response:
            response.raise_for_status()

    async def restart_agent(self, rank):
        """Kill a rank's agent and start it again."""
        agent = self.agent_by_name[self.name_of(rank)]
        await agent.kill()
        await self.start_listed(agent, "agent")

    def _rank_url(self, rank):
        return f"http://{self.back_end_by_name['ranks'].addresses[f'rank{rank}']}"

    def _back_end_starts(self):
        yield from super()._back_end_starts()
        yield self._start_group()

    async def _start_group(self):
        command = standin_command("ranks", ranks=self.ranks, **self.options)
        process = self._process("ranks", command)
        self.back_end_by_name["ranks"] = process
        await process.start()
        names = [self.name_of(rank) for rank in range(self.ranks)]
        addresses = [await self._address_for_control(name) for name in names]
        for rank, name in enumerate(names):
            await self._start_rank_agent(rank, name, addresses)

    async def _address_for_control(self, name):
        # The settings of each agent contain the control addresses of all agents of the
        # group, so the addresses are needed before the agents listen.
        if self.proxy is not None:
            return await self._open_proxy_target(f"{name}/control")
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            return f"127.0.0.1:{listener.getsockname()[1]}"

    async def _start_rank_agent(self, rank, name, addresses):
        listen = await self._listen_settings(name)
        if self.proxy is None:
            listen = {"control_address": addresses[rank]}
        sections = {
            "instance": {"name": name, "data_centre": self.data_centre},
            "listen": listen,
            "platform": {"store_url": self.platform_url_via_proxy},
            "endpoint": {
                "url": self._rank_url(rank),
                "work": "model",
                "labels": "work=model",
            },
            "group": {
                "group": GROUP,
                "rank": rank,
                "group_addresses": ",".join(addresses),
            },
        }
        path = self._write_settings(name, sections, self.plan.agent_settings)
        command = binary_command("magnoliagrade-agent", "serve", path)
        self.agent_by_name[name] = self._process(name, command)
        await self.start_listed(self.agent_by_name[name], "agent")
