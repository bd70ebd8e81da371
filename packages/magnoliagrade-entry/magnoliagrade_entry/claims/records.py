"""Claims in the form in which they are stored."""

import base64
import hashlib
import json
from dataclasses import dataclass

__all__ = ["MAX_CLOCK_SKEW_S", "NOT_RECORDED", "Claim", "claim_of"]

# Upper bound on the difference between entries' clocks. Claims live longer by it, so
# that an entry whose clock is ahead does not drop one early.
MAX_CLOCK_SKEW_S = 60.0
# Content type of an outcome whose body was too long to store.
NOT_RECORDED = "-"
_DIGEST_BYTES = 16


@dataclass(slots=True, kw_only=True)
class Claim:
    """Permission for one dispatch under an idempotency key, and its recorded outcome.

    Parameters
    ----------
    key : str
        Digest of organisation and idempotency key.
    digest : str
        Digest of method, path and body.
    operation : str
        Unique id of the claim.
    until : float
        Wall-clock seconds after which the claim may be dropped.
    status : int
        HTTP status of the recorded response; 0 if none is recorded yet.
    content_type : str
        Content type of the recorded response.
    body : bytes
        Body of the recorded response.
    """

    key: str
    digest: str
    operation: str
    until: float
    status: int = 0
    content_type: str = ""
    body: bytes = b""

    def drop_body(self):
        """Discard the recorded body and content type; the status stays."""
        self.content_type = NOT_RECORDED
        self.body = b""

    def encoded(self):
        """Return the claim as a line of JSON without a line terminator."""
        row = [self.key, self.digest, self.operation, round(self.until)]
        if self.status:
            body = base64.b64encode(self.body).decode()
            row += [self.status, self.content_type, body]
        return json.dumps(row, separators=(",", ":")).encode()

    @classmethod
    def decoded(cls, line):
        """Return the claim that a line of JSON encodes.

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


def claim_of(request, *, operation, now, remaining_s, lifetime_s):
    """Return a new claim for a request.

    Parameters
    ----------
    request : Request
        A request with an idempotency key.
    operation : str
        Id of the claim.
    now : float
        Wall-clock time in seconds.
    remaining_s : float
        Seconds until the request's deadline, which the claim outlives.
    lifetime_s : float
        Minimum lifetime of the claim in seconds.
    """
    content = f"{request.method}\0{request.path}\0".encode() + request.body
    return Claim(
        key=_digest(f"{request.organisation}\0{request.idempotency_key}".encode()),
        digest=_digest(content),
        operation=operation,
        until=now + max(lifetime_s, remaining_s) + MAX_CLOCK_SKEW_S,
    )


def _digest(data):
    return hashlib.sha256(data).digest()[:_DIGEST_BYTES].hex()
