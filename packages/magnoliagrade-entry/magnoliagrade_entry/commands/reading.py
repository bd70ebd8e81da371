"""Commands that read the configuration: show, history, status and check."""

import dataclasses
import sys

from magnoliagrade.configuration import InvalidDocument, Problem, parse_configuration
from magnoliagrade.errors import ErrorKind

from magnoliagrade_entry.commands.exits import Exit
from magnoliagrade_entry.commands.output import print_rows
from magnoliagrade_entry.commands.site import open_site

__all__ = [
    "check_configuration",
    "read_text",
    "show_configuration",
    "show_history",
    "show_status",
]

STATUS_COLUMNS = (
    "instance role data_centre listed revision age_s ready leaving reasons".split()
)


def read_text(file):
    """Return the text of a file.

    Raises
    ------
    InvalidDocument
        If the file cannot be read as UTF-8.
    """
    try:
        with open(file, encoding="utf-8") as stream:
            return stream.read()
    except (OSError, UnicodeDecodeError) as exc:
        problem = Problem(file=str(file), allowed=f"cannot be read: {exc}")
        raise InvalidDocument(ErrorKind.CONFIGURATION_INVALID, [problem]) from exc


async def check_configuration(file):
    """Check a configuration file and print the result."""
    configuration = parse_configuration(read_text(file), file=file)
    print(f"{file}: ok, {len(configuration.organisation_by_name)} organisations")
    return Exit.DONE


async def show_configuration(addresses, *, is_json):
    """Print the newest configuration in force."""
    async with open_site(addresses) as site:
        stored = await site.newest_configuration()
        if stored is None:
            print("no configuration has been applied yet", file=sys.stderr)
            return Exit.FAILED
        if is_json:
            extra = {"revision": stored.revision, "text": stored.text}
            print_rows([], [], is_json=True, extra=extra)
            return Exit.DONE
        change = stored.root.newest
        print(f"# revision {change.revision} by {change.author} at {change.time}")
        print(stored.text, end="")
    return Exit.DONE


async def show_history(addresses, *, operation, is_json):
    """Print accepted changes, newest first, or only the one of an operation.

    Parameters
    ----------
    addresses : SiteAddresses
        Addresses of store and instances.
    operation : str
        Id of the change to look up; empty for all changes.
    is_json : bool
        Whether to print JSON.

    Returns
    -------
    exit : Exit
        `FAILED` if an operation is given that is not in the history.
    """
    async with open_site(addresses) as site:
        stored = await site.newest_configuration()
    history = stored.root.history if stored is not None else []
    rows = [
        dataclasses.asdict(change)
        for change in reversed(history)
        if operation in ("", change.operation)
    ]
    columns = ["revision", "time", "author", "operation", "summary"]
    print_rows(rows, columns, is_json=is_json)
    return Exit.FAILED if operation and not rows else Exit.DONE


async def show_status(addresses, *, is_json):
    """Print the status of every listed instance.

    Returns
    -------
    exit : Exit
        `NOT_EVERYWHERE` if an instance did not reply or is behind.
    """
    async with open_site(addresses) as site:
        rows = await site.instance_client.statuses(await site.list_instances())
    newest = max((row.revision for row in rows), default=0)
    print_rows(
        [_status_row(row) for row in rows],
        STATUS_COLUMNS,
        is_json=is_json,
        extra={"newest_revision": newest},
    )
    is_everywhere = all(row.revision == newest for row in rows)
    return Exit.DONE if is_everywhere else Exit.NOT_EVERYWHERE


def _status_row(row):
    instance, report = row.instance, row.report
    listed = {
        "instance": instance.name,
        "role": instance.role.value,
        "data_centre": instance.data_centre,
        "listed": instance.state.value,
    }
    if report is None:
        return {**listed, "reasons": "does not respond"}
    return {
        **listed,
        "revision": report.revision,
        "age_s": round(report.age_seconds, 1),
        "ready": not report.not_ready,
        "leaving": report.is_leaving,
        "reasons": "; ".join(report.not_ready),
    }
