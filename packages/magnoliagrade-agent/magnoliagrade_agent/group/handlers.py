"""Handlers of messages between the agents of a group, and its background tasks."""

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

from magnoliagrade_agent.group.coordination import coordinate, poll_record
from magnoliagrade_agent.handlers import agent_handlers, agent_tasks

__all__ = []

TICK_INTERVAL_S = 0.1


async def on_group_message(node, link, message):
    """Pass a message from a peer agent to this agent's group; ignore other groups."""
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
    """Record the coordinator's heartbeat; reply with token counts if requested."""
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
    """Add a rank's counts to the balance if this agent coordinates the group."""
    service = node.group_service
    if service is not None and service.balance is not None:
        service.add_counts(message)


@agent_handlers.on(GroupState)
async def on_group_state(node, link, message):
    """Record whether a peer is leaving and how many requests it has in flight."""
    service = node.group_service
    if service is not None and message.group == service.group:
        service.record_peer_state(message)


@agent_tasks.register("group-links")
async def keep_peer_links(node):
    """Keep links to the other agents of the group."""
    if node.group_service is not None:
        await node.group_service.keep_peer_links()


@agent_tasks.register("group-ticks")
async def tick(node):
    """Poll the rank and resend messages that peers may have missed."""
    while node.group_service is not None:
        await node.group_service.tick()
        await node.clock.sleep(TICK_INTERVAL_S)


@agent_tasks.register("group-record")
async def read_record(node):
    """Read the group's record from the store if the group does not run."""
    if node.group_service is not None:
        await poll_record(node.group_service)


@agent_tasks.register("group-coordination")
async def run_coordination(node):
    """Compete for the group's lease and rebalance the group while holding it."""
    if node.group_service is not None:
        await coordinate(node.group_service)
