"""The main job on one machine: a site, a load on it, a report."""

from magnoliagrade_standins.demo.command import demo_command
from magnoliagrade_standins.demo.plan import DemoPlan
from magnoliagrade_standins.demo.run import DemoResult, run_demo

__all__ = ["DemoPlan", "DemoResult", "demo_command", "run_demo"]
