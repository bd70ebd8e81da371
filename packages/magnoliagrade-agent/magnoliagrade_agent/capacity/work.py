"""One request that the endpoint processes, as tracked by its agent."""

from dataclasses import dataclass

from magnoliagrade_agent.capacity.limits import Completion

__all__ = ["EndpointWork"]

SSE_DATA_PREFIX = b"data:"


@dataclass(slots=True, kw_only=True)
class EndpointWork:
    """State of one request from its sending to its end.

    Parameters
    ----------
    cost : float
        Cost that counts against the limit.
    output_tokens : int
        Tokens that the request may generate; 0 for a service call.
    entry : str
        Name of the entry that sent the request.
    epoch : int
        Value of `BootContinuity.epoch` when the request was sent.
    started_at : float
        Monotonic time of sending, in seconds.
    confirmed_at : float, optional
        Monotonic time at which the endpoint began to respond.
    first_byte_at : float, optional
        Monotonic time of the first byte of the body.
    ended_at : float, optional
        Monotonic time at which the agent stopped tracking the request.
    events : int
        Server-sent events received.
    was_in_use : bool
        Whether the limit was at least half used at any time during the request.
    is_complete : bool
        Whether the complete response was received.
    has_failed : bool
        Whether the endpoint responded with a server error.
    """

    cost: float
    output_tokens: int
    entry: str
    epoch: int
    started_at: float
    confirmed_at: float = None
    first_byte_at: float = None
    ended_at: float = None
    events: int = 0
    was_in_use: bool = False
    is_complete: bool = False
    has_failed: bool = False

    def record_chunk(self, chunk, *, at):
        """Record the arrival of a chunk of the body and count its events."""
        if self.first_byte_at is None:
            self.first_byte_at = at
        self.events += chunk.count(SSE_DATA_PREFIX)

    def completion(self):
        """Return the measurements of this request after its complete response.

        A response with more than one server-sent event counts as streamed, with one
        token for each event up to `output_tokens`.
        """
        first_byte_at = self.first_byte_at or self.ended_at
        is_stream = self.events > 1
        tokens = self.output_tokens or 1
        if is_stream:
            tokens = min(tokens, self.events)
        generation_began_at = first_byte_at if is_stream else self.started_at
        return Completion(
            tokens=tokens,
            first_byte_s=first_byte_at - self.started_at if is_stream else 0.0,
            token_s=(self.ended_at - generation_began_at) / tokens,
            was_in_use=self.was_in_use,
            ended_at=self.ended_at,
        )
