"""Plan of a load."""

from dataclasses import dataclass, field

from magnoliagrade_standins.harness.configurations import KEY_BY_ORGANISATION

__all__ = ["LoadPlan"]


@dataclass(slots=True, kw_only=True)
class LoadPlan:
    """Rate, duration and mix of a load.

    Parameters
    ----------
    urls : list of str
        URLs of the entries; one is drawn at random for each arrival.
    rate_per_s : float
        Mean arrivals per second over all entries.
    duration_s : float
        Time in seconds during which requests arrive.
    seed : int
        Seed of all random draws.
    key_by_organisation : dict of str to str
        API key of each organisation, the organisation with the most requests
        first.
    zipf_exponent : float
        Exponent of the Zipf distribution of organisations and of prompt prefixes;
        0 makes it uniform.
    order_fraction : float
        Fraction of the arrivals that are orders, which are not repeatable.
    lookup_fraction : float
        Fraction of the arrivals that are lookups of the same service, which are
        repeatable.
    keyed_fraction : float
        Fraction of the orders that carry an idempotency key.
    stream_fraction : float
        Fraction of the completions that are streamed.
    prefixes : int
        Number of different prompt prefixes.
    prompt_bytes : int
        Mean size of a prompt in bytes.
    output_tokens : int
        Mean number of tokens that a completion requests.
    deadline_s : float
        Time in seconds within which a caller expects the complete response.
    model : str
        Application that the completions are sent to.
    service : str
        Application that orders and lookups are sent to.
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
