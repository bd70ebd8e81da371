"""Command line that the binaries of entry and agent share."""

import sys
import warnings

import fire

import magnoliagrade
from magnoliagrade.configuration import InvalidDocument, read_settings
from magnoliagrade.node.command_line import (
    command_help,
    find_problem,
    overview,
    public_commands,
    split_arguments,
)
from magnoliagrade.node.process import run_until_signal
from magnoliagrade.observability import configure_logging

__all__ = ["EXIT_INVALID", "check_settings", "run_command_line", "serve_node"]

# Exit code for invalid arguments or settings.
EXIT_INVALID = 2


def run_command_line(commands, *, name):
    """Run the command that the process's arguments name, with Fire.

    Parameters
    ----------
    commands : type
        Class whose public methods are the commands.
    name : str
        Name of the binary.
    """
    arguments = sys.argv[1:]
    command, _, flags = split_arguments(commands, arguments)
    if arguments in (["--version"], ["-V"], ["version"]):
        print(f"{name} {magnoliagrade.__version__}")
        return
    wants_help = command == "help" or {"help", "h"} & set(flags)
    if command in (None, "help") and (wants_help or not arguments):
        print(overview(commands, name=name))
        return
    if wants_help and command in public_commands(commands):
        print(command_help(commands, name=name, command=command))
        return
    if problem := find_problem(commands, arguments):
        print(f"{name}: {problem}\nrun {name} --help for usage", file=sys.stderr)
        sys.exit(EXIT_INVALID)
    # Fire first parses arguments as Python literals, which causes warnings on paths.
    warnings.simplefilter("ignore", SyntaxWarning)
    fire.Fire(commands, name=name)


def serve_node(node_class, settings_class, file, *, bounds_logs=False):
    """Run a node until SIGTERM or SIGINT, then exit the process.

    Parameters
    ----------
    node_class : type
        Class with `start` and `stop`.
    settings_class : type
        Class of its settings.
    file : str
        Settings file in INI format.
    bounds_logs : bool
        Whether logs go to standard output, limited to the lines per second in the
        settings; otherwise they go to standard error without a limit.
    """
    settings = read_settings_or_exit(settings_class, file)
    configure_logging(
        instance=settings.name,
        data_centre=settings.data_centre,
        level=settings.log_level,
        stream=sys.stdout if bounds_logs else None,
        lines_per_s=settings.log_lines_per_s if bounds_logs else None,
    )
    node = node_class(settings=settings)
    sys.exit(run_until_signal(node.start, node.stop))


def check_settings(settings_class, file):
    """Print that a settings file is valid, or print its problems and exit with 2."""
    read_settings_or_exit(settings_class, file)
    print(f"{file}: ok")


def read_settings_or_exit(settings_class, file):
    """Return validated settings, or print every problem and exit with 2."""
    try:
        return read_settings(settings_class, file)
    except InvalidDocument as exc:
        for problem in exc.problems:
            print(problem, file=sys.stderr)
        sys.exit(EXIT_INVALID)
