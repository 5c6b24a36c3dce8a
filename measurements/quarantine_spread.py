"""How long it takes until all daemons refuse a request, and what it costs them.

Prints a line for each size: python -m measurements.quarantine_spread
"""

import time

from features.support.daemon_network import NetworkShape
from features.support.spread_runs import SPREAD_LIMIT_S, SpreadScenario, simulate_spread

SHAPES = (
    NetworkShape(1, 8, loss_rate=0.02),
    NetworkShape(3, 20, loss_rate=0.02),
    NetworkShape(3, 20, loss_rate=0.1),
    NetworkShape(5, 39, loss_rate=0.1),
    NetworkShape(15, 27, loss_rate=0.02),
)


def main():
    """Play each size once."""
    for shape in SHAPES:
        began_at = time.monotonic()
        spread = simulate_spread(SpreadScenario(shape))
        number = len(spread.refusing)
        print(
            f"{number} daemons in {shape.data_centres} data centres,"
            f" {shape.loss_rate:.0%} lost:"
            f" {sum(spread.refusing)} refuse it within {SPREAD_LIMIT_S} s;"
            f" told in {sum(spread.spread_bytes) / number:.0f} bytes a daemon"
            f" (most {max(spread.spread_bytes)}),"
            f" repeated with {sum(spread.repeat_bytes_per_s) / number:.0f}"
            f" bytes a second"
            f" (most {max(spread.repeat_bytes_per_s):.0f});"
            f" played in {time.monotonic() - began_at:.0f} s",
            flush=True,
        )


if __name__ == "__main__":
    main()
