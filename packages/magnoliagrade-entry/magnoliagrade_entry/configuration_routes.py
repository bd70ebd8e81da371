"""Admin routes of an entry that read and change the configuration."""

import json
import secrets

from aiohttp import web
from magnoliagrade.configuration import InvalidDocument, change_from_fields
from magnoliagrade.errors import (
    ErrorKind,
    MagnoliagradeError,
    problem_details,
    response_of,
)

__all__ = ["configuration_routes"]


def configuration_routes(node):
    """Return the admin routes of the configuration.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Returns
    -------
    routes : list of aiohttp.web.RouteDef
        `GET /configuration` returns the configuration in force. `POST
        /configuration` makes a change through this entry, for operators who cannot
        reach the store themselves.
    """

    async def read(_request):
        return web.json_response(_configuration_in_force(node))

    async def write(request):
        try:
            fields = await _read_change(request)
            accepted = await _apply_change(node, fields)
        except MagnoliagradeError as exc:
            return _problem_response(exc)
        return web.json_response(
            {"revision": accepted.revision, "operation": accepted.operation}
        )

    return [web.get("/configuration", read), web.post("/configuration", write)]


async def _read_change(request):
    try:
        fields = json.loads(await request.read())
        author = fields["author"]
        operation = fields.get("operation", "")
        expected = fields.get("expected_revision")
        is_superseding = fields.get("is_superseding", False)
        if not isinstance(author, str) or not isinstance(operation, str):
            raise TypeError("author and operation must be strings")
        if not isinstance(expected, int | None) or not isinstance(is_superseding, bool):
            raise TypeError(
                "expected_revision must be an integer, is_superseding a boolean"
            )
        change = change_from_fields(fields["change"])
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        detail = f"the request body is not a valid change: {exc}"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail) from exc
    return {
        "change": change,
        "author": author,
        "operation": operation,
        "expected_revision": expected,
        "is_superseding": is_superseding,
    }


async def _apply_change(node, fields):
    operation = fields["operation"] or secrets.token_hex(8)
    stored = await node.repository.change(
        **{**fields, "operation": operation},
        held_revision=node.configuration.revision,
    )
    await node.propagation.put_in_force(stored, source="operator")
    return stored.root.change_of(operation)


def _configuration_in_force(node):
    stored = node.configuration.stored
    if stored is None:
        return {"revision": 0, "text": "", "history": []}
    rows = [
        {
            "revision": c.revision,
            "operation": c.operation,
            "author": c.author,
            "time": c.time,
            "summary": c.summary,
        }
        for c in stored.root.history
    ]
    return {"revision": stored.revision, "text": stored.text, "history": rows}


def _problem_response(error):
    body = problem_details(error)
    if isinstance(error, InvalidDocument):
        body["problems"] = [str(p) for p in error.problems]
    return web.json_response(
        body,
        status=response_of(error.kind).status,
        content_type="application/problem+json",
    )
