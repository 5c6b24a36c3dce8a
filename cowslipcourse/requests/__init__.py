"""The life of one request: keys, outcomes and whole answers."""

from cowslipcourse.requests.keys import MintedKey, parse_minted_key
from cowslipcourse.requests.outcomes import Completed, Ended, OutcomeStore
from cowslipcourse.requests.relay import StreamRelay

__all__ = [
    "Completed",
    "Ended",
    "MintedKey",
    "OutcomeStore",
    "StreamRelay",
    "parse_minted_key",
]
