"""A caller: sends one request and judges its answer."""

import asyncio
import json
from dataclasses import dataclass, field

import aiohttp

from magnoliagrade_standins.engine import expected_text
from magnoliagrade_standins.load.arrivals import Kind

__all__ = ["Outcome", "send_arrival"]

# A caller waits a little longer than its deadline for the coded answer.
GRACE_S = 5.0
END_EVENT = "[DONE]"


@dataclass(slots=True, kw_only=True)
class Outcome:
    """What came of one arrival, as its caller saw it.

    Parameters
    ----------
    arrival : Arrival
        The request.
    status : int
        HTTP status; 0 if none came.
    code : str
        Kind of error that the product named, or what broke; empty if none.
    ran : str
        What the answer says of whether the request ran: yes, no or unknown.
    is_whole : bool
        Whether the answer came to its end.
    is_own : bool
        Whether every part belongs to this request.
    is_in_time : bool
        Whether it came to its end within the caller's deadline.
    first_token_s : float or None
        Time from arrival to the first token of a stream.
    gaps_s : list of float
        Times between successive tokens of a stream.
    total_s : float
        Time from arrival to the end.
    tokens : int
        Tokens received.
    """

    arrival: object
    status: int = 0
    code: str = ""
    ran: str = "unknown"
    is_whole: bool = False
    is_own: bool = True
    is_in_time: bool = False
    first_token_s: float | None = None
    gaps_s: list = field(default_factory=list)
    total_s: float = 0.0
    tokens: int = 0

    @property
    def is_good(self):
        """Whether the caller got its whole own answer in time."""
        return self.is_whole and self.is_own and self.is_in_time


async def send_arrival(arrival, *, plan, session, clock, due):
    """Send one request and return its outcome.

    Parameters
    ----------
    arrival : Arrival
        What to send.
    plan : LoadPlan
        Keys, applications and deadline.
    session : aiohttp.ClientSession
        Session whose connections are used.
    clock : Clock
        Source of time.
    due : float
        Monotonic time at which the request was due to arrive; times count from
        here, so that a busy caller does not hide waiting.

    Returns
    -------
    outcome : Outcome
        The caller's view; never raises for a failed request.
    """
    outcome = Outcome(arrival=arrival)
    try:
        async with asyncio.timeout(plan.deadline_s + GRACE_S):
            await _exchange(outcome, plan, session, clock, due)
    except TimeoutError:
        outcome.code = "no-answer"
    except (aiohttp.ClientError, OSError, ValueError, KeyError, TypeError) as exc:
        outcome.code = f"broken-{type(exc).__name__}"
    outcome.total_s = clock.monotonic() - due
    outcome.is_in_time = outcome.is_whole and outcome.total_s <= plan.deadline_s
    return outcome


async def _exchange(outcome, plan, session, clock, due):
    arrival = outcome.arrival
    method, path, body = _line_and_body(arrival, plan)
    async with session.request(
        method, arrival.url + path, json=body, headers=_headers(arrival, plan)
    ) as response:
        outcome.status = response.status
        if response.status != 200:
            await _note_refusal(outcome, response)
            return
        outcome.ran = "yes"
        outcome.is_own = response.headers.get("X-Request-Id") == arrival.id
        if arrival.kind is Kind.STREAM:
            await _read_stream(outcome, response, clock, due)
        else:
            _judge_answer(outcome, await response.json())


def _line_and_body(arrival, plan):
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


async def _note_refusal(outcome, response):
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
            outcome.is_whole = outcome.tokens == outcome.arrival.output_tokens
            continue
        text = json.loads(event)["choices"][0]["delta"]["content"]
        outcome.is_own &= text == expected_text(outcome.arrival.id, outcome.tokens)
        outcome.tokens += 1
        now = clock.monotonic()
        if last is None:
            outcome.first_token_s = now - due
        else:
            outcome.gaps_s.append(now - last)
        last = now


def _judge_answer(outcome, answer):
    arrival = outcome.arrival
    outcome.is_own &= answer["id"] == arrival.id
    if arrival.is_model_work:
        text = answer["choices"][0]["message"]["content"]
        parts = [expected_text(arrival.id, i) for i in range(arrival.output_tokens)]
        outcome.is_own &= text == "".join(parts)
        outcome.tokens = len(text.split())
        outcome.is_whole = outcome.tokens == arrival.output_tokens
    else:
        outcome.is_whole = True
