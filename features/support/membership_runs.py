"""Random runs and a state machine over :class:`MembershipFleet`."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from features.support.membership_fleet import Fleet

SETTLE_STEPS = 160


def random_run(seed, size=6, events=60, adjust=None):
    """Run faults, edits and restarts at random and return the fleet."""
    rng = random.Random(seed)
    fleet = Fleet(size, rng, adjust)
    fleet.advance(24)
    for _ in range(events):
        _random_event(fleet, rng)
        fleet.advance(rng.choice((1, 2, 4, 8, 16, 30)))
    return fleet


def _random_event(fleet, rng):
    name = rng.choice(fleet.names)
    kind = rng.random()
    if kind < 0.25:
        fleet.edit(name)
    elif kind < 0.40:
        side = rng.sample(fleet.names, rng.randint(1, len(fleet.names) - 1))
        fleet.split(side)
        shown = rng.choice(("both", "one", "other", "neither"))
        others = [n for n in fleet.names if n not in side]
        blind = {"both": [], "one": others, "other": side, "neither": fleet.names}
        fleet.no_table = set(blind[shown])
    elif kind < 0.48:
        fleet.cut_link(*rng.sample(fleet.names, 2))
    elif kind < 0.56:
        fleet.loss = rng.choice((0.0, 0.3, 0.6))
    elif kind < 0.62:
        fleet.table_down = not fleet.table_down
    elif kind < 0.72:
        fleet.pause(name)
    elif kind < 0.82:
        fleet.wake(name)
    elif kind < 0.90:
        fleet.restart(name)
    else:
        fleet.heal()


class MembershipMachine(RuleBasedStateMachine):
    """Hypothesis chooses the faults; the oracle is the accepted number in the table."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(5, random.Random(7))
        self.fleet.advance(24)

    nodes = st.sampled_from([f"n{i}" for i in range(5)])
    sides = st.sets(nodes, min_size=1, max_size=4)

    @rule(name=nodes)
    def edit(self, name):
        """Commit an edit."""
        self.fleet.edit(name)

    @rule(side=sides, blind=st.sets(nodes))
    def split(self, side, blind):
        """Cut one side off, and some daemons off the table."""
        self.fleet.split(sorted(side))
        self.fleet.no_table = set(blind)

    @rule(a=nodes, b=nodes)
    def cut(self, a, b):
        """Cut one link."""
        if a != b:
            self.fleet.cut_link(a, b)

    @rule(name=nodes)
    def pause(self, name):
        """Pause a process."""
        self.fleet.pause(name)

    @rule(name=nodes)
    def wake(self, name):
        """Wake a process."""
        self.fleet.wake(name)

    @rule(name=nodes)
    def restart(self, name):
        """Restart a process."""
        self.fleet.restart(name)

    @rule(down=st.booleans())
    def table(self, down):
        """Take the table down or up."""
        self.fleet.table_down = down

    @rule()
    def heal(self):
        """Mend everything."""
        self.fleet.heal()

    @rule(steps=st.sampled_from((1, 4, 12, 30)))
    def advance(self, steps):
        """Let time pass."""
        self.fleet.advance(steps)

    @invariant()
    def nobody_serves_an_older_revision_than_the_accepted_one(self):
        """The promise."""
        assert not self.fleet.violations, self.fleet.violations[:3]


def settle(fleet):
    """Mend everything, let time pass, and return the fleet."""
    fleet.heal()
    fleet.advance(SETTLE_STEPS)
    return fleet
