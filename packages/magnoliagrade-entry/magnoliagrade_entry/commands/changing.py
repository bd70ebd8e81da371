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
    "parse_label_words",
    "show_difference",
]

WAIT_POLL_S = 0.3
DIFFERENCE_COLUMNS = ["section", "key", "before", "after"]


@dataclass(slots=True, kw_only=True)
class ChangeOptions:
    """Options that all changing commands have in common.

    Parameters
    ----------
    author : str
        Who makes the change.
    operation : str
        Id of the change; drawn if empty. Repeating a command under the same id
        makes the change at most once.
    is_waiting : bool
        Whether to wait until all instances have the change in force.
    timeout_s : float
        Longest wait.
    is_json : bool
        Whether to print JSON.
    is_unchecked : bool
        Whether to go on when no instance can be asked what it has in force.
    is_superseding : bool
        Whether to change a store that is behind the instances.
    """

    author: str
    operation: str = ""
    is_waiting: bool = False
    timeout_s: float = 20.0
    is_json: bool = False
    is_unchecked: bool = False
    is_superseding: bool = False


async def show_difference(addresses, file, *, is_json):
    """Print what applying a file would change."""
    after = parse_configuration(read_text(file), file=file)
    async with open_site(addresses) as site:
        before = _parsed(await site.in_force())
    _print_difference(before, after, is_json=is_json)
    return Exit.DONE


async def apply_file(addresses, file, options):
    """Replace the configuration by a file's, after showing what changes."""
    text = read_text(file)
    after = parse_configuration(text, file=file)
    async with open_site(addresses) as site:
        current = await site.in_force() if not addresses.entry else None
        expected = None
        if not addresses.entry:
            expected = current.revision if current else 0
            if not options.is_json:
                _print_difference(_parsed(current), after, is_json=False)
        change = ReplaceAll(text=text, file=file)
        return await _make(site, change, options, expected_revision=expected)


async def change_labels(addresses, kind, name, words, options):
    """Set and remove labels of one object.

    Parameters
    ----------
    addresses : SiteAddresses
        Where store and instances are.
    kind, name : str
        The object.
    words : sequence of str
        `key=value` sets a label, `key-` removes one.
    options : ChangeOptions
        Options.
    """
    value_by_label, removed = parse_label_words(words)
    change = SetLabels(
        kind=kind.replace("-", "_"),
        name=name,
        value_by_label=value_by_label,
        removed=removed,
    )
    async with open_site(addresses) as site:
        return await _make(site, change, options)


def parse_label_words(words):
    """Return the labels to set and those to remove.

    Raises
    ------
    MagnoliagradeError
        `INVALID_REQUEST` for a word of neither form.

    Examples
    --------
    >>> parse_label_words(["state=draining", "zone-"])
    ({'state': 'draining'}, ['zone'])
    """
    value_by_label, removed = {}, []
    for word in words:
        label, equals, value = word.partition("=")
        if equals:
            value_by_label[label] = value
        elif word.endswith("-"):
            removed.append(word[:-1])
        else:
            detail = f"{word!r} is neither key=value nor key-"
            raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    if not words:
        detail = "no label is given; write key=value or key-"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    return value_by_label, removed


async def _make(site, change, options, *, expected_revision=None):
    operation = options.operation or secrets.token_hex(8)
    try:
        if site.addresses.entry:
            revision = await _change_by_entry(site, change, options, operation)
        else:
            revision = await _change_store(
                site, change, options, operation, expected_revision
            )
    except MagnoliagradeError as exc:
        if exc.kind is ErrorKind.OUTCOME_UNKNOWN:
            hint = f"ask later with: magnoliagrade history --operation {operation}"
            print(hint, file=sys.stderr)
        raise
    if not options.is_json:
        print(f"accepted: revision {revision}, operation {operation}")
    behind = await _wait(site, revision, options) if options.is_waiting else []
    if options.is_json:
        more = {"revision": revision, "operation": operation}
        print_rows([{"behind": n} for n in behind], ["behind"], is_json=True, more=more)
    elif behind:
        print(f"not in force yet on: {', '.join(behind)}", file=sys.stderr)
    elif options.is_waiting:
        print("in force on all instances")
    return Exit.NOT_EVERYWHERE if behind else Exit.DONE


async def _change_store(site, change, options, operation, expected_revision):
    stored = await site.needs_repository().change(
        change,
        author=options.author,
        operation=operation,
        expected_revision=expected_revision,
        held_revision=await _held_revision(site, options),
        is_superseding=options.is_superseding,
    )
    return stored.root.change_of(operation).revision


async def _held_revision(site, options):
    try:
        rows = await site.exchange.entries(await site.listed())
    except MagnoliagradeError:
        if options.is_unchecked:
            return 0
        raise
    answered = [row for row in rows if row.report is not None]
    if rows and not answered and not options.is_unchecked:
        detail = (
            f"none of {len(rows)} entries says what it has in force; "
            "--unchecked goes on all the same"
        )
        raise MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, detail)
    return max((row.revision for row in answered), default=0)


async def _change_by_entry(site, change, options, operation):
    body = {
        "change": change_to_fields(change),
        "author": options.author,
        "operation": operation,
        "is_superseding": options.is_superseding,
    }
    url = site.addresses.entry.rstrip("/") + "/configuration"
    try:
        async with site.session.post(url, json=body) as response:
            answer = await response.json(content_type=None)
    except aiohttp.ClientConnectorError as exc:
        detail = f"entry {url} cannot be reached: {exc}"
        raise MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, detail) from exc
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        detail = f"entry {url} gave no answer to operation {operation}: {exc!r}"
        raise MagnoliagradeError(ErrorKind.OUTCOME_UNKNOWN, detail) from exc
    if response.status == 200:
        return answer["revision"]
    problems = answer.get("problems") or [answer.get("detail", response.reason)]
    kind = ErrorKind(answer.get("code", "INTERNAL"))
    raise MagnoliagradeError(kind, "; ".join(problems))


async def _wait(site, revision, options):
    # Each instance is asked on its own, so that a silent one delays no other.
    instances = await site.listed()
    until = SystemClock().monotonic() + options.timeout_s
    are_there = await asyncio.gather(
        *(_comes_into_force(site, i, revision, until) for i in instances)
    )
    pairs = zip(instances, are_there, strict=True)
    return sorted(instance.name for instance, is_there in pairs if not is_there)


async def _comes_into_force(site, instance, revision, until):
    clock = SystemClock()
    while True:
        (row,) = await site.exchange.statuses([instance])
        if row.revision >= revision:
            return True
        if clock.monotonic() >= until:
            return False
        await clock.sleep(WAIT_POLL_S)


def _parsed(stored):
    if stored is None:
        return Configuration()
    return parse_configuration(stored.text, revision=stored.revision)


def _print_difference(before, after, *, is_json):
    rows = [
        {"section": d.section, "key": d.key, "before": d.before, "after": d.after}
        for d in differences(before, after)
    ]
    if not rows and not is_json:
        print("nothing changes")
        return
    more = {"revision": before.revision}
    print_rows(rows, DIFFERENCE_COLUMNS, is_json=is_json, more=more)
