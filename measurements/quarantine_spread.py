"""How long it takes until all daemons refuse a request, and what it costs them.

Prints a line for each size: python -m measurements.quarantine_spread
"""

import time

from features.support.daemon_network import Shape
from features.support.spread_runs import KNOWN_WITHIN_S, SpreadStory, play_spread

SHAPES = (
    Shape(1, 8, lost=0.02),
    Shape(3, 20, lost=0.02),
    Shape(3, 20, lost=0.1),
    Shape(5, 39, lost=0.1),
    Shape(15, 27, lost=0.02),
)


def main():
    """Play each size once."""
    for shape in SHAPES:
        began_at = time.monotonic()
        spread = play_spread(SpreadStory(shape))
        number = len(spread.refusing)
        print(
            f"{number} daemons in {shape.data_centres} data centres,"
            f" {shape.lost:.0%} lost:"
            f" {sum(spread.refusing)} refuse it within {KNOWN_WITHIN_S} s;"
            f" told in {sum(spread.told_bytes) / number:.0f} bytes a daemon"
            f" (most {max(spread.told_bytes)}),"
            f" repeated with {sum(spread.repeated_bytes) / number:.0f} bytes a second"
            f" (most {max(spread.repeated_bytes):.0f});"
            f" played in {time.monotonic() - began_at:.0f} s",
            flush=True,
        )


if __name__ == "__main__":
    main()
