"""Requests of callers."""

from dataclasses import dataclass, field

__all__ = ["Request"]


@dataclass(slots=True, kw_only=True)
class Request:
    """One request of a caller, as parsed on arrival.

    Parameters
    ----------
    id : str
        Request id, returned with the response.
    organisation : str
        Name of the organisation that sent it.
    application : str
        Name of the application that it is for.
    method : str
        HTTP method.
    path : str
        Path with query string, as forwarded to the endpoint.
    header_by_name : dict of str to str
        End-to-end headers that are forwarded, by name in lower case.
    body : bytes
        Complete body.
    labels : dict of str to str
        Labels that routes select requests by.
    repeatable : bool
        Whether it may be executed more than once.
    streaming : bool
        Whether the response is a stream of server-sent events.
    idempotency_key : str
        Idempotency key set by the caller, or empty.
    priority : int
        Priority, passed on to the engine; a higher value is more urgent, unlike
        `ServiceRoute.priority`.
    deadline : float
        Time in seconds, on the monotonic clock of the receiving process, by which the
        response is due.
    prompt_tokens : int
        Estimated number of prompt tokens; 0 for services.
    output_tokens : int
        Estimated number of tokens to be generated; 0 for services.
    prefix_hash : int
        Hash of the beginning of the prompt, used by prefix-affinity routing.
    forwarded_from : str
        Data centre of the peer entry that forwarded the request, or empty.
    forwarded_attempt : str
        Id of that peer's attempt, or empty.
    attempt_count : int
        Number of attempts made so far.
    """

    id: str
    organisation: str
    application: str
    method: str
    path: str
    header_by_name: dict = field(default_factory=dict)
    body: bytes = b""
    labels: dict = field(default_factory=dict)
    repeatable: bool = False
    streaming: bool = False
    idempotency_key: str = ""
    priority: int = 0
    deadline: float = 0.0
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix_hash: int = 0
    forwarded_from: str = ""
    forwarded_attempt: str = ""
    attempt_count: int = 0

    @property
    def cost(self):
        """Return the estimated cost of the request: tokens, or 1 for a service."""
        return max(1, self.prompt_tokens + self.output_tokens)
