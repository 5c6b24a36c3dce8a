"""The life of one request: keys, outcomes and whole answers."""

from cowslipcourse.requests.keys import MintedKey, parse_minted_key
from cowslipcourse.requests.outcomes import Completed, Ended, Outcomes
from cowslipcourse.requests.relay import AnswerRelay

__all__ = [
    "AnswerRelay",
    "Completed",
    "Ended",
    "MintedKey",
    "Outcomes",
    "parse_minted_key",
]
