"""The agent's book: work in flight, credit granted, and the limit over both."""

import contextlib
import logging

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.observability import log_event
from prometheus_client import Counter, Gauge

from magnoliagrade_agent.capacity.continuity import BootContinuity
from magnoliagrade_agent.capacity.grants import GrantTable
from magnoliagrade_agent.capacity.untracked_work import UntrackedWork
from magnoliagrade_agent.capacity.work import EndpointWork

__all__ = ["CreditLedger"]

SURPLUS_HEADROOM = 0.3
CONFIRM_S = 0.1
PACE_POLL_S = 0.005
PACE_LIMIT_S = 1.0
FRESH_S = 2.0
REFUSED_RETRY_S = 1.0
BREAKING_KINDS = (
    ErrorKind.ANSWER_BROKEN,
    ErrorKind.OUTCOME_UNKNOWN,
    ErrorKind.NOT_RUN,
    ErrorKind.UPSTREAM_FAILED,
)
LIMIT = Gauge("magnoliagrade_limit_cost", "Cost that the endpoint may hold now")
IN_FLIGHT = Gauge("magnoliagrade_in_flight_cost", "Cost that the endpoint holds")
RESERVED = Gauge("magnoliagrade_reserved_cost", "Cost granted and not yet used")
UNTRACKED_COST = Gauge("magnoliagrade_residue_cost", "Cost of work nobody follows")
LIMIT_CHANGES = Counter(
    "magnoliagrade_limit_changes_total", "Changes of the limit by reason", ["reason"]
)
REFUSALS = Counter(
    "magnoliagrade_agent_refusals_total", "Requests refused by reason", ["reason"]
)
_log = logging.getLogger(__name__)


