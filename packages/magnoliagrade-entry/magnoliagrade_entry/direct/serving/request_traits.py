"""Traits of a request that others share which may have its effect on a server."""

import enum
import hashlib
from dataclasses import dataclass

__all__ = ["GroupKind", "RequestGroup", "RequestTraits", "traits_of"]

REQUEST_DIGEST_BYTES = 16
CALLER_DIGEST_BYTES = 8


class GroupKind(enum.Enum):
    """What the requests of a group have in common.

    Attributes
    ----------
    SAME_PROMPT : str
        Method, path, caller, body and all parts of the prompt.
    SAME_BODY : str
        Method, path, caller and body.
    PART_OF_CALLER : str
        The caller, and one part of the prompt.
    PART : str
        One part of the prompt.
    """

    SAME_PROMPT = "same prompt"
    SAME_BODY = "same body"
    PART_OF_CALLER = "part of caller"
    PART = "part"


@dataclass(slots=True, frozen=True, kw_only=True)
class RequestGroup:
    """A group of requests with a trait in common.

    Parameters
    ----------
    kind : GroupKind
        What its requests have in common.
    part : str
        Id of the part that their prompts share; empty if that is not the trait.
    """

    kind: GroupKind
    part: str = ""


@dataclass(slots=True, frozen=True, kw_only=True)
class RequestTraits:
    """Traits of a request by which a group of requests can be recognised.

    Parameters
    ----------
    request : str
        Digest of method, path, caller and body, which repetitions of it share.
    variant : str
        Digest of `request` and of the ids of all parts of its prompt.
    caller : str
        Digest of the organisation that sent it.
    parts : tuple of str
        Ids of the parts of its prompt that other requests may share.
    """

    request: str
    variant: str
    caller: str
    parts: tuple = ()

    def groups(self):
        """Return the groups of requests that it belongs to.

        Returns
        -------
        group_by_key : dict of str to RequestGroup
            Each group by its key.
        """
        group_by_key = {
            f"repetition-{self.variant}": RequestGroup(kind=GroupKind.SAME_PROMPT),
            f"request-{self.request}": RequestGroup(kind=GroupKind.SAME_BODY),
        }
        for part in self.parts:
            of_caller = RequestGroup(kind=GroupKind.PART_OF_CALLER, part=part)
            group_by_key[f"part-{part}-{self.caller}"] = of_caller
            of_all = RequestGroup(kind=GroupKind.PART, part=part)
            group_by_key[f"part-{part}"] = of_all
        return group_by_key


def traits_of(request):
    """Return the `RequestTraits` of a `DirectRequest`."""
    organisation = request.organisation.name if request.organisation else ""
    fields = (request.method, request.target, organisation)
    digest = hashlib.blake2b(digest_size=REQUEST_DIGEST_BYTES)
    for field in (*(text.encode() for text in fields), request.body or b""):
        # Lengths keep the fields apart.
        digest.update(len(field).to_bytes(8))
        digest.update(field)
    variant = digest.copy()
    variant.update(request.prompt_ids.encode())
    caller = hashlib.blake2b(organisation.encode(), digest_size=CALLER_DIGEST_BYTES)
    return RequestTraits(
        request=digest.hexdigest(),
        variant=variant.hexdigest(),
        caller=caller.hexdigest(),
        parts=request.prompt_parts,
    )
