"""Execution of a coordinator's calls at one rank; the effect of orders is verified."""

import dataclasses
import json
import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.identity import new_incarnation
from magnoliagrade.observability import log_event
from magnoliagrade.platform import OrderOutcome
from magnoliagrade.wire import RankReply

from magnoliagrade_agent.direct.counter_codec import CounterEncoder
from magnoliagrade_agent.direct.expert_map_codec import pack_experts, unpack_experts
from magnoliagrade_agent.direct.increment_codec import IncrementTracker, pack_increments
from magnoliagrade_agent.direct.map_changes_codec import KnownMaps, UnknownBase

__all__ = ["CONFIRMED", "FAILED", "REFUSED", "UNKNOWN_BASE", "RankMember"]

# Outcomes in a `RankReply`. Confirmed: the read succeeded, or the status shows the
# effect of the order. Refused: the server rejected the order, or the read belongs to
# another epoch or map version. Failed: the read failed, or the effect is unknown.
# Unknown base: nothing was ordered, the changes of a map are based on an unknown one.
CONFIRMED = "confirmed"
REFUSED = "refused"
FAILED = "failed"
UNKNOWN_BASE = "unknown-base"
# Operations that change nothing.
READ_OPERATIONS = frozenset({"status", "counts", "increments", "experts"})
# An order without a response is sent again. With four in ten lost, one order in a
# thousand remains unconfirmed after eight tries.
MAX_ORDER_TRIES = 8
# Longest wait for the copies of a prepared map. Copying an expert takes 35 ms, and 3
# experts of each of 4 sets may be new at a rank.
PREPARE_TIMEOUT_S = 1.5
# Interval of reads of the status during copies; about the time of one copy.
PREPARE_POLL_INTERVAL_S = 0.03

_log = logging.getLogger(__name__)


class RankMember:
    """Executes the calls of a coordinator at one rank's server.

    Parameters
    ----------
    server : RankServer
        Client of the rank's server.
    clock : Clock
        Source of time.
    status_lag_s : float
        Age in seconds of the status that the server reports. The effect of an order
        is read only after this time. 0 on the server's machine.
    """

    __slots__ = (
        "_clock",
        "_counter_encoder",
        "_increments",
        "_known_maps",
        "_server",
        "_status_lag_s",
    )

    def __init__(self, *, server, clock, status_lag_s=0.0):
        self._clock = clock
        self._status_lag_s = status_lag_s
        self._server = server
        # Starts at a random id, so that a restarted agent never sends increments to a
        # snapshot that its former process sent.
        self._counter_encoder = CounterEncoder(first_snapshot_id=new_incarnation())
        self._increments = IncrementTracker(first_snapshot_id=new_incarnation())
        self._known_maps = KnownMaps()

    async def read_status(self):
        """Return the `RankStatus` of the rank.

        Raises
        ------
        MagnoliagradeError
            If the server does not respond or its response is malformed.
        """
        return await self._server.status()

    async def execute(self, call):
        """Execute a `RankCall` and return its `RankReply`, also if the call fails."""
        try:
            outcome, status, counts, tries = await self._execute(call)
        except MagnoliagradeError as exc:
            log_event(
                _log, "rank.call.failed", operation=call.operation, detail=exc.detail
            )
            return RankReply(call=call.call, outcome=FAILED)
        if call.operation not in READ_OPERATIONS:
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

    async def _execute(self, call):
        if call.operation == "status":
            return CONFIRMED, await self._server.status(), b"", 1
        if call.operation == "counts":
            epoch, counts = await self._server.counts()
            outcome = CONFIRMED if epoch == call.epoch else REFUSED
            status = await self._server.status()
            packed = self._counter_encoder.encode(counts, base_id=call.version)
            return outcome, status, packed, 1
        if call.operation == "increments":
            epoch, counts = await self._server.counts()
            outcome = CONFIRMED if epoch == call.epoch else REFUSED
            status = await self._server.status()
            increments = self._increments.read(counts, base_id=call.version)
            return outcome, status, pack_increments(increments), 1
        if call.operation == "experts":
            _, version, experts = await self._server.experts()
            outcome = CONFIRMED if version == call.version else REFUSED
            return outcome, None, pack_experts(experts), 1
        outcome, status, tries = await self._execute_order(call)
        return outcome, status, b"", tries

    async def _execute_order(self, call):
        """Send an order until the status shows its effect or the server rejects it."""
        fields = {"epoch": call.epoch}
        if call.operation != "release" and call.operation != "hold":
            fields["version"] = call.version
        if call.operation in ("arm", "hold", "release"):
            fields["step"] = call.step
        if call.operation == "prepare":
            try:
                fields["experts"] = self._experts_of(call)
            except UnknownBase as exc:
                log_event(_log, "rank.map.base_unknown", detail=str(exc))
                return UNKNOWN_BASE, None, 0
        status = None
        for tries in range(1, MAX_ORDER_TRIES + 1):
            outcome = await self._server.order(call.operation, **fields)
            status = await self._read_status(call, outcome)
            if status is None:
                continue
            if _is_in_effect(call, status):
                return CONFIRMED, status, tries
            if outcome is OrderOutcome.REFUSED:
                return REFUSED, status, tries
        return FAILED, status, MAX_ORDER_TRIES

    def _experts_of(self, call):
        """Return the map of a call to prepare it, and remember it."""
        if call.base:
            experts = self._known_maps.apply_changes(call.base, call.placement)
        else:
            experts = unpack_experts(call.placement)
        self._known_maps.add(call.version, experts)
        return experts

    async def _read_status(self, call, outcome):
        ends_at = self._clock.monotonic() + PREPARE_TIMEOUT_S
        while True:
            if self._status_lag_s:
                await self._clock.sleep(self._status_lag_s)
            try:
                status = await self._server.status()
            except MagnoliagradeError:
                return None
            is_copying = call.operation == "prepare" and outcome is OrderOutcome.BEGUN
            if _is_in_effect(call, status) or not is_copying:
                return status
            if self._clock.monotonic() > ends_at or status.epoch != call.epoch:
                return status
            await self._clock.sleep(PREPARE_POLL_INTERVAL_S)


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
