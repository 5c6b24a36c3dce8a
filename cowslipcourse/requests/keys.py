"""Idempotency keys.

A key made from a prefix that a gateway gave out names its home: the run of the
gateway which alone may run the request, and the time window in which that run
remembers it::

    cw1.<gateway>.<incarnation>.<window>.<caller's own part>
"""

from typing import NamedTuple

from cowslipcourse.exceptions import BadRequest

__all__ = ["MAX_KEY_CHARS", "MintedKey", "check_key", "key_prefix", "parse_minted_key"]

SCHEME = "cw1"
MAX_KEY_CHARS = 200


class MintedKey(NamedTuple):
    """A key with a home.

    :param gateway: name of the home gateway.
    :param incarnation: run of the home gateway.
    :param window: time window of that run.
    :param nonce: the caller's own part.
    """

    gateway: str
    incarnation: str
    window: int
    nonce: str


def key_prefix(gateway, incarnation, window):
    """Return the prefix to which callers append their own part."""
    return f"{SCHEME}.{gateway}.{incarnation}.{window}."


def check_key(key):
    """Raise unless a key may be used.

    :raises BadRequest: too long, or with characters that do not belong in a header.
    """
    if (
        not key
        or len(key) > MAX_KEY_CHARS
        or not key.isascii()
        or not key.isprintable()
    ):
        raise BadRequest(
            f"an idempotency key has 1 to {MAX_KEY_CHARS} ASCII characters"
        )


def parse_minted_key(key):
    """Return the :class:`MintedKey`, or ``None`` for a caller's own key.

    :raises BadRequest: it has our scheme but cannot be read.
    """
    scheme, _, rest = key.partition(".")
    if scheme != SCHEME:
        return None
    parts = rest.split(".", 3)
    if len(parts) != 4 or not all(parts) or not parts[2].isdecimal():
        raise BadRequest("the key has our scheme but not our form")
    return MintedKey(parts[0], parts[1], int(parts[2]), parts[3])