class CreditLedger:
    """Work at one endpoint and credit for more, against its limit.

    Parameters
    ----------
    limit_policy : LimitPolicy
        What decides the limit.
    clock : Clock
        Source of time.
    has_reports : bool
        Whether the endpoint gives load reports.

    Notes
    -----
    In flight, reserved and residue together stay within the limit. The limit above
    the cold one is used only while the engine's boot is proven (`BootContinuity`),
    and nothing is admitted before the first report that was made after this agent
    started. What the endpoint has not begun to answer stays within the cold limit,
    because an engine that restarts meets just that.
    """

    __slots__ = (
        "_clock",
        "_followed",
        "_has_reports",
        "_is_known",
        "_reported_at",
        "_started_at",
        "continuity",
        "grants",
        "in_flight",
        "is_blocked",
        "limit_policy",
        "on_capacity_freed",
        "residue",
    )

    def __init__(self, *, limit_policy, clock, has_reports=False):
        self.limit_policy = limit_policy
        self._clock = clock
        self._has_reports = has_reports
        self._is_known = not has_reports
        self._started_at = clock.monotonic()
        self._reported_at = float("-inf")
        self._followed = {}
        self.in_flight = 0.0
        self.is_blocked = False
        self.continuity = BootContinuity(has_reports=has_reports)
        self.grants = GrantTable(clock=clock)
        self.residue = UntrackedWork(clock=clock, has_reports=has_reports)
        self.on_capacity_freed = None

    @property
    def count_in_flight(self):
        """Return the number of requests that the agent follows."""
        return len(self._followed)

    @property
    def limit(self):
        """Return the cost that the endpoint may hold now."""
        if not self._is_known or self.is_blocked:
            return 0.0
        if self.continuity.is_proven:
            return self.limit_policy.limit
        return min(self.limit_policy.limit, self.limit_policy.cold_limit)

    @property
    def advertised_limit(self):
        """Return what the endpoint bears once its boot is proven, for entries."""
        return self.limit_policy.limit if self._is_known else 0.0

    @property
    def held(self):
        """Return the cost in flight and the residue."""
        return self.in_flight + self.residue.cost

    @property
    def free(self):
        """Return the cost that is neither held nor reserved."""
        return self.limit - self.held - self.grants.reserved

    @property
    def needs_report(self):
        """Whether a report would let more be admitted."""
        if not self._has_reports:
            return False
        is_blind = not self._is_known or bool(self.residue.cost)
        return is_blind or (self.count_in_flight and not self.continuity.is_proven)

    @property
    def headroom(self):
        """Return the cost that asks above a share leave free now.

        Notes
        -----
        Without contention there is none: what nobody else waits for is theirs.
        """
        return SURPLUS_HEADROOM * self.limit if self.grants.is_contended else 0.0

    def distribute(self):
        """Grant what is free to entries that ask; return the new grants."""
        self.residue.lapse()
        if not self._is_known:
            return []
        self.grants.drop_larger_than(self.limit_policy.limit)
        is_idle = not self.held and not self.grants.reserved
        lone_limit = self._lone_limit() if is_idle else 0.0
        return self.grants.distribute(
            self.free,
            headroom=self.headroom,
            lone_limit=lone_limit,
        )

    async def admit(self, request, *, entry):
        """Take a request into flight, or refuse it.

        Parameters
        ----------
        request : Request
            The request.
        entry : str
            Entry that sent it.

        Returns
        -------
        work : EndpointWork
            What `track` is to be entered with.

        Raises
        ------
        MagnoliagradeError
            `NOT_RUN` if the endpoint would bear more than its limit.

        Notes
        -----
        A request between the cold limit and the warm one runs alone while the boot
        is not proven. The wait for the endpoint to begin its answers to others takes
        milliseconds and ends after a second.
        """
        waits_until = self._clock.monotonic() + PACE_LIMIT_S
        while True:
            self._check_room(request, entry)
            if self._is_paced(request.cost):
                return self._begin(request, entry)
            if self._clock.monotonic() >= waits_until:
                self._refuse("pace", "the endpoint does not begin its answers")
            await self._clock.sleep(PACE_POLL_S)

    @contextlib.contextmanager
    def track(self, work):
        """Follow admitted work until it ends, and learn from how it does."""
        try:
            yield work
        except MagnoliagradeError as exc:
            self._end(work)
            if exc.kind in BREAKING_KINDS:
                self._on_broken(work, has_sent=exc.kind is not ErrorKind.NOT_RUN)
            raise
        finally:
            if work.ended_at is None:
                self._end(work)
                self._on_ended(work)
            self._publish()
            if self.on_capacity_freed is not None:
                self.on_capacity_freed()

    def confirm(self, work):
        """Note that the endpoint has begun to answer."""
        work.confirmed_at = self._clock.monotonic()
        self.continuity.on_confirmed(work.epoch, at=work.confirmed_at)

    def note_chunk(self, work, part):
        """Note a part of an answer's body."""
        work.note_chunk(part, at=self._clock.monotonic())

    def on_report(self, report, *, requested_at):
        """Take a load report of the engine.

        Parameters
        ----------
        report : LoadReport
            The report.
        requested_at : float
            Monotonic time at which it was asked for.
        """
        now = self._clock.monotonic()
        snapshot_at = requested_at - report.age_s
        self._reported_at = snapshot_at
        if self.continuity.on_report(report.boot_id, snapshot_at=snapshot_at):
            self.reset_to_cold_limit("boot-changed")
        if not self._is_known and snapshot_at >= self._started_at:
            self._is_known = True
            own = sum(w.cost for w in self._followed.values())
            self.residue.add(max(0.0, report.tokens_in_flight - own))
        self.residue.on_report(
            report.tokens_in_flight,
            self._followed.values(),
            requested_at=requested_at,
            answered_at=now,
            age_s=report.age_s,
        )
        self._publish()

    def reset_to_cold_limit(self, reason):
        """Drop the limit to the cold one and take unused credit back."""
        before = self.limit_policy.limit
        self.limit_policy.on_cold()
        self.continuity.on_cold()
        self.grants.revoke_all()
        self._note_change(before, reason)

    def _check_room(self, request, entry):
        if not self._is_known:
            self._refuse("unknown", "the endpoint's load is not known yet")
        if self.is_blocked:
            self._refuse("blocked", "the endpoint does not take connections")
        if not self.held and self.limit < request.cost <= self._lone_limit():
            return
        own = min(request.cost, self.grants.reserved_for(entry))
        others = self.grants.reserved - own if own < request.cost else 0.0
        would_be = self.held + request.cost + others
        if would_be > self.limit:
            detail = f"cost {request.cost} would make {would_be} of {self.limit}"
            self._refuse("limit", detail)

    def _lone_limit(self):
        is_fresh = self._clock.monotonic() - self._reported_at <= FRESH_S
        if self._has_reports and not is_fresh:
            return self.limit
        return self.limit_policy.limit

    def _refuse(self, reason, detail):
        REFUSALS.labels(reason).inc()
        raise MagnoliagradeError(ErrorKind.NOT_RUN, detail, retry_after=REFUSED_RETRY_S)

    def _is_paced(self, cost):
        since = self._clock.monotonic() - CONFIRM_S
        unconfirmed = sum(
            w.cost
            for w in self._followed.values()
            if w.confirmed_at is None and w.started_at > since
        )
        if not unconfirmed:
            return True
        return unconfirmed + cost <= self.limit_policy.cold_limit

    def _begin(self, request, entry):
        self.grants.use(entry, request.cost)
        work = EndpointWork(
            cost=request.cost,
            output_tokens=request.output_tokens,
            entry=entry,
            epoch=self.continuity.epoch,
            started_at=self._clock.monotonic(),
        )
        self.in_flight += work.cost
        self._followed[id(work)] = work
        self._note_use()
        self._publish()
        return work

    def _note_use(self):
        if self.in_flight < 0.5 * self.limit_policy.limit:
            return
        for work in self._followed.values():
            work.was_in_use = True

    def _end(self, work):
        work.ended_at = self._clock.monotonic()
        del self._followed[id(work)]
        self.in_flight -= work.cost
        if work.confirmed_at is not None:
            self.continuity.on_ended(work.epoch)
        self.residue.note_ended(work)

    def _on_broken(self, work, *, has_sent):
        # The connection may have been cut while the engine goes on.
        if has_sent:
            self.residue.add(work.cost)
        if work.epoch == self.continuity.epoch:
            self.reset_to_cold_limit("connection-broken")

    def _on_ended(self, work):
        if work.is_complete:
            self._on_whole(work)
        else:
            self.residue.add(work.cost)

    def _on_whole(self, work):
        if work.has_failed or work.epoch != self.continuity.epoch:
            # A failure is no evidence, and neither is an answer of the boot before.
            return
        before = self.limit_policy.limit
        reason = self.limit_policy.on_completion(work.completion())
        if reason == "first-token-far-off":
            self.reset_to_cold_limit(reason)
        elif reason:
            self._note_change(before, reason)

    def _note_change(self, before, reason):
        after = self.limit_policy.limit
        LIMIT_CHANGES.labels(reason).inc()
        if reason != "evidence":
            log_event(_log, "limit.changed", before=before, after=after, reason=reason)

    def _publish(self):
        LIMIT.set(self.limit)
        IN_FLIGHT.set(self.in_flight)
        RESERVED.set(self.grants.reserved)
        UNTRACKED_COST.set(self.residue.cost)
