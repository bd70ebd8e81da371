"""The operators' commands of the binary `magnoliagrade`."""

from magnoliagrade_entry.commands.changing import (
    apply_file,
    change_labels,
    show_difference,
)
from magnoliagrade_entry.commands.exits import Exit, run_command
from magnoliagrade_entry.commands.explaining import show_explanation
from magnoliagrade_entry.commands.reading import (
    check_configuration,
    show_configuration,
    show_history,
    show_status,
)
from magnoliagrade_entry.commands.site import SiteAddresses

__all__ = [
    "Exit",
    "SiteAddresses",
    "apply_file",
    "change_labels",
    "check_configuration",
    "run_command",
    "show_configuration",
    "show_difference",
    "show_explanation",
    "show_history",
    "show_status",
]
