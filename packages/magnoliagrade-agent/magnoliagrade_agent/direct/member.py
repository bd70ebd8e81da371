"""The agent's part in a switch: orders to its own rank, each read back."""

import dataclasses
import json
import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.identity import new_incarnation
from magnoliagrade.observability import log_event
from magnoliagrade.platform import OrderOutcome
from magnoliagrade.wire import RankReply

from magnoliagrade_agent.direct.counter_codec import CountSender
from magnoliagrade_agent.direct.expert_map_codec import pack_experts, unpack_experts

__all__ = ["CONFIRMED", "FAILED", "REFUSED", "RankMember"]

CONFIRMED = "confirmed"
REFUSED = "refused"
FAILED = "failed"
# An order without an answer is given again, a share of them being lost on some days:
# with four in ten lost, one in a thousand remains unconfirmed.
ORDER_TRIES = 8
# Copying an expert takes 35 ms (site sheets) and Spare 3 of each of 4 sets may be new.
PREPARE_WAIT_S = 1.5
# About the copy of one expert.
PREPARE_POLL_S = 0.03

_log = logging.getLogger(__name__)


class RankMember:
    """Carries out calls at one rank.

    Parameters
    ----------
    server : RankServer
        Client of the rank's server.
    clock : Clock
        Source of time.
    read_lag_s : float
        Age of what the server says of itself; 0 from its own machine.
    """

    __slots__ = ("_clock", "_count_sender", "_read_lag_s", "_server")

    def __init__(self, *, server, clock, read_lag_s=0.0):
        self._clock = clock
        self._read_lag_s = read_lag_s
        self._server = server
        # An agent that starts again never continues the readings of the one before.
        self._count_sender = CountSender(first_token=new_incarnation())

    async def carry_out(self, call):
        """Return the `RankReply` to a `RankCall`."""
        try:
            outcome, status, counts, tries = await self._carry_out(call)
        except MagnoliagradeError as exc:
            log_event(
                _log, "rank.call.failed", operation=call.operation, detail=exc.detail
            )
            return RankReply(call=call.call, outcome=FAILED)
        if call.operation not in ("status", "counts", "experts"):
            log_event(
                _log,
                "rank.order",
                operation=call.operation,
                epoch=call.epoch,
                map_version=call.version,
                step=call.step,
                outcome=outcome,
                tries=tries,
            )
        return RankReply(
            call=call.call,
            outcome=outcome,
            status=json.dumps(dataclasses.asdict(status)).encode() if status else b"",
            counts=counts,
            tries=tries,
        )

    async def _carry_out(self, call):
        if call.operation == "status":
            return CONFIRMED, await self._server.status(), b"", 1
        if call.operation == "counts":
            epoch, counts = await self._server.counts()
            outcome = CONFIRMED if epoch == call.epoch else REFUSED
            status = await self._server.status()
            packed = self._count_sender.pack(counts, since=call.version)
            return outcome, status, packed, 1
        if call.operation == "experts":
            _, version, experts = await self._server.experts()
            outcome = CONFIRMED if version == call.version else REFUSED
            return outcome, None, pack_experts(experts), 1
        outcome, status, tries = await self._order(call)
        return outcome, status, b"", tries

    async def _order(self, call):
        """Give an order until its effect is seen or it is refused."""
        fields = {"epoch": call.epoch}
        if call.operation != "release" and call.operation != "hold":
            fields["version"] = call.version
        if call.operation in ("arm", "hold", "release"):
            fields["step"] = call.step
        if call.operation == "prepare":
            fields["experts"] = unpack_experts(call.placement)
        status = None
        for tries in range(1, ORDER_TRIES + 1):
            taken = await self._server.order(call.operation, **fields)
            status = await self._read_back(call, taken)
            if status is None:
                continue
            if _is_in_effect(call, status):
                return CONFIRMED, status, tries
            if taken is OrderOutcome.REFUSED:
                return REFUSED, status, tries
        return FAILED, status, ORDER_TRIES

    async def _read_back(self, call, taken):
        ends_at = self._clock.monotonic() + PREPARE_WAIT_S
        while True:
            if self._read_lag_s:
                await self._clock.sleep(self._read_lag_s)
            try:
                status = await self._server.status()
            except MagnoliagradeError:
                return None
            is_copying = call.operation == "prepare" and taken is OrderOutcome.BEGUN
            if _is_in_effect(call, status) or not is_copying:
                return status
            if self._clock.monotonic() > ends_at or status.epoch != call.epoch:
                return status
            await self._clock.sleep(PREPARE_POLL_S)


def _is_in_effect(call, status):
    if status.epoch != call.epoch:
        return False
    if call.operation == "prepare":
        return status.prepared_version == call.version
    if call.operation == "arm":
        armed = status.armed_version, status.armed_step
        return armed == (call.version, call.step) or status.map_version == call.version
    if call.operation == "disarm":
        return status.armed_version != call.version
    if call.operation == "hold":
        return status.held_step == call.step
    return status.held_step != call.step
