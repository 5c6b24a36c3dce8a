"""The era that each answer of the platform's store tells."""

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import MalformedAnswer

__all__ = ["ERA_HEADER", "Eras"]

ERA_HEADER = "Store-Era"
MOST_DIGITS = 6
"""Of an era: points stay below 2**60."""

log = get_logger(__name__)


class Eras:
    """The newest era of the store that is known.

    :ivar newest: number of the era; 0 as long as the store tells none.
    """

    def __init__(self):
        self.newest = 0

    def see(self, headers):
        """Take in the era of an answer and return it.

        :param headers: mapping of the answer's headers.
        :raises MalformedAnswer: it tells none, though others did; it is no number; or
            it is of an earlier era, so that it tells of what is gone.
        """
        text = headers.get(ERA_HEADER)
        if text is None and not self.newest:
            return 0
        if text is None or not _is_number(text):
            raise MalformedAnswer(f"an answer of the store in era {text!r}")
        era = int(text)
        if era < self.newest:
            raise MalformedAnswer(f"an answer of era {era} after era {self.newest}")
        if era > self.newest:
            log.warning("store-era", known=self.newest, era=era)
            self.newest = era
        return era


def _is_number(text):
    return text.isascii() and text.isdigit() and len(text) <= MOST_DIGITS
