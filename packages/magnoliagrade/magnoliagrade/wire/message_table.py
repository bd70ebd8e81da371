"""Table that maps message classes to members of the schema's unions."""

from dataclasses import dataclass

__all__ = ["MESSAGE_BY_UNION_PATH", "UNION_PATH_BY_MESSAGE", "UnionPath", "message"]

MESSAGE_BY_UNION_PATH = {}
UNION_PATH_BY_MESSAGE = {}


@dataclass(frozen=True, slots=True)
class UnionPath:
    """Path to a message in the nested unions of the envelope.

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
    """Return a decorator that makes a class a slotted dataclass and registers it.

    Parameters
    ----------
    family : str
        Member of the envelope's union.
    member : str
        Member of the family's union.
    """

    def register(cls):
        path = UnionPath(family, member)
        message_class = dataclass(slots=True, kw_only=True)(cls)
        MESSAGE_BY_UNION_PATH[path] = message_class
        UNION_PATH_BY_MESSAGE[message_class] = path
        return message_class

    return register
