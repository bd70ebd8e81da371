"""One request that the endpoint works on, as its agent follows it."""

from dataclasses import dataclass

from magnoliagrade_agent.capacity.limits import Completion

__all__ = ["EndpointWork"]

EVENT_MARK = b"data:"


@dataclass(slots=True, kw_only=True)
class EndpointWork:
    """One request between its sending and its end.

    Parameters
    ----------
    cost : float
        Cost that it holds.
    output_tokens : int
        Tokens that it may generate; 0 for services.
    entry : str
        Entry that sent it.
    epoch : int
        Epoch of the endpoint's boot when it was sent.
    started_at : float
        Monotonic time of sending.
    confirmed_at : float, optional
        When the endpoint's answer began.
    first_byte_at : float, optional
        When the first byte of the body came.
    ended_at : float, optional
        When the agent stopped following it.
    events : int
        Server-sent events seen.
    was_in_use : bool
        Whether the limit was at least half used meanwhile.
    is_complete : bool
        Whether the whole answer came.
    has_failed : bool
        Whether the endpoint answered that it failed.
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

    def note_chunk(self, part, *, at):
        """Note a part of the body."""
        if self.first_byte_at is None:
            self.first_byte_at = at
        self.events += part.count(EVENT_MARK)

    def completion(self):
        """Return what the whole answer shows."""
        first = self.first_byte_at or self.ended_at
        is_stream = self.events > 1
        tokens = self.output_tokens or 1
        if is_stream:
            tokens = min(tokens, self.events)
        begin = first if is_stream else self.started_at
        return Completion(
            tokens=tokens,
            first_byte_s=first - self.started_at if is_stream else 0.0,
            token_s=(self.ended_at - begin) / tokens,
            was_in_use=self.was_in_use,
            at=self.ended_at,
        )
