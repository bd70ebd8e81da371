"""Decoding of the registrations that model servers write to the store."""

import re
import reprlib

from magnoliagrade.platform.fields import (
    FormatError,
    decoder,
    load_object,
    number_field,
    string_field,
)
from magnoliagrade.world.site import SiteEndpoint

__all__ = ["decode_endpoint"]

_ADDRESS = re.compile(r"[A-Za-z0-9._-]+:([0-9]{1,5})")
_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}


@decoder
def decode_endpoint(endpoint_id, data):
    """Return the endpoint that a registration describes.

    Parameters
    ----------
    endpoint_id : str
        Id of the server, from the key.
    data : bytes
        Value of the key.

    Raises
    ------
    FormatError
        If a field is missing or malformed, or the state is unknown.
    """
    document = load_object(data)
    state = string_field(document, "State")
    if state not in _IS_DRAINING_BY_STATE:
        raise FormatError(f"State: unknown state {reprlib.repr(state)}")
    address = string_field(document, "Address")
    match = _ADDRESS.fullmatch(address)
    if match is None or not 0 < int(match[1]) < 65536:
        raise FormatError(f"Address: expected HOST:PORT, got {reprlib.repr(address)}")
    return SiteEndpoint(
        id=endpoint_id,
        service=string_field(document, "Service"),
        address=address,
        data_centre=string_field(document, "Zone"),
        slots=max(1, int(number_field(document, "Slots"))),
        is_draining=_IS_DRAINING_BY_STATE[state],
        cold_s=number_field(document, "ColdRemainingMs", 0) / 1000,
        born_ms=int(number_field(document, "born", 0)),
        sequence=int(number_field(document, "Sequence", 0)),
    )
