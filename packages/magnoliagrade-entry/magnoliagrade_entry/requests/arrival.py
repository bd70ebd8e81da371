"""Understanding a caller's request."""

import asyncio
import json

from magnoliagrade.algorithms import hash64
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http import end_to_end_headers
from magnoliagrade.identity import new_request_id
from magnoliagrade.world import Request, Work

__all__ = ["MODEL_PATHS", "read_arrival"]

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 128
PREFIX_BYTES = 256
_SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
_TRUE_AND_FALSE = {"?1": True, "?0": False}
_CONSUMED_HEADERS = (
    "x-organisation-labels",
    "x-request-labels",
    "x-deadline-seconds",
    "x-priority",
    "x-request-id",
    "idempotent",
)


async def read_arrival(http_request, *, configuration, settings, clock):
    """Return the request that a caller sent.

    Parameters
    ----------
    http_request : aiohttp.web.Request
        The incoming HTTP request.
    configuration : Configuration
        Configuration in force.
    settings : EntrySettings
        Limits on bodies.
    clock : Clock
        Source of time.

    Returns
    -------
    request : Request
        The checked request.

    Raises
    ------
    MagnoliagradeError
        `UNAUTHENTICATED`, `INVALID_REQUEST`, `TOO_LARGE` or `NO_ROUTE`.
    """
    organisation = _authenticate(http_request.headers, configuration)
    body = await _read_body(http_request, settings)
    headers = http_request.headers
    if http_request.path in MODEL_PATHS:
        request = _read_model_request(http_request, body)
    else:
        request = _read_service_request(http_request, body)
    application = configuration.application_by_name.get(request.application)
    if application is None or _is_other_work(application, http_request.path):
        detail = f"application {request.application!r} does not exist"
        raise MagnoliagradeError(ErrorKind.NO_ROUTE, detail)
    request.organisation = organisation.name
    request.labels = {
        **_read_labels(headers.get("X-Request-Labels", "")),
        **organisation.labels,
        "application": request.application,
    }
    request.repeatable = _is_repeatable(http_request, request, application)
    request.priority = int(_read_number(headers, "X-Priority", 0, -100, 100))
    allowed_s = _read_number(
        headers, "X-Deadline-Seconds", application.deadline_s, 0.001, 86400
    )
    request.deadline = clock.monotonic() + allowed_s
    request.idempotency_key = headers.get("Idempotency-Key", "")
    return request


def _is_other_work(application, path):
    is_model_path = path in MODEL_PATHS
    return is_model_path != (application.work is Work.MODEL)


def _authenticate(headers, configuration):
    scheme, _, key = headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        detail = "an Authorization header with a bearer key is required"
        raise MagnoliagradeError(ErrorKind.UNAUTHENTICATED, detail)
    organisation = configuration.organisation_of_key(key.strip())
    if organisation is None:
        raise MagnoliagradeError(ErrorKind.UNAUTHENTICATED, "the key is not known")
    return organisation


async def _read_body(http_request, settings):
    limit = settings.body_limit_bytes
    declared = http_request.content_length or 0
    if declared > limit:
        detail = f"body of {declared} bytes exceeds {limit}"
        raise MagnoliagradeError(ErrorKind.TOO_LARGE, detail)
    parts = []
    size = 0
    try:
        async with asyncio.timeout(settings.body_timeout_s):
            async for part in http_request.content.iter_any():
                size += len(part)
                if size > limit:
                    detail = f"body exceeds {limit} bytes"
                    raise MagnoliagradeError(ErrorKind.TOO_LARGE, detail)
                parts.append(part)
    except TimeoutError as exc:
        detail = f"body was not sent within {settings.body_timeout_s} s"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail) from exc
    return b"".join(parts)


def _read_model_request(http_request, body):
    if http_request.method != "POST":
        detail = f"method {http_request.method} is not POST"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    try:
        fields = json.loads(body)
    except ValueError as exc:
        detail = f"body is not JSON: {exc}"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail) from exc
    model = _field(fields, "model", str)
    prompt = _prompt_text(fields)
    output = fields.get("max_tokens", DEFAULT_OUTPUT_TOKENS)
    if type(output) is not int or output < 1:
        detail = f"max_tokens {output!r} is not a positive whole number"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    return Request(
        id=_request_id(http_request.headers),
        organisation="",
        application=model,
        method="POST",
        path=http_request.path_qs,
        header_by_name=_forwarded_headers(http_request.headers),
        body=body,
        streaming=fields.get("stream") is True,
        prompt_tokens=max(1, len(prompt) // BYTES_PER_TOKEN),
        output_tokens=output,
        prefix_hash=hash64(f"{model}\0{prompt[:PREFIX_BYTES]}"),
    )


def _prompt_text(fields):
    if "messages" in fields:
        messages = _field(fields, "messages", list)
        if not all(isinstance(m, dict) for m in messages):
            detail = "messages holds something that is no object"
            raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
        return "\0".join(json.dumps(m, sort_keys=True) for m in messages)
    return _field(fields, "prompt", str)


def _field(fields, name, kind):
    value = fields.get(name) if isinstance(fields, dict) else None
    if not isinstance(value, kind):
        detail = f"field {name!r} is not a {kind.__name__}"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    return value


def _read_service_request(http_request, body):
    application, _, rest = http_request.path_qs.lstrip("/").partition("/")
    return Request(
        id=_request_id(http_request.headers),
        organisation="",
        application=application.partition("?")[0],
        method=http_request.method,
        path="/" + rest,
        header_by_name=_forwarded_headers(http_request.headers),
        body=body,
    )


def _forwarded_headers(headers):
    kept = end_to_end_headers(headers)
    return {k: v for k, v in kept.items() if k not in _CONSUMED_HEADERS}


def _request_id(headers):
    given = headers.get("X-Request-Id", "")
    if given and len(given) <= 128 and given.isprintable() and " " not in given:
        return given
    return new_request_id()


def _is_repeatable(http_request, request, application):
    text = http_request.headers.get("Idempotent")
    if text is not None:
        if text not in _TRUE_AND_FALSE:
            detail = f"header Idempotent {text!r} is neither ?1 nor ?0"
            raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
        return _TRUE_AND_FALSE[text]
    if application.work is Work.MODEL or http_request.method in _SAFE_METHODS:
        return True
    return request.path.partition("?")[0] in application.idempotent_paths


def _read_labels(text):
    labels = {}
    for part in filter(None, (p.strip() for p in text.split(","))):
        name, equals, value = part.partition("=")
        if not equals:
            detail = f"request label {part!r} is not name=value"
            raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
        labels[name.strip()] = value.strip()
    return labels


def _read_number(headers, name, default, low, high):
    text = headers.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = low - 1
    if not low <= value <= high:
        detail = f"header {name} {text!r} is not a number from {low} to {high}"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    return value
