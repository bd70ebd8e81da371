"""Load statistics of a group at its coordinator, and plans to rebalance it."""

import numpy as np
from magnoliagrade.algorithms.balance import (
    ExpertCounter,
    RebalancingInput,
    SpeedEstimator,
    rank_times,
    rebalancing_policies,
    rebalancing_rate,
    skew,
)

__all__ = ["GroupBalance"]


class GroupBalance:
    """Token counts and speeds of a group's ranks, from which plans are made.

    Parameters
    ----------
    group : Group
        The group's configuration.
    groups : int
        Number of groups that share the data centre's weight store.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_counter", "_speeds", "group", "groups")

    def __init__(self, *, group, groups, clock):
        self.group = group
        self.groups = groups
        self._clock = clock
        self._counter = ExpertCounter(
            layers=group.layers,
            experts=group.experts,
            half_life_s=group.rebalancing_options().half_life_s,
        )
        self._speeds = SpeedEstimator(ranks=group.ranks)

    def add(self, message, placement):
        """Add a rank's report of token counts and working time.

        Parameters
        ----------
        message : ExpertCounts
            The report; ignored if its size does not match the group's configuration.
        placement : ndarray of bool, shape (layers, ranks, experts)
            Placement in force.
        """
        shape = (self.group.layers, self.group.experts)
        if len(message.counts) != shape[0] * shape[1]:
            return
        counts = np.array(message.counts).reshape(shape)
        is_accepted = self._counter.add(
            counts,
            rank=message.rank,
            sequence=message.sequence,
            interval_s=message.seconds,
            now=self._clock.monotonic(),
        )
        if is_accepted:
            loads = rank_times(
                placement, self._counter.rates(), np.ones(self.group.ranks)
            )
            load = float(loads.sum(axis=0)[message.rank]) * message.seconds
            self._speeds.add(message.rank, seconds=message.work_seconds, load=load)

    def skew(self, placement):
        """Return the skew of the ranks' times under a placement, from the counts."""
        return skew(rank_times(placement, self._counter.rates(), self._speeds.speeds()))

    def plan(self, placement):
        """Return the plan of the group's policy, or None to keep the placement.

        Parameters
        ----------
        placement : ndarray of bool, shape (layers, ranks, experts)
            Placement in force.
        """
        if not self._counter.has_counts:
            return None
        options = self.group.rebalancing_options()
        bytes_per_s = rebalancing_rate(
            store_bytes_per_s=options.store_bytes_per_s,
            share=options.store_share,
            groups=self.groups,
        )
        situation = RebalancingInput(
            placement=placement,
            rates=self._counter.rates(),
            speeds=self._speeds.speeds(),
            slots=self.group.slots_per_rank,
            expert_bytes=options.expert_bytes,
            bytes_per_s=bytes_per_s,
            budget_bytes=bytes_per_s * options.interval_s,
            horizon_s=options.horizon_s,
        )
        return rebalancing_policies.get(self.group.rebalancing)().plan(situation)
