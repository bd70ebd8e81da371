"""Messages between the agents of a group, and their background tasks."""

from magnoliagrade.wire import (
    ArmAck,
    ArmSwitch,
    CountsRequest,
    ExpertCounts,
    GenerationAnswer,
    GenerationJoin,
    GenerationSettled,
    GroupState,
    OutcomeKnown,
    OutcomeQuery,
    StageAck,
    StageMap,
    SwitchOutcome,
)

from magnoliagrade_agent.group.coordination import coordinate, read_record_until_running
from magnoliagrade_agent.handlers import agent_handlers, agent_tasks

__all__ = []

TICK_INTERVAL_S = 0.1


async def on_group_message(node, link, message):
    """Hand a message of a peer's agent to the group, if it is this one."""
    service = node.group_service
    if service is not None and message.group == service.group:
        await service.on_message(link, message)


for message_class in (
    ArmAck,
    ArmSwitch,
    GenerationAnswer,
    GenerationJoin,
    GenerationSettled,
    OutcomeKnown,
    OutcomeQuery,
    StageAck,
    StageMap,
    SwitchOutcome,
):
    agent_handlers.on(message_class)(on_group_message)


@agent_handlers.on(CountsRequest)
async def on_counts_request(node, link, message):
    """Send the coordinator what the rank counted."""
    service = node.group_service
    if service is None or message.group != service.group:
        return
    service.record_coordinator(message.fence)
    if message.is_beat:
        return
    counts = await service.read_counts()
    if counts is not None:
        link.send(counts)


@agent_handlers.on(ExpertCounts)
async def on_expert_counts(node, link, message):
    """Take a rank's counts if this agent coordinates."""
    service = node.group_service
    if service is not None and service.balance is not None:
        service.add_counts(message)


@agent_handlers.on(GroupState)
async def on_group_state(node, link, message):
    """Note whether a peer leaves and what it has in flight."""
    service = node.group_service
    if service is not None and message.group == service.group:
        service.record_peer_state(message)


@agent_tasks.register("group-links")
async def keep_peer_links(node):
    """Keep linked to the agents of the group."""
    if node.group_service is not None:
        await node.group_service.keep_peer_links()


@agent_tasks.register("group-ticks")
async def tick(node):
    """Repeat what peers may have missed."""
    while node.group_service is not None:
        await node.group_service.tick()
        await node.clock.sleep(TICK_INTERVAL_S)


@agent_tasks.register("group-record")
async def read_record(node):
    """Learn the group's record from the store while the group does not run."""
    if node.group_service is not None:
        await read_record_until_running(node.group_service)


@agent_tasks.register("group-coordination")
async def run_coordination(node):
    """Hold the group's lease if it is free, and balance the group."""
    if node.group_service is not None:
        await coordinate(node.group_service)
