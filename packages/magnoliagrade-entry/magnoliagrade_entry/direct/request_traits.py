"""Traits of a request that others share which may have its effect on a server."""

import hashlib
from dataclasses import dataclass

__all__ = ["RequestTraits", "traits_of"]

REQUEST_DIGEST_BYTES = 16
CALLER_DIGEST_BYTES = 8


@dataclass(slots=True, frozen=True, kw_only=True)
class RequestTraits:
    """Traits of a request by which a group of requests can be recognised.

    Parameters
    ----------
    request : str
        Digest of method, path, caller and body, which repetitions of it share.
    caller : str
        Digest of the organisation that sent it.
    parts : tuple of str
        Ids of the parts of its prompt that other requests may share.
    """

    request: str
    caller: str
    parts: tuple = ()

    def keys(self):
        """Return one key for each group of requests that it belongs to.

        The groups are the repetitions of the request, the caller's requests with one
        part of the prompt, and all callers' requests with that part.
        """
        keys = [f"request-{self.request}"]
        for part in self.parts:
            keys += [f"part-{part}-{self.caller}", f"part-{part}"]
        return keys


def traits_of(request):
    """Return the `RequestTraits` of a `DirectRequest`."""
    organisation = request.organisation.name if request.organisation else ""
    fields = (request.method, request.target, organisation)
    digest = hashlib.blake2b(digest_size=REQUEST_DIGEST_BYTES)
    for field in (*(text.encode() for text in fields), request.body or b""):
        # Lengths keep the fields apart.
        digest.update(len(field).to_bytes(8))
        digest.update(field)
    caller = hashlib.blake2b(organisation.encode(), digest_size=CALLER_DIGEST_BYTES)
    return RequestTraits(
        request=digest.hexdigest(),
        caller=caller.hexdigest(),
        parts=request.prompt_parts,
    )
