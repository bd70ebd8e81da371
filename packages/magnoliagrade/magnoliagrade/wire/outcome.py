"""Messages that determine whether an attempt ran."""

from magnoliagrade.wire.message_table import message

__all__ = ["ClaimAnswer", "ClaimChange", "Revoke", "RevokeAnswer"]


@message("outcome", "revoke")
class Revoke:
    """An entry revokes an attempt; a copy that arrives later is rejected."""

    attempt: str = ""


@message("outcome", "revokeAnswer")
class RevokeAnswer:
    """The receiver reports whether a revoked attempt never started, or how it ended."""

    attempt: str = ""
    never_started: bool = False
    is_running: bool = False
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@message("outcome", "claimChange")
class ClaimChange:
    """An entry requests a change of a claim from the writer of the claim's shard."""

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
    """The writer of a shard reports which claim is in force."""

    asked: str = ""
    is_available: bool = False
    operation: str = ""
    key: str = ""
    digest: str = ""
    until: float = 0.0
    status: int = 0
    content_type: str = ""
    body: bytes = b""
