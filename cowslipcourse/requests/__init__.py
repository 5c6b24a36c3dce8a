"""Idempotency keys, remembered outcomes and the relay of streamed responses."""

from cowslipcourse.requests.keys import MintedKey, parse_minted_key
from cowslipcourse.requests.outcomes import Completed, Failed, OutcomeStore
from cowslipcourse.requests.relay import StreamRelay

__all__ = [
    "Completed",
    "Failed",
    "MintedKey",
    "OutcomeStore",
    "StreamRelay",
    "parse_minted_key",
]
