"""Whether this daemon reaches targets. Pure decisions."""

from cowslipcourse.reachability.probes import choose_probed, reaches_targets

__all__ = ["choose_probed", "reaches_targets"]
