"""Distance between entries and endpoints."""

import enum

__all__ = ["Scope"]


class Scope(enum.Enum):
    """Whether an entry or endpoint is in this entry's data centre or in another."""

    LOCAL = "local"
    REMOTE = "remote"
