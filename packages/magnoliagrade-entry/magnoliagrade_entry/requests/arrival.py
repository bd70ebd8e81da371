"""Understanding a caller's request."""

import json
import re

from magnoliagrade.algorithms import hash64
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http import end_to_end_headers, read_body
from magnoliagrade.identity import new_request_id
from magnoliagrade.world import Request, Work

__all__ = ["MODEL_PATHS", "read_arrival", "request_id_of"]

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 128
MAX_OUTPUT_TOKENS = 1_000_000
PREFIX_BYTES = 256
REQUEST_ID_CHARACTERS = 128
_REQUEST_ID = re.compile(r"[!-~]+")
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


async def read_arrival(
    http_request, *, request_id, configuration, settings, clock, budget
):
    """Return the request that a caller sent.

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
        Memory for bodies; the caller gives back the size of the request's body.

    Returns
    -------
    request : Request
        The checked request.

    Raises
    ------
    MagnoliagradeError
        `UNAUTHENTICATED`, `INVALID_REQUEST`, `TOO_LARGE`, `OVERLOADED` or
        `NO_ROUTE`. Nothing of the budget is held then.
    """
    _check_headers(http_request.headers)
    organisation = _authenticate(http_request.headers, configuration)
    body = await read_body(
        http_request,
        limit_bytes=settings.body_limit_bytes,
        timeout_s=settings.body_timeout_s,
        budget=budget,
    )
    try:
        return _understand(
            http_request, body, request_id, organisation, configuration, clock
        )
    except MagnoliagradeError:
        budget.release(len(body))
        raise


def request_id_of(headers):
    """Return the id that a caller gave its request, or a new one.

    Parameters
    ----------
    headers : mapping of str to str
        Headers as received.

    Examples
    --------
    >>> request_id_of({"X-Request-Id": "a-1"})
    'a-1'
    >>> len(request_id_of({"X-Request-Id": "two words"}))
    32
    """
    given = headers.get("X-Request-Id", "")
    if len(given) <= REQUEST_ID_CHARACTERS and _REQUEST_ID.fullmatch(given):
        return given
    return new_request_id()


def _understand(http_request, body, request_id, organisation, configuration, clock):
    headers = http_request.headers
    if http_request.path in MODEL_PATHS:
        request = _read_model_request(http_request, body, request_id)
    else:
        request = _read_service_request(http_request, body, request_id)
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


def _check_headers(headers):
    for name, value in headers.items():
        # The parser keeps bytes that are not UTF-8 as lone surrogates.
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
        raise MagnoliagradeError(ErrorKind.UNAUTHENTICATED, "the key is not known")
    return organisation


def _read_model_request(http_request, body, request_id):
    if http_request.method != "POST":
        detail = f"method {http_request.method} is not POST"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    coding = http_request.headers.get("Content-Encoding", "identity")
    if coding.lower() != "identity":
        detail = f"content encoding {coding!r} of a model request is not read"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as exc:
        detail = f"body is not JSON: {exc}"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail) from exc
    model = _field(fields, "model", str)
    prompt = _prompt_text(fields)
    if not _is_encodable(model + prompt):
        detail = "model or prompt holds half of a surrogate pair"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    output = fields.get("max_tokens", DEFAULT_OUTPUT_TOKENS)
    if type(output) is not int or not 1 <= output <= MAX_OUTPUT_TOKENS:
        detail = f"max_tokens is not a whole number from 1 to {MAX_OUTPUT_TOKENS}"
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
