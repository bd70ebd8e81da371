"""Commands that change the configuration: apply, label, drain, admit, diff."""

import asyncio
import secrets
import sys
from dataclasses import dataclass

import aiohttp
from magnoliagrade.clock import SystemClock
from magnoliagrade.configuration import (
    Configuration,
    ReplaceAll,
    SetLabels,
    change_to_fields,
    differences,
    parse_configuration,
)
from magnoliagrade.errors import ErrorKind, MagnoliagradeError

from magnoliagrade_entry.commands.exits import Exit
from magnoliagrade_entry.commands.output import print_rows
from magnoliagrade_entry.commands.reading import read_text
from magnoliagrade_entry.commands.site import open_site

__all__ = [
    "ChangeOptions",
    "apply_file",
    "change_labels",
    "parse_label_arguments",
    "show_difference",
]

STATUS_POLL_INTERVAL_S = 0.3
DIFFERENCE_COLUMNS = ["section", "key", "before", "after"]


@dataclass(slots=True, kw_only=True)
class ChangeOptions:
    """Options that all commands that change the configuration share.

    Parameters
    ----------
    author : str
        Author of the change.
    operation : str
        Id of the change; random if empty. A command that is repeated with the same
        id makes the change at most once.
    is_waiting : bool
        Whether to wait until all instances have the change in force.
    timeout_s : float
        Time-out of the wait, in seconds.
    is_json : bool
        Whether to print JSON.
    allows_unknown_revision : bool
        Whether to continue if no instance reports the revision it has in force.
    is_superseding : bool
        Whether to change a store whose revision is behind that of the instances.
    """

    author: str
    operation: str = ""
    is_waiting: bool = False
    timeout_s: float = 20.0
    is_json: bool = False
    allows_unknown_revision: bool = False
    is_superseding: bool = False


async def show_difference(addresses, file, *, is_json):
    """Print the changes that applying a file would make."""
    after = parse_configuration(read_text(file), file=file)
    async with open_site(addresses) as site:
        before = _parse_stored(await site.newest_configuration())
    _print_difference(before, after, is_json=is_json)
    return Exit.DONE


async def apply_file(addresses, file, options):
    """Print the changes and replace the configuration with the content of a file."""
    text = read_text(file)
    after = parse_configuration(text, file=file)
    async with open_site(addresses) as site:
        current = await site.newest_configuration() if not addresses.entry else None
        expected = None
        if not addresses.entry:
            expected = current.revision if current else 0
            if not options.is_json:
                _print_difference(_parse_stored(current), after, is_json=False)
        change = ReplaceAll(text=text, file=file)
        return await _make_change(site, change, options, expected_revision=expected)


async def change_labels(addresses, kind, name, label_arguments, options):
    """Set and remove labels of an object.

    Parameters
    ----------
    addresses : SiteAddresses
        Addresses of store and instances.
    kind, name : str
        Kind and name of the object.
    label_arguments : sequence of str
        `key=value` sets a label, `key-` removes one.
    options : ChangeOptions
        Options of the change.
    """
    value_by_label, removed = parse_label_arguments(label_arguments)
    change = SetLabels(
        kind=kind.replace("-", "_"),
        name=name,
        value_by_label=value_by_label,
        removed=removed,
    )
    async with open_site(addresses) as site:
        return await _make_change(site, change, options)


def parse_label_arguments(label_arguments):
    """Return the labels to set, by name, and a list of those to remove.

    Raises
    ------
    MagnoliagradeError
        `INVALID_REQUEST` if an argument has neither form, or if there are none.

    Examples
    --------
    >>> parse_label_arguments(["state=draining", "zone-"])
    ({'state': 'draining'}, ['zone'])
    """
    value_by_label, removed = {}, []
    for argument in label_arguments:
        label, equals, value = argument.partition("=")
        if equals:
            value_by_label[label] = value
        elif argument.endswith("-"):
            removed.append(argument[:-1])
        else:
            detail = f"label argument {argument!r} is neither key=value nor key-"
            raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    if not label_arguments:
        detail = "no label given; use key=value to set one or key- to remove one"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    return value_by_label, removed


