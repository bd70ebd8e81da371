"""Arrivals of a load: the time and the content of each request."""

import enum
import random
from dataclasses import dataclass

__all__ = ["Arrival", "Kind", "make_arrivals"]

MIN_PREFIX_BYTES = 300


class Kind(enum.Enum):
    """Kind of work that a request asks for."""

    STREAM = "stream"
    COMPLETION = "completion"
    ORDER = "order"
    LOOKUP = "lookup"


@dataclass(slots=True, kw_only=True)
class Arrival:
    """One request of a load.

    Parameters
    ----------
    id : str
        Request id that the caller sends.
    at_s : float
        Time of arrival in seconds after the start of the load.
    url : str
        URL of the entry that the request is sent to.
    organisation : str
        Organisation that sends the request.
    kind : Kind
        Kind of the request.
    prompt : str
        Prompt of a completion; empty for orders and lookups.
    output_tokens : int
        Requested number of tokens; 0 for orders and lookups.
    idempotency_key : str
        Idempotency key of an order, or empty.
    """

    id: str
    at_s: float
    url: str
    organisation: str
    kind: Kind
    prompt: str = ""
    output_tokens: int = 0
    idempotency_key: str = ""

    @property
    def is_model_work(self):
        """Whether a model serves the request."""
        return self.kind in (Kind.STREAM, Kind.COMPLETION)


def make_arrivals(plan):
    """Return the arrivals of a plan in order of time.

    Parameters
    ----------
    plan : LoadPlan
        Plan of the load; equal plans give equal arrivals.

    Returns
    -------
    arrivals : list of Arrival
        A Poisson process: inter-arrival times are drawn from the exponential
        distribution and do not depend on responses.

    Examples
    --------
    >>> from magnoliagrade_standins.load.plan import LoadPlan
    >>> plan = LoadPlan(urls=["http://127.0.0.1:1"], rate_per_s=50, duration_s=1)
    >>> make_arrivals(plan) == make_arrivals(plan)
    True
    """
    rng = random.Random(plan.seed)
    arrivals = []
    at_s = rng.expovariate(plan.rate_per_s)
    while at_s < plan.duration_s:
        arrivals.append(_make_arrival(plan, rng, at_s, len(arrivals)))
        at_s += rng.expovariate(plan.rate_per_s)
    return arrivals


def _make_arrival(plan, rng, at_s, number):
    arrival = Arrival(
        id=f"load-{plan.seed}-{number}",
        at_s=at_s,
        url=rng.choice(plan.urls),
        organisation=_draw_zipf(rng, list(plan.key_by_organisation), plan),
        kind=_draw_kind(plan, rng),
    )
    if arrival.is_model_work:
        arrival.prompt = _draw_prompt(plan, rng, number)
        arrival.output_tokens = max(1, round(rng.expovariate(1 / plan.output_tokens)))
    elif arrival.kind is Kind.ORDER and rng.random() < plan.keyed_fraction:
        arrival.idempotency_key = f"key-{arrival.id}"
    return arrival


def _draw_kind(plan, rng):
    draw = rng.random()
    if draw < plan.order_fraction:
        return Kind.ORDER
    if draw < plan.order_fraction + plan.lookup_fraction:
        return Kind.LOOKUP
    is_stream = rng.random() < plan.stream_fraction
    return Kind.STREAM if is_stream else Kind.COMPLETION


def _draw_zipf(rng, values, plan):
    weights = [1 / (i + 1) ** plan.zipf_exponent for i in range(len(values))]
    return rng.choices(values, weights)[0]


def _draw_prompt(plan, rng, number):
    prefix = _draw_zipf(rng, range(plan.prefixes), plan)
    start = f"paper stock {prefix} ".ljust(MIN_PREFIX_BYTES, ".")
    size = round(rng.expovariate(1 / max(1, plan.prompt_bytes - MIN_PREFIX_BYTES)))
    return f"{start}question {number} ".ljust(MIN_PREFIX_BYTES + size, "?")
