"""Log lines on what is known of suspected parts of prompts."""

from cowslipcourse.adapters.log import get_logger

__all__ = ["WeightLog"]

MAX_LOGGED_WEIGHTS = 5
"""Parts of a service that are logged at a weighing, the most suspect ones."""
MAX_LOGGED_RIVALS = 3

log = get_logger(__name__)


class WeightLog:
    """Logs the weights of suspected parts whenever they change."""

    def __init__(self):
        self._last_logged = {}

    def clear(self):
        """Forget what was logged, after the last weighing of a series of exits."""
        self._last_logged.clear()

    def log(self, weights):
        """Log what has changed of the most suspect parts.

        :param weights: :class:`~cowslipcourse.quarantine.part_evidence.PartWeight` of
            the suspected parts of a service, the worst first.
        """
        for weight in weights[:MAX_LOGGED_WEIGHTS]:
            shown = len(weight.exits), round(weight.probability, 2), weight.obstacle
            if self._last_logged.get(weight.part) != shown:
                self._last_logged[weight.part] = shown
                _log_weight(weight, weights)


def _log_weight(weight, weights):
    """Log what is known of a part."""
    log.info(
        "part-weighed",
        part=weight.part.hex(),
        probability=round(weight.probability, 4),
        prior=round(weight.prior, 4),
        ratios=",".join(
            f"{target}:{ratio:.2f}" for (target, _), ratio in weight.ratios.items()
        ),
        other_exits=weight.other_exit_count,
        requests=weight.request_count,
        share=round(weight.share, 4),
        answered_before=weight.was_answered,
        obstacle=weight.obstacle,
        rivals=",".join(
            f"{other.part.hex()}:{other.probability:.2f}"
            for other in weights[:MAX_LOGGED_RIVALS]
            if other.part != weight.part
        ),
    )
