"""Authentication, validation and parsing of a caller's HTTP request."""

import json
import re

from magnoliagrade.algorithms import hash64
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http import end_to_end_headers, read_body
from magnoliagrade.identity import new_request_id
from magnoliagrade.world import Request, Work

__all__ = ["MODEL_PATHS", "read_arrival", "request_id_of"]

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
# Ratio by which the number of prompt tokens is estimated.
CHARACTERS_PER_TOKEN = 4
# Output tokens assumed of a request without `max_tokens`.
DEFAULT_OUTPUT_TOKENS = 128
MAX_OUTPUT_TOKENS = 1_000_000
# Requests for a model get the same prefix hash if this many first characters of their
# prompts agree.
PREFIX_CHARACTERS = 256
MAX_REQUEST_ID_CHARACTERS = 128
_REQUEST_ID = re.compile(r"[!-~]+")
_SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
_BOOLEAN_BY_TEXT = {"?1": True, "?0": False}
_CONSUMED_HEADERS = (
    "x-organisation-labels",
    "x-request-labels",
    "x-deadline-seconds",
    "x-priority",
    "x-request-id",
    "idempotent",
)


async def read_arrival(
    http_request, *, request_id, configuration, settings, clock, budget
):
    """Return a caller's HTTP request, authenticated, read and validated.

    Parameters
    ----------
    http_request : aiohttp.web.Request
        The incoming HTTP request.
    request_id : str
        Id of the request, from `request_id_of`.
    configuration : Configuration
        Configuration in force.
    settings : EntrySettings
        Limits on bodies.
    clock : Clock
        Source of time.
    budget : BodyBudget
        Memory for bodies, from which the size of the request's body is taken; the
        caller of this function gives it back once the request is served.

    Returns
    -------
    request : Request
        The validated request.

    Raises
    ------
    MagnoliagradeError
        `UNAUTHENTICATED`, `INVALID_REQUEST`, `TOO_LARGE`, `OVERLOADED` or
        `NO_ROUTE`. Whatever was taken from the budget has then been given back.
    """
    _check_header_encoding(http_request.headers)
    organisation = _authenticate(http_request.headers, configuration)
    body = await read_body(
        http_request,
        limit_bytes=settings.body_limit_bytes,
        timeout_s=settings.body_timeout_s,
        budget=budget,
    )
    try:
        return _parse_request(
            http_request, body, request_id, organisation, configuration, clock
        )
    except MagnoliagradeError:
        budget.release(len(body))
        raise


def request_id_of(headers):
    """Return the `X-Request-Id` of a request, or a new id if it has no valid one.

    Parameters
    ----------
    headers : mapping of str to str
        Headers of the HTTP request.

    Examples
    --------
    >>> request_id_of({"X-Request-Id": "a-1"})
    'a-1'
    >>> len(request_id_of({"X-Request-Id": "two words"}))
    32
    """
    given = headers.get("X-Request-Id", "")
    if len(given) <= MAX_REQUEST_ID_CHARACTERS and _REQUEST_ID.fullmatch(given):
        return given
    return new_request_id()


def _parse_request(http_request, body, request_id, organisation, configuration, clock):
    headers = http_request.headers
    if http_request.path in MODEL_PATHS:
        request = _read_model_request(http_request, body, request_id)
    else:
        request = _read_service_request(http_request, body, request_id)
    application = configuration.application_by_name.get(request.application)
    if application is None or _has_other_work(application, http_request.path):
        detail = (
            f"application {request.application!r} does not exist or does not serve "
            "this path"
        )
        raise MagnoliagradeError(ErrorKind.NO_ROUTE, detail)
    request.organisation = organisation.name
    request.labels = {
        **_read_labels(headers.get("X-Request-Labels", "")),
        **organisation.labels,
        "application": request.application,
    }
    request.repeatable = _is_repeatable(http_request, request, application)
    request.priority = int(_read_number_header(headers, "X-Priority", 0, -100, 100))
    allowed_s = _read_number_header(
        headers, "X-Deadline-Seconds", application.deadline_s, 0.001, 86400
    )
    request.deadline = clock.monotonic() + allowed_s
    request.idempotency_key = headers.get("Idempotency-Key", "")
    return request


