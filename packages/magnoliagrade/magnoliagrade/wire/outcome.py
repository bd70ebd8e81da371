"""Messages that settle whether an attempt ran."""

from magnoliagrade.wire.message_table import message

__all__ = ["Revoke", "RevokeAnswer"]


@message("outcome", "revoke")
class Revoke:
    """An entry withdraws an attempt; a copy that comes later is refused."""

    attempt: str = ""


@message("outcome", "revokeAnswer")
class RevokeAnswer:
    """An agent says whether a withdrawn attempt never started."""

    attempt: str = ""
    never_started: bool = False
