"""Components of a daemon that its first requests do not need."""

from cowslipcourse.entry.coordinator import Coordinator
from cowslipcourse.entry.prometheus_metrics import EntryMetrics

__all__ = ["Coordinator", "EntryMetrics"]
