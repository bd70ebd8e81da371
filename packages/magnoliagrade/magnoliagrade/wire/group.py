"""Messages of expert-parallel groups: the switch of the expert map."""

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
    """Order to load the missing experts of a map, without obligation."""

    group: str = ""
    generation: int = 0
    fence: int = 0
    version: int = 0
    map: bytes = b""


@message("group", "stageAck")
class StageAck:
    """A rank has (or has not) loaded the experts of a staged map."""

    group: str = ""
    generation: int = 0
    version: int = 0
    rank: int = 0
    accepted: bool = False
    fence: int = 0
    needs_map: bool = False


@message("group", "arm")
class ArmSwitch:
    """Order not to begin a step before the outcome is known."""

    group: str = ""
    generation: int = 0
    fence: int = 0
    version: int = 0
    step: int = 0


@message("group", "armAck")
class ArmAck:
    """A rank has armed, or has refused for good."""

    group: str = ""
    generation: int = 0
    version: int = 0
    step: int = 0
    rank: int = 0
    accepted: bool = False


@message("group", "outcome")
class SwitchOutcome:
    """The switch was committed or aborted."""

    group: str = ""
    generation: int = 0
    version: int = 0
    step: int = 0
    rank: int = 0
    committed: bool = False


@message("group", "known")
class OutcomeKnown:
    """A rank knows the outcome of a switch."""

    group: str = ""
    generation: int = 0
    version: int = 0
    step: int = 0
    rank: int = 0


@message("group", "query")
class OutcomeQuery:
    """A rank asks another one what it knows of a switch."""

    group: str = ""
    generation: int = 0
    version: int = 0
    step: int = 0
    rank: int = 0


@message("group", "join")
class GenerationJoin:
    """A restarted rank opens a new generation of the group."""

    group: str = ""
    generation: int = 0
    rank: int = 0
    incarnation: int = 0


@message("group", "joinAnswer")
class GenerationAnswer:
    """A survivor's one answer in a new generation."""

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
    """A rank has settled a generation on the map that all answers give."""

    group: str = ""
    generation: int = 0
    rank: int = 0


@message("group", "state")
class GroupState:
    """An agent tells entries and peers whether its group can take requests."""

    group: str = ""
    rank: int = 0
    generation: int = 0
    is_complete: bool = False
    map_version: int = 0
    requests_in_flight: int = 0
    is_leaving: bool = False


@message("group", "expertCounts")
class ExpertCounts:
    """Token counts per layer and expert, seen by one rank."""

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
    """The coordinator says that it lives, and may ask for token counts."""

    group: str = ""
    fence: int = 0
    is_beat: bool = False
