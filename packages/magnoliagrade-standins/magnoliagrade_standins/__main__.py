"""Run a stand-in or a tool as a process: `python -m magnoliagrade_standins NAME`."""

import asyncio
import sys

from magnoliagrade.clock import SystemClock
from magnoliagrade.node import (
    announce_ready,
    has_further_flags,
    run_command_line,
    run_until_signal,
    start_site,
)

from magnoliagrade_standins.balance import BalancePlan, balance_command
from magnoliagrade_standins.bench import bench_command
from magnoliagrade_standins.demo import DemoPlan, demo_command
from magnoliagrade_standins.engine import Engine, EngineProfile, make_engine_app
from magnoliagrade_standins.explore import ExplorationPlan, explore_command
from magnoliagrade_standins.load import LoadPlan, load_command
from magnoliagrade_standins.platform import (
    ListedInstances,
    MemoryStore,
    make_platform_app,
)
from magnoliagrade_standins.proxy import FaultProxy, make_proxy_app
from magnoliagrade_standins.ranks.command import ranks_command
from magnoliagrade_standins.ranks.server import GroupProfile
from magnoliagrade_standins.service import PlainService, make_service_app
from magnoliagrade_standins.slopes import slopes_command
from magnoliagrade_standins.soak import SoakPlan, soak_command
from magnoliagrade_standins.traces import (
    assemble_traces,
    read_spans,
    trace_lines,
)
from magnoliagrade_standins.trials import run_trial, trial_functions
from magnoliagrade_standins.weights import WeightStore, make_weights_app

LOOPBACK = "127.0.0.1:0"


class StandIns:
    """Stand-ins of platform and back ends, which run until SIGTERM, and tools."""

    def platform(self, address=LOOPBACK, lag_s=0.0):
        """Serve the key-value service and the list of instances."""

        def make_app():
            clock = SystemClock()
            listing = ListedInstances(clock=clock, lag_s=lag_s)
            return make_platform_app(store=MemoryStore(clock=clock), listing=listing)

        _serve(make_app, address)

    @has_further_flags(BalancePlan)
    def balance(self, output="", **sizes):
        """Compare rebalancing policies over a day of drifting popularity."""
        balance_command(output=output, **sizes)

    @has_further_flags(ExplorationPlan)
    def explore(self, **bounds):
        """Explore switches of a group's expert map; exits with 1 on a fault."""
        sys.exit(explore_command(**bounds))

    @has_further_flags(bench_command)
    def bench(self, **options):
        """Measure the added latency and the throughput of an entry and an agent."""
        bench_command(**options)

    @has_further_flags(DemoPlan, LoadPlan)
    def demo(self, hold=False, **sizes):
        """Start a site, put a load on it and print a report; Ctrl-C stops all."""
        sys.exit(demo_command(hold=hold, **sizes))

    @has_further_flags(EngineProfile)
    def engine(self, address=LOOPBACK, name="engine", **profile):
        """Serve a model engine; the other flags are fields of its profile."""

        def make_app():
            engine = Engine(
                profile=EngineProfile(**profile), clock=SystemClock(), name=name
            )
            app = make_engine_app(engine)
            app.on_startup.append(_start_engine(engine))
            return app

        _serve(make_app, address)

    @has_further_flags(LoadPlan)
    def load(self, urls, records="", json_path="", plot_path="", **plan):
        """Put a load on running entries; the other flags are fields of its plan."""
        paths = {"json_path": json_path, "plot_path": plot_path}
        sys.exit(load_command(urls, records=records, **paths, **plan))

    def proxy(self, address=LOOPBACK):
        """Serve a fault-injecting TCP proxy."""
        _serve(lambda: make_proxy_app(FaultProxy(clock=SystemClock())), address)

    def pages(self, folder="docs"):
        """Write the pages of the documentation that are generated from code."""
        # Imported here, because it imports both binaries, which would delay the start
        # of every stand-in.
        from magnoliagrade_standins.pages import write_pages

        write_pages(folder)

    def trace(self, *files):
        """Print the traces in log files of processes as trees."""
        spans = []
        for file in files:
            with open(file, encoding="utf-8") as lines:
                spans += read_spans(lines)
        print("\n".join(trace_lines(assemble_traces(spans))))

    @has_further_flags(find=trial_functions)
    def trial(self, name, seed=1, json=False, **options):
        """Run a trial; exits with 1 if one of its checks fails."""
        if not run_trial(name, seed=seed, as_json=json, **options).passed:
            sys.exit(1)

    @has_further_flags(SoakPlan)
    def soak(self, seeds=1, seed=1, regressions=False, **sizes):
        """Inject random faults into direct entries; exits with 1 if a check fails."""
        plans = {"seeds": seeds, "seed": seed, "regressions": regressions}
        sys.exit(soak_command(**plans, **sizes))

    @has_further_flags(slopes_command)
    def slopes(self, families="", json_path="", plot_path="", **durations):
        """Measure the cost of control at several sizes and extrapolate to a fleet."""
        paths = {"json_path": json_path, "plot_path": plot_path}
        sys.exit(slopes_command(families=families, **paths, **durations))

    @has_further_flags(GroupProfile)
    def ranks(self, address=LOOPBACK, weights_url="", **profile):
        """Serve a group of ranks that run in lock-step, each on its own port."""
        ranks_command(address, weights_url=weights_url, **profile)

    def weights(self, address=LOOPBACK, bytes_per_s=1e9):
        """Serve a rate-limited weight store."""

        def make_app():
            clock = SystemClock()
            store = WeightStore(clock=clock, bytes_per_s=bytes_per_s)
            return make_weights_app(store, clock)

        _serve(make_app, address)

    def service(self, address=LOOPBACK, service_s=0.005):
        """Serve a plain service."""

        def make_app():
            service = PlainService(
                clock=SystemClock(), service_s=service_s, journal=sys.stderr
            )
            return make_service_app(service)

        _serve(make_app, address)


def _start_engine(engine):
    async def on_startup(app):
        # The application holds a reference, so that the task is not garbage-collected.
        app["engine_task"] = asyncio.create_task(engine.run())

    return on_startup


def _serve(make_app, address):
    runners = []

    async def start():
        runner, bound = await start_site(
            make_app(), address, shutdown_timeout=0.1, handler_cancellation=True
        )
        runners.append(runner)
        announce_ready(http=bound)

    async def stop():
        for runner in runners:
            await runner.cleanup()

    run_until_signal(start, stop)


if __name__ == "__main__":
    run_command_line(StandIns, name="python -m magnoliagrade_standins")
