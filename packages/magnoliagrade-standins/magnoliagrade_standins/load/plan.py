"""What a load consists of."""

from dataclasses import dataclass, field

from magnoliagrade_standins.harness.configurations import KEY_BY_ORGANISATION

__all__ = ["LoadPlan"]


@dataclass(slots=True, kw_only=True)
class LoadPlan:
    """Rate, length and mix of a load.

    Parameters
    ----------
    urls : list of str
        Entries that callers connect to; each arrival draws one.
    rate_per_s : float
        Mean arrivals a second over all entries.
    duration_s : float
        Time during which requests arrive.
    seed : int
        Seed of every draw.
    key_by_organisation : dict of str to str
        Callers' keys, the largest organisation first.
    zipf_exponent : float
        Skew of organisations and of prompt prefixes; 0 draws them evenly.
    order_fraction : float
        Part of the arrivals that are orders, which are not repeatable.
    lookup_fraction : float
        Part that are lookups of the same service, which are repeatable.
    keyed_fraction : float
        Part of the orders that carry an idempotency key.
    stream_fraction : float
        Part of the completions that are streamed.
    prefixes : int
        Different heads of prompts.
    prompt_bytes : int
        Mean size of a prompt.
    output_tokens : int
        Mean tokens of an answer.
    deadline_s : float
        Time that a caller allows for the whole answer.
    model : str
        Application of the completions.
    service : str
        Application of orders and lookups.
    """

    urls: list
    rate_per_s: float = 20.0
    duration_s: float = 10.0
    seed: int = 1
    key_by_organisation: dict = field(default_factory=KEY_BY_ORGANISATION.copy)
    zipf_exponent: float = 1.0
    order_fraction: float = 0.2
    lookup_fraction: float = 0.1
    keyed_fraction: float = 0.0
    stream_fraction: float = 0.8
    prefixes: int = 32
    prompt_bytes: int = 600
    output_tokens: int = 32
    deadline_s: float = 10.0
    model: str = "swatch"
    service: str = "orders"
