"""Settings of a process, and the operators' configuration."""

from magnoliagrade.configuration.changes import (
    ReplaceAll,
    SetLabels,
    change_from_fields,
    change_to_fields,
)
from magnoliagrade.configuration.chunks import ParsedChunks
from magnoliagrade.configuration.difference import Difference, differences
from magnoliagrade.configuration.document import Configuration
from magnoliagrade.configuration.ini import parse_configuration
from magnoliagrade.configuration.ini_writer import format_configuration
from magnoliagrade.configuration.problems import (
    InvalidDocument,
    Problem,
)
from magnoliagrade.configuration.repository import ConfigurationRepository
from magnoliagrade.configuration.root import (
    Change,
    ConfigurationRoot,
    StoredConfiguration,
)
from magnoliagrade.configuration.settings import (
    describe_settings,
    read_settings,
    same_addresses,
    setting,
)

__all__ = [
    "Change",
    "Configuration",
    "ConfigurationRepository",
    "ConfigurationRoot",
    "Difference",
    "InvalidDocument",
    "ParsedChunks",
    "Problem",
    "ReplaceAll",
    "SetLabels",
    "StoredConfiguration",
    "change_from_fields",
    "change_to_fields",
    "describe_settings",
    "differences",
    "format_configuration",
    "parse_configuration",
    "read_settings",
    "same_addresses",
    "setting",
]
