"""Base of the processes of entries and agents: links, tasks, settings, commands."""

from magnoliagrade.node.attempts import AttemptTable
from magnoliagrade.node.command_line import has_further_flags
from magnoliagrade.node.commands import (
    EXIT_INVALID,
    check_settings,
    run_command_line,
    serve_node,
)
from magnoliagrade.node.configuration_spread import (
    ConfigurationPropagation,
    register_propagation,
)
from magnoliagrade.node.configuration_state import ConfigurationState
from magnoliagrade.node.direct_settings import DirectProcessSettings
from magnoliagrade.node.handlers import HandlerTable
from magnoliagrade.node.links import LinkTable, run_link, send_heartbeats
from magnoliagrade.node.node import Node
from magnoliagrade.node.outcomes import OutcomeTable
from magnoliagrade.node.process import announce_ready, run_until_signal, start_site
from magnoliagrade.node.settings import NodeSettings
from magnoliagrade.node.status_report import register_status
from magnoliagrade.node.tasks import Tasks, TaskTable

__all__ = [
    "EXIT_INVALID",
    "AttemptTable",
    "ConfigurationPropagation",
    "ConfigurationState",
    "DirectProcessSettings",
    "HandlerTable",
    "LinkTable",
    "Node",
    "NodeSettings",
    "OutcomeTable",
    "TaskTable",
    "Tasks",
    "announce_ready",
    "check_settings",
    "has_further_flags",
    "register_propagation",
    "register_status",
    "run_command_line",
    "run_link",
    "run_until_signal",
    "send_heartbeats",
    "serve_node",
    "start_site",
]
