"""Spread of quarantine verdicts: daemons reached within the limit, and bytes sent.

Prints a line for each size of network.

Run: ``.venv/bin/python -m measurements.quarantine_spread``
"""

import itertools
import time

from features.support.daemon_network import NetworkShape
from features.support.spread_runs import SPREAD_LIMIT_S, SpreadScenario, simulate_spread

NETWORK_SHAPES = (
    NetworkShape(1, 8, loss_rate=0.02),
    NetworkShape(3, 20, loss_rate=0.02),
    NetworkShape(3, 20, loss_rate=0.1),
    NetworkShape(5, 39, loss_rate=0.1),
    NetworkShape(15, 27, loss_rate=0.02),
)
REQUEST_EXITS = 3
PART_EXITS = 4


def main():
    """Simulate each network once."""
    for shape, is_part in itertools.product(NETWORK_SHAPES, (False, True)):
        started_at = time.monotonic()
        exits = PART_EXITS if is_part else REQUEST_EXITS
        result = simulate_spread(SpreadScenario(shape, exits, is_part))
        daemon_count = len(result.refusing)
        print(
            f"{daemon_count} daemons in {shape.data_centres} data centres,"
            f" {shape.loss_rate:.0%} of datagrams lost:"
            f" {sum(result.refusing)} refuse the {'part' if is_part else 'request'}"
            f" within {SPREAD_LIMIT_S} s, {sum(result.refusing_sound)} a sound one;"
            f" {sum(result.spread_bytes) / daemon_count:.0f} bytes sent per daemon"
            f" to spread the verdict"
            f" (max {max(result.spread_bytes)}),"
            f" then {sum(result.repeat_bytes_per_s) / daemon_count:.0f}"
            f" bytes/s per daemon to repeat it"
            f" (max {max(result.repeat_bytes_per_s):.0f});"
            f" simulated in {time.monotonic() - started_at:.0f} s",
            flush=True,
        )


if __name__ == "__main__":
    main()
