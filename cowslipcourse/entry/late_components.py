"""Components of a daemon that its first requests do not need."""

from cowslipcourse.entry.coordinator import Coordinator
from cowslipcourse.entry.group_counts import GroupCountMonitor
from cowslipcourse.entry.prometheus_metrics import EntryMetrics
from cowslipcourse.entry.reachability_monitor import ReachabilityMonitor
from cowslipcourse.entry.relaying import Relays
from cowslipcourse.entry.speed_exchange import SpeedExchange
from cowslipcourse.quarantine_runtime.part_evaluation import PartEvaluation

__all__ = [
    "Coordinator",
    "EntryMetrics",
    "GroupCountMonitor",
    "PartEvaluation",
    "ReachabilityMonitor",
    "Relays",
    "SpeedExchange",
]
