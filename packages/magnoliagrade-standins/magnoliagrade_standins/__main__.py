"""Run one stand-in as a process: `python -m magnoliagrade_standins NAME`."""

import asyncio
import dataclasses
import json
import sys

import fire
from magnoliagrade.algorithms.balance import rebalancing_policies
from magnoliagrade.clock import SystemClock
from magnoliagrade.node import announce_ready, run_until_signal, start_site

from magnoliagrade_standins.balance import BalancePlan, plot_days, run_day
from magnoliagrade_standins.engine import Engine, EngineProfile, make_engine_app
from magnoliagrade_standins.explore import ExplorationPlan, explore
from magnoliagrade_standins.platform import (
    ListedInstances,
    MemoryStore,
    make_platform_app,
)
from magnoliagrade_standins.proxy import FaultProxy, make_proxy_app
from magnoliagrade_standins.service import PlainService, make_service_app

LOOPBACK = "127.0.0.1:0"


class StandIns:
    """Stand-ins of the platform and of back ends; each runs until SIGTERM."""

    def platform(self, address=LOOPBACK, lag_s=0.0):
        """Serve the key-value service and the list of instances."""

        def make():
            clock = SystemClock()
            listing = ListedInstances(clock=clock, lag_s=lag_s)
            return make_platform_app(store=MemoryStore(clock=clock), listing=listing)

        _serve(make, address)

    def engine(self, address=LOOPBACK, name="engine", **profile):
        """Serve a model engine; further flags are fields of its profile."""

        def make():
            engine = Engine(
                profile=EngineProfile(**profile), clock=SystemClock(), name=name
            )
            app = make_engine_app(engine)
            app.on_startup.append(_start_engine(engine))
            return app

        _serve(make, address)

    def proxy(self, address=LOOPBACK):
        """Serve a fault-injecting TCP proxy."""
        _serve(lambda: make_proxy_app(FaultProxy(clock=SystemClock())), address)

    def explore(self, **bounds):
        """Explore the switch of a map; flags are fields of `ExplorationPlan`."""
        finding = explore(ExplorationPlan(**bounds))
        print(json.dumps(dataclasses.asdict(finding), indent=1))
        if finding.two_maps or finding.stuck_seeds:
            sys.exit(1)

    def balance(self, output="", **sizes):
        """Compare rebalancing policies; flags are fields of `BalancePlan`.

        With `--output PREFIX` it writes PREFIX.json and PREFIX.svg.
        """
        plan = BalancePlan(**sizes)
        reports = []
        for name in rebalancing_policies.names():
            print(f"{name}: a day of {plan.layers} layers", file=sys.stderr)
            reports.append(run_day(plan, name))
        print(json.dumps([r.summary() for r in reports], indent=1))
        if output:
            rows = [dataclasses.asdict(r) for r in reports]
            with open(f"{output}.json", "w", encoding="utf-8") as file:
                json.dump(rows, file)
            plot_days(reports, report_s=plan.report_s, path=f"{output}.svg")

    def service(self, address=LOOPBACK, service_s=0.005):
        """Serve a plain service."""

        def make():
            service = PlainService(clock=SystemClock(), service_s=service_s)
            return make_service_app(service)

        _serve(make, address)


def _start_engine(engine):
    async def on_startup(app):
        # The application keeps the task referenced while it runs.
        app["engine_task"] = asyncio.create_task(engine.run())

    return on_startup


def _serve(make, address):
    runners = []

    async def start():
        runner, bound = await start_site(make(), address, shutdown_timeout=0.1)
        runners.append(runner)
        announce_ready(http=bound)

    async def stop():
        for runner in runners:
            await runner.cleanup()

    run_until_signal(start, stop)


if __name__ == "__main__":
    fire.Fire(StandIns, name="magnoliagrade_standins")
