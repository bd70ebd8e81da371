"""Messages that settle whether an attempt ran."""

from magnoliagrade.wire.message_table import message

__all__ = ["ClaimAnswer", "ClaimChange", "Revoke", "RevokeAnswer"]


@message("outcome", "revoke")
class Revoke:
    """An entry withdraws an attempt; a copy that comes later is refused."""

    attempt: str = ""


@message("outcome", "revokeAnswer")
class RevokeAnswer:
    """The receiver says whether a withdrawn attempt never started, or how it ended."""

    attempt: str = ""
    never_started: bool = False
    is_running: bool = False
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@message("outcome", "claimChange")
class ClaimChange:
    """An entry asks the writer of a shard of claims for a change."""

    action: str = ""
    operation: str = ""
    key: str = ""
    digest: str = ""
    until: float = 0.0
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@message("outcome", "claimAnswer")
class ClaimAnswer:
    """The writer of a shard says which claim holds."""

    asked: str = ""
    is_available: bool = False
    operation: str = ""
    key: str = ""
    digest: str = ""
    until: float = 0.0
    status: int = 0
    content_type: str = ""
    body: bytes = b""
