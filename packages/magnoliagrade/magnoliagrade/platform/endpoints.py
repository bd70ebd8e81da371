"""Decoding of the entries that servers write of themselves."""

from magnoliagrade.platform.fields import FormatError, load, number, text
from magnoliagrade.world.site import SiteEndpoint

__all__ = ["decode_endpoint"]

_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode_endpoint(endpoint_id, data):
    """Return the endpoint that an entry names.

    Parameters
    ----------
    endpoint_id : str
        Id of the server, from the key.
    data : bytes
        Value of the key.

    Raises
    ------
    FormatError
        If the entry does not name an endpoint that can be used.
    """
    document = load(data)
    state = text(document, "State")
    if state not in _IS_DRAINING_BY_STATE:
        raise FormatError(f"State {state!r} is not known")
    address = text(document, "Address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise FormatError(f"Address {address!r} is no host and port")
    return SiteEndpoint(
        id=endpoint_id,
        service=text(document, "Service"),
        address=address,
        data_centre=text(document, "Zone"),
        slots=max(1, int(number(document, "Slots"))),
        is_draining=_IS_DRAINING_BY_STATE[state],
        cold_s=number(document, "ColdRemainingMs", 0) / 1000,
    )
