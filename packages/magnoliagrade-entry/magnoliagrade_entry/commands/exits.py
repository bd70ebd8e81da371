"""Exit codes of the operators' commands."""

import enum
import sys

import uvloop
from magnoliagrade.configuration import InvalidDocument
from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = ["Exit", "run_command"]


class Exit(enum.IntEnum):
    """Exit codes; docs/operators/configuration.md lists them."""

    DONE = 0
    FAILED = 1
    INVALID = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5
    NOT_EVERYWHERE = 6


_EXIT_BY_KIND = {
    ErrorKind.CONFIGURATION_INVALID: Exit.INVALID,
    ErrorKind.SETTINGS_INVALID: Exit.INVALID,
    ErrorKind.INVALID_REQUEST: Exit.INVALID,
    ErrorKind.CONFLICT: Exit.CONFLICT,
    ErrorKind.CONFIGURATION_STALE: Exit.CONFLICT,
    ErrorKind.OUTCOME_UNKNOWN: Exit.UNKNOWN,
    ErrorKind.STORE_UNAVAILABLE: Exit.UNREACHABLE,
    ErrorKind.STORE_LIMITED: Exit.UNREACHABLE,
}


def run_command(coroutine):
    """Run a command and exit the process with the command's exit code.

    Parameters
    ----------
    coroutine : coroutine
        Returns an `Exit`. Errors that it raises are printed and mapped to one.
    """
    sys.exit(uvloop.run(_exit_code_of(coroutine)))


async def _exit_code_of(coroutine):
    try:
        return int(await coroutine)
    except InvalidDocument as exc:
        for problem in exc.problems:
            print(f"{exc.kind.value}: {problem}", file=sys.stderr)
        return int(Exit.INVALID)
    except MagnoliagradeError as exc:
        print(exc, file=sys.stderr)
        return int(_EXIT_BY_KIND.get(exc.kind, Exit.FAILED))
