"""Messages of expert-parallel groups: switches of the expert map and token counts."""

from dataclasses import field

from magnoliagrade.wire.message_table import message

__all__ = [
    "ArmAck",
    "ArmSwitch",
    "CountsRequest",
    "ExpertCounts",
    "GenerationAnswer",
    "GenerationJoin",
    "GenerationSettled",
    "GroupState",
    "OutcomeKnown",
    "OutcomeQuery",
    "StageAck",
    "StageMap",
    "SwitchOutcome",
]


@message("group", "stage")
class StageMap:
    """The coordinator asks a rank to load the experts of a map that it lacks.

    Loading does not commit the rank to a switch.
    """

    group: str = ""
    generation: int = 0
    fence: int = 0
    version: int = 0
    map: bytes = b""


@message("group", "stageAck")
class StageAck:
    """A rank reports whether it has loaded the experts of a staged map."""

    group: str = ""
    generation: int = 0
    version: int = 0
    rank: int = 0
    accepted: bool = False
    fence: int = 0
    needs_map: bool = False


@message("group", "arm")
class ArmSwitch:
    """The coordinator orders a rank not to begin `step` before the outcome is known."""

    group: str = ""
    generation: int = 0
    fence: int = 0
    version: int = 0
    step: int = 0


@message("group", "armAck")
class ArmAck:
    """A rank reports that it has armed for a switch, or has rejected it for good."""

    group: str = ""
    generation: int = 0
    version: int = 0
    step: int = 0
    rank: int = 0
    accepted: bool = False


@message("group", "outcome")
class SwitchOutcome:
    """Outcome of a switch: committed or aborted."""

    group: str = ""
    generation: int = 0
    version: int = 0
    step: int = 0
    rank: int = 0
    committed: bool = False


@message("group", "known")
class OutcomeKnown:
    """A rank confirms that it knows the outcome of a switch."""

    group: str = ""
    generation: int = 0
    version: int = 0
    step: int = 0
    rank: int = 0


@message("group", "query")
class OutcomeQuery:
    """A rank asks another rank for the outcome of a switch."""

    group: str = ""
    generation: int = 0
    version: int = 0
    step: int = 0
    rank: int = 0


@message("group", "join")
class GenerationJoin:
    """A restarted rank announces a new generation of the group."""

    group: str = ""
    generation: int = 0
    rank: int = 0
    incarnation: int = 0


@message("group", "joinAnswer")
class GenerationAnswer:
    """A rank's only reply in a new generation: its expert map and open switch."""

    group: str = ""
    generation: int = 0
    rank: int = 0
    incarnation: int = 0
    current_version: int = 0
    open_version: int = 0
    open_step: int = 0
    outcome: str = ""
    map: bytes = b""
    open_map: bytes = b""
    completed_step: int = 0
    origin: int = 0
    fence: int = 0
    incarnations: list = field(default_factory=list)
    is_rank_new: bool = False


@message("group", "settled")
class GenerationSettled:
    """A rank reports that it settled a generation on the map that all replies give."""

    group: str = ""
    generation: int = 0
    rank: int = 0


@message("group", "state")
class GroupState:
    """An agent reports to entries and peers whether its group can take requests."""

    group: str = ""
    rank: int = 0
    generation: int = 0
    is_complete: bool = False
    map_version: int = 0
    requests_in_flight: int = 0
    is_leaving: bool = False


@message("group", "expertCounts")
class ExpertCounts:
    """Token counts per layer and expert, as counted at one rank."""

    group: str = ""
    rank: int = 0
    sequence: int = 0
    experts: int = 0
    counts: list = field(default_factory=list)
    step: int = 0
    step_seconds: float = 0.0
    seconds: float = 0.0
    work_seconds: float = 0.0


@message("group", "countsRequest")
class CountsRequest:
    """Heartbeat of the coordinator that also requests token counts unless `is_beat`."""

    group: str = ""
    fence: int = 0
    is_beat: bool = False
