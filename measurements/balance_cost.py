"""Processor time of a coordinator for balancing groups, by number of domains.

Run: ``.venv/bin/python -m measurements.balance_cost [DOMAINS]``
"""

import sys
import time

from cowslipcourse.entry.engine_reassignment import (
    REBALANCE_INTERVAL_S,
    STANDBY_INTERVAL_S,
)
from cowslipcourse.group_plans import (
    DomainPlan,
    PlannedGroup,
    choose_reassignments,
    choose_standby,
)
from cowslipcourse.routes import EngineModel

DOMAIN_COUNT = 150
"""Number of domains of eight engines at the size that the design is based on."""
ENGINES_PER_DOMAIN = 8
DATA_CENTRE_COUNT = 15
ROUNDS = 50
MODELS = (
    EngineModel("large", 4, 0.67, 1.0, 16.0, 1.6),
    EngineModel("small", 2, 0.33, 0.6, 12.0, 1.1),
)


def _make_plan(domain_index):
    """Return the plan of a domain; every third one serves the smaller model."""
    model = MODELS[domain_index % 3 == 0]
    domain = f"d{domain_index}"
    groups = tuple(
        PlannedGroup(
            f"{domain}-{group_index}",
            model.name,
            1,
            tuple(f"{domain}-{group_index}-{rank}" for rank in range(model.size)),
        )
        for group_index in range(ENGINES_PER_DOMAIN // model.size)
    )
    return DomainPlan(domain, 1, groups)


def _mean_cpu_s(choose):
    started_s = time.process_time()
    for _ in range(ROUNDS):
        choose()
    return (time.process_time() - started_s) / ROUNDS


def main(domain_count):
    """Print the time of each decision and the fraction of a core for both.

    :param domain_count: number of domains.
    """
    plans = {plan.domain: plan for plan in map(_make_plan, range(domain_count))}
    data_centres = {name: f"dc{n % DATA_CENTRE_COUNT}" for n, name in enumerate(plans)}
    reassignments_s = _mean_cpu_s(
        lambda: choose_reassignments(plans, MODELS, lambda *_: True, lambda *_: 0)
    )
    standby_s = _mean_cpu_s(
        lambda: choose_standby(plans, data_centres, MODELS, lambda *_: 0)
    )
    core_fraction = (
        reassignments_s / REBALANCE_INTERVAL_S + standby_s / STANDBY_INTERVAL_S
    )
    print(
        f"{domain_count} domains: reassignments {1000 * reassignments_s:.2f} ms,",
        end=" ",
    )
    print(f"standby {1000 * standby_s:.2f} ms, {core_fraction:.4f} of a core")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else DOMAIN_COUNT)
