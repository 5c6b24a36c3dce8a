"""Whether this daemon reaches targets, and who relays for it. Pure decisions."""

from cowslipcourse.reachability.probes import choose_probed, reaches_targets
from cowslipcourse.reachability.relay_choice import RelayChoice

__all__ = ["RelayChoice", "choose_probed", "reaches_targets"]
