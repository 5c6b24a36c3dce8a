"""Tracks the era that the platform's store states in each response."""

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import MalformedResponse

__all__ = ["ERA_HEADER", "EraTracker"]

ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 6
"""Digits of an era; keeps packed versions below 2**60."""

log = get_logger(__name__)


class EraTracker:
    """Keeps the newest known era of the store.

    :ivar newest: number of the era; 0 as long as the store has stated none.
    """

    def __init__(self):
        self.newest = 0

    def observe(self, head):
        """Record the era of a response and return it.

        :param head: :class:`~cowslipcourse.http_client.ResponseHead`
        :raises MalformedResponse: the era is missing although earlier responses stated
            one, is not a number, or is older than the newest, so that the response
            describes a state that was rolled back.
        """
        text = head.get(ERA_HEADER)
        if text is None and not self.newest:
            return 0
        if text is None or not _is_number(text):
            raise MalformedResponse(f"store response with invalid era {text!r}")
        era = int(text)
        if era < self.newest:
            raise MalformedResponse(
                f"store response of era {era}, older than era {self.newest}"
            )
        if era > self.newest:
            log.warning("store-era", known=self.newest, era=era)
            self.newest = era
        return era


def _is_number(text):
    return text.isdigit() and len(text) <= MAX_ERA_DIGITS
