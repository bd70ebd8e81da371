"""Requests: the contract between a caller and the system."""

from dataclasses import dataclass, field

__all__ = ["Request"]


@dataclass(slots=True, kw_only=True)
class Request:
    """One request as it was understood on arrival.

    Parameters
    ----------
    id : str
        Request id, echoed in the answer.
    organisation : str
        Name of the organisation that sent it.
    application : str
        Application it addresses.
    method : str
        HTTP method.
    path : str
        Path with query string, as forwarded.
    header_by_name : dict of str to str
        End-to-end headers that are forwarded, names in lower case.
    body : bytes
        Whole body.
    labels : dict of str to str
        Request labels.
    repeatable : bool
        Whether it may run more than once.
    streaming : bool
        Whether the answer is a stream of server-sent events.
    idempotency_key : str
        Caller's key, or empty.
    priority : int
        Higher is more urgent; passed to the engine.
    deadline : float
        Monotonic time of the receiving process by which the answer is due.
    prompt_tokens : int
        Estimate of the prompt's tokens; 0 for services.
    output_tokens : int
        Estimate of the tokens to be generated; 0 for services.
    prefix_hash : int
        Hash of the head of the prompt, for prefix affinity.
    forwarded_from : str
        Data centre of the peer entry that forwarded it, or empty.
    forwarded_attempt : str
        Id of that peer's attempt, or empty.
    attempt_count : int
        Attempts made so far.
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
        """Return what the request weighs: tokens, or 1 for a service call."""
        return max(1, self.prompt_tokens + self.output_tokens)