async def _make_change(site, change, options, *, expected_revision=None):
    operation = options.operation or secrets.token_hex(8)
    try:
        if site.addresses.entry:
            revision = await _change_through_entry(site, change, options, operation)
        else:
            revision = await _change_store(
                site, change, options, operation, expected_revision
            )
    except MagnoliagradeError as exc:
        if exc.kind is ErrorKind.OUTCOME_UNKNOWN:
            hint = f"check later with: magnoliagrade history --operation {operation}"
            print(hint, file=sys.stderr)
        raise
    if not options.is_json:
        print(f"accepted: revision {revision}, operation {operation}")
    behind = (
        await _wait_until_in_force(site, revision, options)
        if options.is_waiting
        else []
    )
    if options.is_json:
        extra = {"revision": revision, "operation": operation}
        print_rows(
            [{"behind": n} for n in behind], ["behind"], is_json=True, extra=extra
        )
    elif behind:
        print(f"not in force yet on: {', '.join(behind)}", file=sys.stderr)
    elif options.is_waiting:
        print("in force on all instances")
    return Exit.NOT_EVERYWHERE if behind else Exit.DONE


async def _change_store(site, change, options, operation, expected_revision):
    stored = await site.require_repository().change(
        change,
        author=options.author,
        operation=operation,
        expected_revision=expected_revision,
        held_revision=await _newest_held_revision(site, options),
        is_superseding=options.is_superseding,
    )
    return stored.root.change_of(operation).revision


async def _newest_held_revision(site, options):
    try:
        rows = await site.instance_client.sample_entries(await site.list_instances())
    except MagnoliagradeError:
        if options.allows_unknown_revision:
            return 0
        raise
    reported = [row for row in rows if row.report is not None]
    if rows and not reported and not options.allows_unknown_revision:
        detail = (
            f"none of {len(rows)} entries reports its revision in force; "
            "use --unchecked to change the store anyway"
        )
        raise MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, detail)
    return max((row.revision for row in reported), default=0)


async def _change_through_entry(site, change, options, operation):
    body = {
        "change": change_to_fields(change),
        "author": options.author,
        "operation": operation,
        "is_superseding": options.is_superseding,
    }
    url = site.addresses.entry.rstrip("/") + "/configuration"
    try:
        async with site.session.post(url, json=body) as response:
            fields = await response.json(content_type=None)
    except aiohttp.ClientConnectorError as exc:
        detail = f"cannot connect to entry {url}: {exc}"
        raise MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, detail) from exc
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        detail = (
            f"entry {url} sent no complete response to operation {operation}: {exc!r}"
        )
        raise MagnoliagradeError(ErrorKind.OUTCOME_UNKNOWN, detail) from exc
    if response.status == 200:
        return fields["revision"]
    problems = fields.get("problems") or [fields.get("detail", response.reason)]
    kind = ErrorKind(fields.get("code", "INTERNAL"))
    raise MagnoliagradeError(kind, "; ".join(problems))


async def _wait_until_in_force(site, revision, options):
    # Each instance is polled in its own task, so that one that does not respond
    # does not delay the others.
    instances = await site.list_instances()
    deadline = SystemClock().monotonic() + options.timeout_s
    are_in_force = await asyncio.gather(
        *(_is_in_force_by_deadline(site, i, revision, deadline) for i in instances)
    )
    pairs = zip(instances, are_in_force, strict=True)
    return sorted(instance.name for instance, is_in_force in pairs if not is_in_force)


async def _is_in_force_by_deadline(site, instance, revision, deadline):
    clock = SystemClock()
    while True:
        (row,) = await site.instance_client.statuses([instance])
        if row.revision >= revision:
            return True
        if clock.monotonic() >= deadline:
            return False
        await clock.sleep(STATUS_POLL_INTERVAL_S)


def _parse_stored(stored):
    if stored is None:
        return Configuration()
    return parse_configuration(stored.text, revision=stored.revision)


def _print_difference(before, after, *, is_json):
    rows = [
        {"section": d.section, "key": d.key, "before": d.before, "after": d.after}
        for d in differences(before, after)
    ]
    if not rows and not is_json:
        print("no changes")
        return
    extra = {"revision": before.revision}
    print_rows(rows, DIFFERENCE_COLUMNS, is_json=is_json, extra=extra)