def _has_other_work(application, path):
    """Return whether only one of application and path is for model requests."""
    is_model_path = path in MODEL_PATHS
    return is_model_path != (application.work is Work.MODEL)


def _check_header_encoding(headers):
    for name, value in headers.items():
        # aiohttp's parser decodes bytes that are not UTF-8 to lone surrogates.
        if not value.isascii() and not _is_encodable(value):
            detail = f"header {name!r} is not UTF-8"
            raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)


def _is_encodable(text):
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _authenticate(headers, configuration):
    scheme, _, key = headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        detail = "an Authorization header with a bearer key is required"
        raise MagnoliagradeError(ErrorKind.UNAUTHENTICATED, detail)
    organisation = configuration.organisation_of_key(key.strip())
    if organisation is None:
        raise MagnoliagradeError(ErrorKind.UNAUTHENTICATED, "the bearer key is unknown")
    return organisation


def _read_model_request(http_request, body, request_id):
    if http_request.method != "POST":
        detail = f"model requests must use POST, got {http_request.method}"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    coding = http_request.headers.get("Content-Encoding", "identity")
    if coding.lower() != "identity":
        detail = f"content encoding {coding!r} is not supported for model requests"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as exc:
        detail = f"body is not valid JSON: {exc}"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail) from exc
    model = _typed_field(fields, "model", str)
    prompt = _prompt_text(fields)
    if not _is_encodable(model + prompt):
        detail = "model or prompt contains an unpaired surrogate"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    output = fields.get("max_tokens", DEFAULT_OUTPUT_TOKENS)
    if type(output) is not int or not 1 <= output <= MAX_OUTPUT_TOKENS:
        detail = f"max_tokens is not an integer from 1 to {MAX_OUTPUT_TOKENS}"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    return Request(
        id=request_id,
        organisation="",
        application=model,
        method="POST",
        path=http_request.path_qs,
        header_by_name=_forwarded_headers(http_request.headers),
        body=body,
        streaming=fields.get("stream") is True,
        prompt_tokens=max(1, len(prompt) // CHARACTERS_PER_TOKEN),
        output_tokens=output,
        prefix_hash=hash64(f"{model}\0{prompt[:PREFIX_CHARACTERS]}"),
    )


def _prompt_text(fields):
    if "messages" in fields:
        messages = _typed_field(fields, "messages", list)
        if not all(isinstance(m, dict) for m in messages):
            detail = "messages contains an element that is not an object"
            raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
        return "\0".join(json.dumps(m, sort_keys=True) for m in messages)
    return _typed_field(fields, "prompt", str)


def _typed_field(fields, name, kind):
    value = fields.get(name) if isinstance(fields, dict) else None
    if not isinstance(value, kind):
        detail = f"field {name!r} is missing or not of type {kind.__name__}"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    return value


def _read_service_request(http_request, body, request_id):
    application, _, rest = http_request.path_qs.lstrip("/").partition("/")
    return Request(
        id=request_id,
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


def _is_repeatable(http_request, request, application):
    text = http_request.headers.get("Idempotent")
    if text is not None:
        if text not in _BOOLEAN_BY_TEXT:
            detail = f"header Idempotent {text!r} is neither ?1 nor ?0"
            raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
        return _BOOLEAN_BY_TEXT[text]
    if application.work is Work.MODEL or http_request.method in _SAFE_METHODS:
        return True
    return request.path.partition("?")[0] in application.idempotent_paths


def _read_labels(text):
    labels = {}
    for part in filter(None, (p.strip() for p in text.split(","))):
        name, equals, value = part.partition("=")
        if not equals:
            detail = f"request label {part!r} is not of the form name=value"
            raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
        labels[name.strip()] = value.strip()
    return labels


def _read_number_header(headers, name, default, low, high):
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
