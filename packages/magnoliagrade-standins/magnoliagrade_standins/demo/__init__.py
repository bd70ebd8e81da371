"""Demonstration on one machine: starts a site, puts a load on it and reports."""

from magnoliagrade_standins.demo.command import demo_command
from magnoliagrade_standins.demo.plan import DemoPlan
from magnoliagrade_standins.demo.run import DemoResult, run_demo

__all__ = ["DemoPlan", "DemoResult", "demo_command", "run_demo"]
