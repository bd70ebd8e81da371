"""Fake group of ranks that loses and delays orders and checks each pass."""

import heapq

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.platform import OrderOutcome
from magnoliagrade.world.site import RankStatus

# Delay of an order with a response, and of one that is executed without a response.
MAX_ORDER_DELAY_S = 0.1
MIN_LATE_S, MAX_LATE_S = 0.05, 3.0


class FakeGroup:
    """Ranks in lock-step; `mixed_passes` counts passes that ran with two maps."""

    def __init__(self, *, size, rng, clock, late_fraction=0.0, lost_fraction=0.0):
        self.rng = rng
        self.clock = clock
        self.late_fraction = late_fraction
        self.lost_fraction = lost_fraction
        # Operations whose orders may be late; empty means all.
        self.late_operations = ()
        # Time that reading the status of all ranks takes on a link that they share.
        self.read_s = 0.0
        self._link_busy_until = 0.0
        self.epoch = 1
        self.step = 0
        self.mixed_passes = 0
        self.ranks = [FakeRank(group=self, rank=r) for r in range(size)]
        self._late_orders = []
        self._order_count = 0

    async def use_link(self):
        """Wait until the link has carried another status."""
        now = self.clock.monotonic()
        took_s = self.read_s / len(self.ranks)
        self._link_busy_until = max(now, self._link_busy_until) + took_s
        if took_s:
            await self.clock.sleep(self._link_busy_until - now)

    def delay_order(self, action):
        self._order_count += 1
        at = self.clock.monotonic() + self.rng.uniform(MIN_LATE_S, MAX_LATE_S)
        heapq.heappush(self._late_orders, (at, self._order_count, action))

    def run_late_orders(self):
        while self._late_orders and self._late_orders[0][0] <= self.clock.monotonic():
            heapq.heappop(self._late_orders)[2]()

    def begin_pass(self):
        if any(rank.held == self.step + 1 for rank in self.ranks):
            return
        self.step += 1
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == self.step:
                rank.version, rank.map = rank.armed[0], rank.prepared[1]
                rank.armed = None
        if len({(rank.version, str(rank.map)) for rank in self.ranks}) > 1:
            self.mixed_passes += 1

    def begin_new_epoch(self):
        self.epoch += 1
        for rank in self.ranks:
            rank.reset()


class FakeRank:
    """Stands in for one rank's `RankServer`; rejects the orders that servers reject."""

    def __init__(self, *, group, rank):
        self.group = group
        self.rank = rank
        self.reset()

    def reset(self):
        self.version, self.map = 0, "first"
        self.prepared = None
        self.armed = None
        self.held = None
        self.seen = {0}
        self.is_unresponsive = False

    async def status(self):
        group = self.group
        await group.use_link()
        if self.is_unresponsive or group.rng.random() < group.lost_fraction / 2:
            raise MagnoliagradeError(ErrorKind.UPSTREAM_FAILED, "no response")
        return RankStatus(
            group="g",
            epoch=group.epoch,
            rank=self.rank,
            size=len(group.ranks),
            is_open=True,
            step=group.step,
            map_version=self.version,
            prepared_version=self.prepared and self.prepared[0],
            armed_version=self.armed and self.armed[0],
            armed_step=self.armed and self.armed[1],
            held_step=self.held,
        )

    async def order(self, operation, *, epoch, version=None, step=None, experts=None):
        group = self.group

        def carry_out():
            return self._carry_out(operation, epoch, version, step, experts)

        await group.clock.sleep(group.rng.uniform(0.0, MAX_ORDER_DELAY_S))
        if self.is_unresponsive:
            return OrderOutcome.UNKNOWN
        drawn = group.rng.random()
        may_be_late = not group.late_operations or operation in group.late_operations
        if drawn < group.late_fraction and may_be_late:
            group.delay_order(carry_out)
            return OrderOutcome.UNKNOWN
        if drawn < group.late_fraction + group.lost_fraction:
            if group.rng.random() < 0.5:
                carry_out()
            return OrderOutcome.UNKNOWN
        return OrderOutcome.DONE if carry_out() else OrderOutcome.REFUSED

    def _carry_out(self, operation, epoch, version, step, experts):
        if epoch != self.group.epoch:
            return False
        return getattr(self, f"_{operation}")(version, step, experts)

    def _prepare(self, version, _step, experts):
        if self.prepared and self.prepared[0] == version:
            return True
        if version <= max(self.seen) or self.armed is not None:
            return False
        self.seen.add(version)
        self.prepared = (version, experts)
        return True

    def _arm(self, version, step, _experts):
        if self.armed == (version, step):
            return True
        if not self.prepared or self.prepared[0] != version:
            return False
        if step <= self.group.step or version == self.version:
            return False
        self.armed = (version, step)
        return True

    def _disarm(self, version, _step, _experts):
        if version == self.version:
            return False
        if self.armed is not None and self.armed[0] == version:
            self.armed = None
        return True

    def _hold(self, _version, step, _experts):
        if self.held is not None and self.held != step:
            return False
        if step <= self.group.step:
            return False
        self.held = step
        return True

    def _release(self, _version, step, _experts):
        if self.held == step:
            self.held = None
        return True
