"""Table that ties message classes to their place in the schema."""

from dataclasses import dataclass

__all__ = ["MESSAGE_BY_PLACE", "PLACE_BY_MESSAGE", "Place", "message"]

MESSAGE_BY_PLACE = {}
PLACE_BY_MESSAGE = {}


@dataclass(frozen=True, slots=True)
class Place:
    """Where a message stands in the envelope's unions.

    Parameters
    ----------
    family : str
        Member of the envelope's union.
    member : str
        Member of the family's union.
    """

    family: str
    member: str


def message(family, member):
    """Return a decorator that files a slotted dataclass as a message.

    Parameters
    ----------
    family : str
        Member of the envelope's union.
    member : str
        Member of the family's union.
    """

    def file_class(cls):
        place = Place(family, member)
        made = dataclass(slots=True, kw_only=True)(cls)
        MESSAGE_BY_PLACE[place] = made
        PLACE_BY_MESSAGE[made] = place
        return made

    return file_class
