"""A group of ranks as a process: one HTTP listener for each rank."""

import asyncio
import base64
import dataclasses
from dataclasses import dataclass

import numpy as np
from aiohttp import web
from magnoliagrade.algorithms.balance import rank_times, unpack_placement
from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade_agent.group.rank_client import decode_view, encode_view

from magnoliagrade_standins.balance.drift import DAY_S, DriftingPopularity
from magnoliagrade_standins.engine import Engine, EngineProfile, make_engine_app
from magnoliagrade_standins.ranks.group import RankGroup
from magnoliagrade_standins.ranks.loads import RankLoads
from magnoliagrade_standins.ranks.rank import Rank, StaleFence
from magnoliagrade_standins.weights import WeightStore

__all__ = ["GroupProcess", "GroupProfile"]

# Tokens per second from which the reported counts of each expert are computed.
TOKENS_PER_S = 2000.0


@dataclass(slots=True, kw_only=True)
class GroupProfile:
    """Sizes and speeds of a group of ranks.

    Parameters
    ----------
    ranks, experts, layers : int
        Numbers of ranks, of experts in each layer and of layers.
    step_s : float
        Duration of a step in seconds when all ranks are equally loaded.
    seed : int
        Seed of the random popularity of experts.
    drift : float
        Seconds of the simulated day, over which popularity drifts, that pass in each
        second.
    expert_bytes : int
        Size of one expert of one layer, in bytes.
    weight_bytes_per_s : float
        Rate of the weight store, in bytes per second.
    honours_fence : bool
        Whether ranks reject orders with a stale fencing token.
    """

    ranks: int = 4
    experts: int = 16
    layers: int = 2
    step_s: float = 0.02
    seed: int = 1
    drift: float = 0.0
    expert_bytes: int = 1_000_000
    weight_bytes_per_s: float = 1e9
    honours_fence: bool = True


