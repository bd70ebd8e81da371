"""Claims as they are stored."""

import base64
import hashlib
import json
from dataclasses import dataclass

__all__ = ["CLOCK_SKEW_S", "NOT_RECORDED", "Claim", "claim_of"]

# Clocks of entries differ by less; a claim is dropped so much later.
CLOCK_SKEW_S = 60.0
# Content type of an outcome whose body was too long to keep.
NOT_RECORDED = "-"
_DIGEST_BYTES = 16


@dataclass(slots=True, kw_only=True)
class Claim:
    """Who dispatches the request of an idempotency key, and how it ended.

    Parameters
    ----------
    key : str
        Digest of organisation and key.
    digest : str
        Digest of method, path and body.
    operation : str
        Id of the request's claim; no other claim has it.
    until : float
        Wall-clock seconds after which the claim may be dropped.
    status : int
        HTTP status of the recorded outcome; 0 while there is none.
    content_type : str
        Of the recorded answer.
    body : bytes
        Body of the recorded answer.
    """

    key: str
    digest: str
    operation: str
    until: float
    status: int = 0
    content_type: str = ""
    body: bytes = b""

    def drop_body(self):
        """Keep of the outcome only its status."""
        self.content_type = NOT_RECORDED
        self.body = b""

    def encoded(self):
        """Return the claim as one line of JSON without its line end."""
        row = [self.key, self.digest, self.operation, round(self.until)]
        if self.status:
            body = base64.b64encode(self.body).decode()
            row += [self.status, self.content_type, body]
        return json.dumps(row, separators=(",", ":")).encode()

    @classmethod
    def decoded(cls, line):
        """Return the claim that a line holds.

        Examples
        --------
        >>> claim = Claim(key="k", digest="d", operation="o", until=5.0, status=200)
        >>> Claim.decoded(claim.encoded()) == claim
        True
        """
        key, digest, operation, until, *outcome = json.loads(line)
        claim = cls(key=key, digest=digest, operation=operation, until=float(until))
        if outcome:
            claim.status, claim.content_type, body = outcome
            claim.body = base64.b64decode(body)
        return claim


def claim_of(request, *, operation, now, left_s, lifetime_s):
    """Return the claim that a request makes.

    Parameters
    ----------
    request : Request
        A request with an idempotency key.
    operation : str
        Id of the claim.
    now : float
        Wall-clock time in seconds.
    left_s : float
        Time until the request's deadline, which the claim outlives.
    lifetime_s : float
        How long the claim holds at least.
    """
    content = f"{request.method}\0{request.path}\0".encode() + request.body
    return Claim(
        key=_digest(f"{request.organisation}\0{request.idempotency_key}".encode()),
        digest=_digest(content),
        operation=operation,
        until=now + max(lifetime_s, left_s) + CLOCK_SKEW_S,
    )


def _digest(data):
    return hashlib.sha256(data).digest()[:_DIGEST_BYTES].hex()
