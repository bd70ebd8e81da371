"""Check of orders against the records of the services."""

from collections import Counter
from dataclasses import dataclass, field

from magnoliagrade_standins.load.arrivals import Kind

__all__ = ["OrderCheckResult", "check_orders"]


@dataclass(slots=True, kw_only=True)
class OrderCheckResult:
    """Orders whose executions contradict the responses to their callers.

    Parameters
    ----------
    orders : int
        Number of orders sent.
    executed : int
        Number of orders that ran at least once.
    unknown : int
        Number of orders whose callers do not know whether they ran.
    lost : list of str
        Ids of orders that were reported as run and did not run.
    doubled : list of str
        Ids of orders that ran more than once.
    ran_though_refused : list of str
        Ids of orders that were rejected as not run and did run.
    foreign : list of str
        Ids in the records that no caller of this load sent.
    """

    orders: int = 0
    executed: int = 0
    unknown: int = 0
    lost: list = field(default_factory=list)
    doubled: list = field(default_factory=list)
    ran_though_refused: list = field(default_factory=list)
    foreign: list = field(default_factory=list)

    @property
    def is_clean(self):
        """Whether no order was lost, run twice, run though rejected, or foreign."""
        violations = (self.lost, self.doubled, self.ran_though_refused, self.foreign)
        return not any(violations)


def check_orders(outcomes, executions):
    """Compare the responses to callers with the executions that services recorded.

    Parameters
    ----------
    outcomes : list of Outcome
        Outcomes of a load.
    executions : list of dict
        Executions of all services, as listed by `/record`.

    Returns
    -------
    result : OrderCheckResult
        Lists of ids are sorted.

    Notes
    -----
    An order with status 200 must have run once, an order that was rejected with
    `ran` = no must not have run, and any other order must have run at most once.
    """
    runs_by_id = Counter(e["id"] for e in executions if e["method"] == "POST")
    by_id = {o.arrival.id: o for o in outcomes if o.arrival.kind is Kind.ORDER}
    result = OrderCheckResult(orders=len(by_id))
    for request_id, outcome in sorted(by_id.items()):
        runs = runs_by_id[request_id]
        result.executed += runs > 0
        result.unknown += outcome.ran == "unknown"
        if runs > 1:
            result.doubled.append(request_id)
        if runs == 0 and outcome.ran == "yes":
            result.lost.append(request_id)
        if runs and outcome.ran == "no":
            result.ran_though_refused.append(request_id)
    result.foreign = sorted(set(runs_by_id) - set(by_id))
    return result