class GroupProcess:
    """A group of ranks in lock-step, with an engine for each rank.

    Parameters
    ----------
    profile : GroupProfile
        Sizes and speeds.
    clock : Clock
        Source of time.
    weights : WeightClient, optional
        Client of a weight store shared with other processes; a local store by
        default.
    """

    def __init__(self, *, profile, clock, weights=None):
        self.profile = profile
        self.clock = clock
        rate = profile.weight_bytes_per_s
        self.weights = weights or WeightStore(clock=clock, bytes_per_s=rate)
        rng = np.random.default_rng(profile.seed)
        self.popularity = DriftingPopularity(
            layers=profile.layers, experts=profile.experts, rng=rng
        )
        self.loads = [
            RankLoads(index=i, store=self.weights, expert_bytes=profile.expert_bytes)
            for i in range(profile.ranks)
        ]
        ranks = [
            Rank(index=i, honours_fence=profile.honours_fence, load=rank_loads.load)
            for i, rank_loads in enumerate(self.loads)
        ]
        self.group = RankGroup(ranks=ranks)
        engine_profile = EngineProfile(step_base_s=profile.step_s)
        self.engines = [
            Engine(profile=engine_profile, clock=clock, name=f"rank-{i}")
            for i in range(profile.ranks)
        ]
        self.speeds = np.ones(profile.ranks)
        self.stalled = set()
        self.stall_s = 0.0
        self.counts_read_at = [clock.monotonic()] * profile.ranks

    async def run(self):
        """Advance all ranks that are not stalled until cancelled.

        In each round a rank can complete one step and begin the next. The round lasts
        `step_s` times the skew, because the slowest rank delays all others.
        """
        while True:
            started = self.clock.monotonic()
            for _ in range(2):
                advanced = [
                    self.group.advance(rank)
                    for rank in range(self.profile.ranks)
                    if rank not in self.stalled
                ]
            if not any(advanced) and self.group.ranks[0].is_running:
                self.stall_s += self.profile.step_s
            step_s = self.profile.step_s * self.skew()
            await self.clock.sleep(step_s - (self.clock.monotonic() - started))

    def expert_rates(self):
        """Return the fraction of tokens that each expert of each layer gets now."""
        return self.popularity.shares_at(
            self.clock.monotonic() * self.profile.drift % DAY_S
        )

    def layer_times(self):
        """Return the relative time of each rank in each layer, with rank 0's map."""
        view = self.group.ranks[0].view
        version = view.version_at(self.group.ranks[0].begun)
        packed_map = view.map_by_version.get(version)
        if not packed_map:
            return np.ones((self.profile.layers, self.profile.ranks))
        expert_rates = self.expert_rates()
        return rank_times(unpack_placement(packed_map), expert_rates, self.speeds)

    def skew(self):
        """Return the slowest rank's time over the mean, each summed over the layers."""
        layer_times = self.layer_times()
        return float(layer_times.max(axis=1).sum() / layer_times.mean(axis=1).sum())

    def counts(self, index):
        """Return the token counts and work of a rank since its last counts order."""
        now = self.clock.monotonic()
        seconds = max(1e-3, now - self.counts_read_at[index])
        self.counts_read_at[index] = now
        counts = self.expert_rates() * TOKENS_PER_S * seconds
        layer_times = self.layer_times()
        share = layer_times.sum(axis=0)[index] / layer_times.max(axis=1).sum()
        return {
            "counts": counts.round(1).tolist(),
            "seconds": seconds,
            "work_s": seconds * float(share),
            "step": self.group.ranks[index].begun,
            "step_s": self.profile.step_s * self.skew(),
        }

    def restart(self, index):
        """Restart one rank: its gate, its experts and its engine."""
        self.group.ranks[index].restart()
        self.loads[index].clear()
        self.engines[index].restart()

    def record(self):
        """Return the record of the maps used, with the pace and the loaded bytes."""
        return {
            "records": [dataclasses.asdict(r) for r in self.group.records],
            **self.pace(),
            "bytes": self.weights.bytes_loaded_by_kind,
        }

    def pace(self):
        """Return stalls, skew and completed steps, cheaply enough for frequent polling.

        The list of step records, which grows with each step, is left out.
        """
        return {
            "stall_s": self.stall_s,
            "skew": self.skew(),
            "completed": [r.completed for r in self.group.ranks],
        }

    def make_app(self, index):
        """Return the HTTP application of a rank: its engine and its orders."""
        app = make_engine_app(self.engines[index])
        rank = self.group.ranks[index]

        async def state(_request):
            fields = _state_fields(rank.state())
            return web.json_response({**fields, "hold_step": rank.hold_step})

        async def order(request):
            fields = await request.json()
            try:
                rank.check_fence(int(request.headers.get("X-Fence", "0")))
            except StaleFence:
                return web.Response(status=409)
            name = request.match_info["name"]
            if name == "counts":
                return web.json_response(self.counts(index))
            try:
                return web.json_response(await _ORDER_BY_NAME[name](rank, fields))
            except MagnoliagradeError:
                return web.Response(status=409)

        async def record(_request):
            return web.json_response(self.record())

        async def pace(_request):
            return web.json_response(self.pace())

        async def control(request):
            fields = await request.json()
            if fields.get("restart"):
                self.restart(index)
            if "stall" in fields:
                change = self.stalled.add if fields["stall"] else self.stalled.discard
                change(index)
            self.speeds[index] = fields.get("speed", self.speeds[index])
            return web.Response()

        app.router.add_get("/rank/state", state)
        app.router.add_get("/rank/pace", pace)
        app.router.add_get("/rank/record", record)
        app.router.add_post("/rank/control", control)
        app.router.add_post("/rank/{name}", order)
        return app

    def start(self):
        """Start the tasks of the group and return them; the caller keeps references."""
        runs = [self.run(), *(engine.run() for engine in self.engines)]
        return [asyncio.create_task(run) for run in runs]


async def _pause(rank, fields):
    return _state_fields(await rank.pause())


async def _stage(rank, fields):
    packed_map = _decode_bytes(fields["map"])
    return {"accepted": await rank.stage(fields["version"], packed_map)}


async def _hold(rank, fields):
    view = decode_view(fields["knowledge"])
    accepted = await rank.hold(view, after_step=fields["after_step"])
    return {"accepted": accepted}


async def _outcome(rank, fields):
    await rank.note_outcome(decode_view(fields["knowledge"]))
    return {}


async def _release(rank, fields):
    await rank.release(fields["step"])
    return {}


async def _settle(rank, fields):
    await rank.settle(decode_view(fields["knowledge"]))
    return {}


async def _run(rank, fields):
    return {"accepted": await rank.run(int(fields["generation"]), fields["step"])}


_ORDER_BY_NAME = {
    "hold": _hold,
    "outcome": _outcome,
    "pause": _pause,
    "release": _release,
    "run": _run,
    "settle": _settle,
    "stage": _stage,
}


def _state_fields(state):
    return {
        "boot_id": state.boot_id,
        "begun": state.begun,
        "knowledge": encode_view(state.view),
    }


def _decode_bytes(text):
    return base64.b64decode(text)
