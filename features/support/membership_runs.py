"""Random runs and a state machine over :class:`MembershipFleet`."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from features.support.membership_fleet import MembershipFleet

CONVERGENCE_STEPS = 160


def random_run(seed, daemon_count=6, event_count=60, patch_node=None):
    """Make random faults, edits and restarts and return the fleet."""
    rng = random.Random(seed)
    fleet = MembershipFleet(daemon_count, rng, patch_node)
    fleet.advance(24)
    for _ in range(event_count):
        _inject_random_fault(fleet, rng)
        fleet.advance(rng.choice((1, 2, 4, 8, 16, 30)))
    return fleet


def _inject_random_fault(fleet, rng):
    name = rng.choice(fleet.names)
    kind = rng.random()
    if kind < 0.25:
        fleet.edit(name)
    elif kind < 0.40:
        isolated = rng.sample(fleet.names, rng.randint(1, len(fleet.names) - 1))
        fleet.isolate(isolated)
        table_side = rng.choice(("both", "one", "other", "neither"))
        others = [n for n in fleet.names if n not in isolated]
        without_table = {
            "both": [],
            "one": others,
            "other": isolated,
            "neither": fleet.names,
        }
        fleet.without_table = set(without_table[table_side])
    elif kind < 0.48:
        fleet.cut_link(*rng.sample(fleet.names, 2))
    elif kind < 0.56:
        fleet.loss_rate = rng.choice((0.0, 0.3, 0.6))
    elif kind < 0.62:
        fleet.table_down = not fleet.table_down
    elif kind < 0.72:
        fleet.pause(name)
    elif kind < 0.82:
        fleet.resume(name)
    elif kind < 0.90:
        fleet.restart(name)
    else:
        fleet.heal()


class MembershipStateMachine(RuleBasedStateMachine):
    """Hypothesis chooses the faults; the oracle is the accepted number in the table."""

    def __init__(self):
        super().__init__()
        self.fleet = MembershipFleet(5, random.Random(7))
        self.fleet.advance(24)

    node_names = st.sampled_from([f"n{i}" for i in range(5)])
    daemon_sets = st.sets(node_names, min_size=1, max_size=4)

    @rule(name=node_names)
    def edit(self, name):
        """Commit an edit."""
        self.fleet.edit(name)

    @rule(isolated=daemon_sets, without_table=st.sets(node_names))
    def isolate(self, isolated, without_table):
        """Isolate some daemons, and make the table unreachable for others."""
        self.fleet.isolate(sorted(isolated))
        self.fleet.without_table = set(without_table)

    @rule(a=node_names, b=node_names)
    def cut_link(self, a, b):
        """Cut one link."""
        if a != b:
            self.fleet.cut_link(a, b)

    @rule(name=node_names)
    def pause(self, name):
        """Pause a process."""
        self.fleet.pause(name)

    @rule(name=node_names)
    def resume(self, name):
        """Resume a process."""
        self.fleet.resume(name)

    @rule(name=node_names)
    def restart(self, name):
        """Restart a process."""
        self.fleet.restart(name)

    @rule(is_down=st.booleans())
    def set_table_down(self, is_down):
        """Take the table down or bring it back."""
        self.fleet.table_down = is_down

    @rule()
    def heal(self):
        """End all faults."""
        self.fleet.heal()

    @rule(step_count=st.sampled_from((1, 4, 12, 30)))
    def advance(self, step_count):
        """Advance the time."""
        self.fleet.advance(step_count)

    @invariant()
    def no_daemon_serves_an_older_revision_than_the_accepted_one(self):
        """The invariant under test."""
        assert not self.fleet.violations, self.fleet.violations[:3]


def settle(fleet):
    """End all faults, let the fleet converge, and return it."""
    fleet.heal()
    fleet.advance(CONVERGENCE_STEPS)
    return fleet
