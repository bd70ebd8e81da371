"""A caller: sends one request and checks its response."""

import asyncio
import json
from dataclasses import dataclass, field

import aiohttp

from magnoliagrade_standins.engine import expected_text
from magnoliagrade_standins.load.arrivals import Kind

__all__ = ["Outcome", "send_arrival"]

# A caller waits longer than its deadline, so that it receives the response with the
# error code.
RESPONSE_GRACE_S = 5.0
END_EVENT = "[DONE]"


@dataclass(slots=True, kw_only=True)
class Outcome:
    """Outcome of one arrival as its caller saw it.

    Parameters
    ----------
    arrival : Arrival
        Request that was sent.
    status : int
        HTTP status; 0 if none was received.
    code : str
        Error code of the response, `no-answer`, or `broken-` and the name of the
        exception; empty if there was no error.
    ran : str
        Whether the request ran, according to the response: yes, no or unknown.
    is_complete : bool
        Whether the response was received to its end.
    is_correct : bool
        Whether every part received belongs to this request.
    is_in_time : bool
        Whether the response was complete within the caller's deadline.
    first_token_s : float or None
        Time in seconds from arrival to the first token of a stream.
    gaps_s : list of float
        Times in seconds between successive tokens of a stream.
    total_s : float
        Time in seconds from arrival to the end of the exchange.
    tokens : int
        Number of tokens received.
    """

    arrival: object
    status: int = 0
    code: str = ""
    ran: str = "unknown"
    is_complete: bool = False
    is_correct: bool = True
    is_in_time: bool = False
    first_token_s: float | None = None
    gaps_s: list = field(default_factory=list)
    total_s: float = 0.0
    tokens: int = 0

    @property
    def is_good(self):
        """Whether the response was complete, correct and in time."""
        return self.is_complete and self.is_correct and self.is_in_time


async def send_arrival(arrival, *, plan, session, clock, due):
    """Send one request and return its outcome.

    Parameters
    ----------
    arrival : Arrival
        Request to send.
    plan : LoadPlan
        Plan that gives the keys, applications and deadline.
    session : aiohttp.ClientSession
        HTTP session to use.
    clock : Clock
        Source of time.
    due : float
        Monotonic time in seconds at which the request was scheduled. Latencies are
        measured from it, so that a delay in the load generator is not omitted.

    Returns
    -------
    outcome : Outcome
        Outcome as the caller saw it; a failed request does not raise.
    """
    outcome = Outcome(arrival=arrival)
    try:
        async with asyncio.timeout(plan.deadline_s + RESPONSE_GRACE_S):
            await _exchange(outcome, plan, session, clock, due)
    except TimeoutError:
        outcome.code = "no-answer"
    except (aiohttp.ClientError, OSError, ValueError, KeyError, TypeError) as exc:
        outcome.code = f"broken-{type(exc).__name__}"
    outcome.total_s = clock.monotonic() - due
    outcome.is_in_time = outcome.is_complete and outcome.total_s <= plan.deadline_s
    return outcome


async def _exchange(outcome, plan, session, clock, due):
    arrival = outcome.arrival
    method, path, body = _request_parts(arrival, plan)
    async with session.request(
        method, arrival.url + path, json=body, headers=_headers(arrival, plan)
    ) as response:
        outcome.status = response.status
        if response.status != 200:
            await _record_rejection(outcome, response)
            return
        outcome.ran = "yes"
        outcome.is_correct = response.headers.get("X-Request-Id") == arrival.id
        if arrival.kind is Kind.STREAM:
            await _read_stream(outcome, response, clock, due)
        else:
            _check_response(outcome, await response.json())


def _request_parts(arrival, plan):
    if arrival.kind is Kind.ORDER:
        return "POST", f"/{plan.service}/reorder", {"order": arrival.id}
    if arrival.kind is Kind.LOOKUP:
        return "GET", f"/{plan.service}/stock?item={arrival.id}", None
    body = {
        "model": plan.model,
        "max_tokens": arrival.output_tokens,
        "stream": arrival.kind is Kind.STREAM,
        "messages": [{"role": "user", "content": arrival.prompt}],
    }
    return "POST", "/v1/chat/completions", body


def _headers(arrival, plan):
    headers = {
        "Authorization": f"Bearer {plan.key_by_organisation[arrival.organisation]}",
        "X-Request-Id": arrival.id,
        "X-Deadline-Seconds": str(plan.deadline_s),
    }
    if arrival.idempotency_key:
        headers["Idempotency-Key"] = arrival.idempotency_key
    return headers


async def _record_rejection(outcome, response):
    problem = await response.json(content_type=None)
    outcome.code = problem["code"]
    outcome.ran = problem["ran"]


async def _read_stream(outcome, response, clock, due):
    last = None
    async for line in response.content:
        if not line.startswith(b"data: "):
            continue
        event = line[len(b"data: ") :].decode().strip()
        if event == END_EVENT:
            outcome.is_complete = outcome.tokens == outcome.arrival.output_tokens
            continue
        text = json.loads(event)["choices"][0]["delta"]["content"]
        outcome.is_correct &= text == expected_text(outcome.arrival.id, outcome.tokens)
        outcome.tokens += 1
        now = clock.monotonic()
        if last is None:
            outcome.first_token_s = now - due
        else:
            outcome.gaps_s.append(now - last)
        last = now


def _check_response(outcome, body):
    arrival = outcome.arrival
    outcome.is_correct &= body["id"] == arrival.id
    if arrival.is_model_work:
        text = body["choices"][0]["message"]["content"]
        parts = [expected_text(arrival.id, i) for i in range(arrival.output_tokens)]
        outcome.is_correct &= text == "".join(parts)
        outcome.tokens = len(text.split())
        outcome.is_complete = outcome.tokens == arrival.output_tokens
    else:
        outcome.is_complete = True
