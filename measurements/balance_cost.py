"""Processor time that a coordinator spends on the balance of groups at a size.

Run: ``.venv/bin/python -m measurements.balance_cost [DOMAINS]``
"""

import sys
import time

from cowslipcourse.entry.balancing import REBALANCE_INTERVAL_S, STANDBY_INTERVAL_S
from cowslipcourse.groups import (
    DomainPlan,
    PlannedGroup,
    choose_reassignments,
    choose_standby,
)
from cowslipcourse.routes import EngineModel

DOMAINS = 150
"""Domains of eight engines at the size that decides the design."""
ENGINES = 8
DATA_CENTRES = 15
ROUNDS = 50
MODELS = (
    EngineModel("large", 4, 0.67, 1.0, 16.0, 1.6),
    EngineModel("small", 2, 0.33, 0.6, 12.0, 1.1),
)


def _plan(number):
    """Return the plan of a domain; every third one serves the smaller model."""
    model = MODELS[number % 3 == 0]
    domain = f"d{number}"
    groups = tuple(
        PlannedGroup(
            f"{domain}-{each}",
            model.name,
            1,
            tuple(f"{domain}-{each}-{rank}" for rank in range(model.size)),
        )
        for each in range(ENGINES // model.size)
    )
    return DomainPlan(domain, 1, groups)


def _seconds(choose):
    began_at = time.process_time()
    for _ in range(ROUNDS):
        choose()
    return (time.process_time() - began_at) / ROUNDS


def main(domains):
    """Print the time of each decision and the share of a core of both."""
    plans = {plan.domain: plan for plan in map(_plan, range(domains))}
    places = {name: f"dc{n % DATA_CENTRES}" for n, name in enumerate(plans)}
    changes_s = _seconds(
        lambda: choose_reassignments(plans, MODELS, lambda *_: True, lambda *_: 0)
    )
    standby_s = _seconds(lambda: choose_standby(plans, places, MODELS, lambda *_: 0))
    share = changes_s / REBALANCE_INTERVAL_S + standby_s / STANDBY_INTERVAL_S
    print(f"{domains} domains: changes {1000 * changes_s:.2f} ms,", end=" ")
    print(f"standby {1000 * standby_s:.2f} ms, {share:.4f} of a core")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else DOMAINS)
