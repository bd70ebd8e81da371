"""
Selecting endpoints by labels
=============================

An endpoint is drained by changing a label. The selector of its pool stays the same;
the endpoint no longer matches it.
"""

from magnoliagrade.algorithms import parse_selector

selector = parse_selector("work=model, state notin (draining)")
print(selector.matches({"work": "model"}))
print(selector.matches({"work": "model", "state": "draining"}))
