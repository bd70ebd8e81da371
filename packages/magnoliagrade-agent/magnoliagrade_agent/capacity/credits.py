"""Ledger of an agent: work in flight and granted credit, against the limit."""

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

# Part of the limit that surplus requests leave free while others have to wait.
SURPLUS_HEADROOM_FRACTION = 0.3
# A request to which the endpoint has not begun to respond within this time no longer
# delays the admission of others.
CONFIRMATION_TIMEOUT_S = 0.1
ADMISSION_POLL_S = 0.005
MAX_ADMISSION_WAIT_S = 1.0
# A request above the cold limit may run alone only if the newest load report is at
# most this old, because an idle engine may have restarted since.
MAX_REPORT_AGE_S = 2.0
REJECTED_RETRY_AFTER_S = 1.0
# Errors after which the engine may have restarted.
POSSIBLE_RESTART_KINDS = (
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
REJECTIONS = Counter(
    "magnoliagrade_agent_refusals_total", "Requests refused by reason", ["reason"]
)
_log = logging.getLogger(__name__)


class CreditLedger:
    """Work in flight at one endpoint and credit granted for it, within its limit.

    Parameters
    ----------
    limit_policy : LimitPolicy
        Policy that sets the limit.
    clock : Clock
        Source of time.
    has_reports : bool
        Whether the endpoint provides load reports.

    Attributes
    ----------
    in_flight : float
        Cost of the requests that the agent tracks.
    is_suspended : bool
        Whether the endpoint accepts no connections, so that nothing is admitted.
    on_capacity_freed : callable, optional
        Called without arguments after each end of a tracked request.

    Notes
    -----
    The sum of work in flight, reserved credit and untracked work is kept within the
    limit. The limit above the cold limit is used only while the engine's boot is
    proven (`BootContinuity`). With load reports, nothing is admitted before the first
    report made after the start of this agent. Requests to which the endpoint has not
    begun to respond stay within the cold limit, because an engine that restarts has
    to process exactly these while cold.
    """

    __slots__ = (
        "_clock",
        "_has_reports",
        "_is_load_known",
        "_snapshot_at",
        "_started_at",
        "_tracked",
        "continuity",
        "grants",
        "in_flight",
        "is_suspended",
        "limit_policy",
        "on_capacity_freed",
        "untracked",
    )

    def __init__(self, *, limit_policy, clock, has_reports=False):
        self.limit_policy = limit_policy
        self._clock = clock
        self._has_reports = has_reports
        self._is_load_known = not has_reports
        self._started_at = clock.monotonic()
        self._snapshot_at = float("-inf")
        self._tracked = {}
        self.in_flight = 0.0
        self.is_suspended = False
        self.continuity = BootContinuity(has_reports=has_reports)
        self.grants = GrantTable(clock=clock)
        self.untracked = UntrackedWork(clock=clock, has_reports=has_reports)
        self.on_capacity_freed = None

    @property
    def count_in_flight(self):
        """Return the number of requests that the agent tracks."""
        return len(self._tracked)

    @property
    def limit(self):
        """Return the cost that may be in flight at the endpoint now."""
        if not self._is_load_known or self.is_suspended:
            return 0.0
        if self.continuity.is_proven:
            return self.limit_policy.limit
        return min(self.limit_policy.limit, self.limit_policy.cold_limit)

    @property
    def advertised_limit(self):
        """Return the limit reported to entries, which assumes a proven boot."""
        return self.limit_policy.limit if self._is_load_known else 0.0

    @property
    def held(self):
        """Return the cost in flight and the cost of untracked work."""
        return self.in_flight + self.untracked.cost

    @property
    def free(self):
        """Return the part of the limit that is neither held nor reserved."""
        return self.limit - self.held - self.grants.reserved

    @property
    def needs_report(self):
        """Whether a load report could raise the cost that is admitted."""
        if not self._has_reports:
            return False
        lacks_load = not self._is_load_known or bool(self.untracked.cost)
        return lacks_load or (self.count_in_flight and not self.continuity.is_proven)

    @property
    def headroom(self):
        """Return the cost that surplus credit requests must leave free now.

        Notes
        -----
        It is 0 without contention: organisations above their share may use capacity
        that no other organisation waits for.
        """
        return (
            SURPLUS_HEADROOM_FRACTION * self.limit if self.grants.is_contended else 0.0
        )

    def distribute(self):
        """Grant free capacity to pending credit requests; return the new grants."""
        self.untracked.expire()
        if not self._is_load_known:
            return []
        self.grants.drop_larger_than(self.limit_policy.limit)
        is_idle = not self.held and not self.grants.reserved
        exclusive_limit = self._exclusive_limit() if is_idle else 0.0
        return self.grants.distribute(
            self.free,
            headroom=self.headroom,
            exclusive_limit=exclusive_limit,
        )

    async def admit(self, request, *, entry):
        """Admit a request and count it as in flight, or reject it.

        Parameters
        ----------
        request : Request
            The request.
        entry : str
            Entry that sent it.

        Returns
        -------
        work : EndpointWork
            The admitted request, to be passed to `track`.

        Raises
        ------
        MagnoliagradeError
            `NOT_RUN` if the request would exceed the endpoint's limit, if the
            endpoint's load is unknown or it accepts no connections, or if the
            endpoint does not begin to respond to earlier requests within a second.

        Notes
        -----
        While the boot is not proven, a request whose cost lies between the cold limit
        and the policy's limit is admitted only if nothing else is in flight and the
        newest load report is at most 2 s old. The wait for the endpoint to begin its
        responses to earlier requests takes milliseconds and ends after a second.
        """
        deadline = self._clock.monotonic() + MAX_ADMISSION_WAIT_S
        while True:
            self._check_capacity(request, entry)
            if self._is_within_unconfirmed_limit(request.cost):
                return self._begin(request, entry)
            if self._clock.monotonic() >= deadline:
                self._reject(
                    "pace",
                    "the endpoint has not begun to respond to earlier requests "
                    f"within {MAX_ADMISSION_WAIT_S} s",
                )
            await self._clock.sleep(ADMISSION_POLL_S)

    @contextlib.contextmanager
    def track(self, work):
        """Track admitted work until it ends, and update the limit by its outcome.

        Parameters
        ----------
        work : EndpointWork
            Return value of `admit`.

        Raises
        ------
        MagnoliagradeError
            Any error of the block, after the work has been removed.
        """
        try:
            yield work
        except MagnoliagradeError as exc:
            self._end(work)
            if exc.kind in POSSIBLE_RESTART_KINDS:
                self._on_broken(work, has_sent=exc.kind is not ErrorKind.NOT_RUN)
            raise
        finally:
            if work.ended_at is None:
                self._end(work)
                self._on_ended(work)
            self._update_gauges()
            if self.on_capacity_freed is not None:
                self.on_capacity_freed()

    def confirm(self, work):
        """Record that the endpoint has begun to respond to a request."""
        work.confirmed_at = self._clock.monotonic()
        self.continuity.on_confirmed(work.epoch, at=work.confirmed_at)

    def record_chunk(self, work, chunk):
        """Record the arrival of a chunk of a response body."""
        work.record_chunk(chunk, at=self._clock.monotonic())

    def on_report(self, report, *, requested_at):
        """Update the ledger from a load report of the engine.

        Parameters
        ----------
        report : LoadReport
            The report.
        requested_at : float
            Monotonic time, in seconds, at which it was requested.
        """
        now = self._clock.monotonic()
        snapshot_at = requested_at - report.age_s
        self._snapshot_at = snapshot_at
        if self.continuity.on_report(report.boot_id, snapshot_at=snapshot_at):
            self.reset_to_cold_limit("boot-changed")
        if not self._is_load_known and snapshot_at >= self._started_at:
            self._is_load_known = True
            tracked_cost = sum(w.cost for w in self._tracked.values())
            self.untracked.add(max(0.0, report.tokens_in_flight - tracked_cost))
        self.untracked.on_report(
            report.tokens_in_flight,
            self._tracked.values(),
            requested_at=requested_at,
            received_at=now,
            age_s=report.age_s,
        )
        self._update_gauges()

    def reset_to_cold_limit(self, reason):
        """Reset the limit to the cold limit and revoke all unused credit.

        Parameters
        ----------
        reason : str
            Why the limit is reset; a label of the metric of changes and a log field.
        """
        before = self.limit_policy.limit
        self.limit_policy.on_cold()
        self.continuity.on_cold()
        self.grants.revoke_all()
        self._note_change(before, reason)

    def _check_capacity(self, request, entry):
        if not self._is_load_known:
            self._reject(
                "unknown", "no load report has been made since the agent started"
            )
        if self.is_suspended:
            self._reject("blocked", "the endpoint does not accept connections")
        if not self.held and self.limit < request.cost <= self._exclusive_limit():
            return
        # A request covered by its entry's credit has to fit beside the held cost only.
        # Without enough credit it must also leave the credit of other entries free.
        credit = min(request.cost, self.grants.reserved_for(entry))
        others = self.grants.reserved - credit if credit < request.cost else 0.0
        total = self.held + request.cost + others
        if total > self.limit:
            detail = (
                f"request of cost {request.cost} would raise the cost held and "
                f"reserved to {total}, above the limit {self.limit}"
            )
            self._reject("limit", detail)

    def _exclusive_limit(self):
        is_recent = self._clock.monotonic() - self._snapshot_at <= MAX_REPORT_AGE_S
        if self._has_reports and not is_recent:
            return self.limit
        return self.limit_policy.limit

    def _reject(self, reason, detail):
        REJECTIONS.labels(reason).inc()
        raise MagnoliagradeError(
            ErrorKind.NOT_RUN, detail, retry_after=REJECTED_RETRY_AFTER_S
        )

    def _is_within_unconfirmed_limit(self, cost):
        oldest_start = self._clock.monotonic() - CONFIRMATION_TIMEOUT_S
        unconfirmed = sum(
            w.cost
            for w in self._tracked.values()
            if w.confirmed_at is None and w.started_at > oldest_start
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
        self._tracked[id(work)] = work
        self._mark_in_use()
        self._update_gauges()
        return work

    def _mark_in_use(self):
        if self.in_flight < 0.5 * self.limit_policy.limit:
            return
        for work in self._tracked.values():
            work.was_in_use = True

    def _end(self, work):
        work.ended_at = self._clock.monotonic()
        del self._tracked[id(work)]
        self.in_flight -= work.cost
        if work.confirmed_at is not None:
            self.continuity.on_ended(work.epoch)
        self.untracked.note_ended(work)

    def _on_broken(self, work, *, has_sent):
        # The connection may have broken while the engine continues the request.
        if has_sent:
            self.untracked.add(work.cost)
        if work.epoch == self.continuity.epoch:
            self.reset_to_cold_limit("connection-broken")

    def _on_ended(self, work):
        if work.is_complete:
            self._on_completed(work)
        else:
            self.untracked.add(work.cost)

    def _on_completed(self, work):
        if work.has_failed or work.epoch != self.continuity.epoch:
            # A server error is no evidence of capacity, and neither is a response of an
            # earlier boot.
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

    def _update_gauges(self):
        LIMIT.set(self.limit)
        IN_FLIGHT.set(self.in_flight)
        RESERVED.set(self.grants.reserved)
        UNTRACKED_COST.set(self.untracked.cost)
