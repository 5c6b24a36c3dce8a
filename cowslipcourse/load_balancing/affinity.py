"""Prefix-cache affinity: which targets probably have a prompt's prefix cached.

Cache events arrive late or not at all, so entries are hints: they expire, and an
engine's answer corrects them.
"""

from collections import OrderedDict

import xxhash

__all__ = ["BLOCK_BYTES", "PrefixMap", "prefix_hashes"]

BLOCK_BYTES = 256
"""Bytes of prompt that one hash covers, about 64 tokens."""

MAX_BLOCKS = 32
TOKENS_PER_BLOCK = 64


def prefix_hashes(prompt):
    """Return a hash for each growing prefix of a prompt.

    :param prompt: prompt bytes.
    :returns: list of hashes, shortest prefix first, in whole blocks.
    """
    digest = xxhash.xxh3_64()
    hashes = []
    blocks = min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)
    for index in range(blocks):
        digest.update(prompt[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES])
        hashes.append(digest.hexdigest())
    return hashes


class PrefixMap:
    """Maps prefixes to the targets that probably have them cached.

    :param capacity: most prefixes kept; the least recently used are evicted first.
    :param hint_ttl_s: seconds after which a hint expires.
    """

    def __init__(self, capacity=20_000, hint_ttl_s=300.0):
        self._capacity = capacity
        self._hint_ttl_s = hint_ttl_s
        self._targets_by_prefix = OrderedDict()

    def __len__(self):
        return len(self._targets_by_prefix)

    def add(self, target, hashes, now):
        """Record that a target has cached the prefixes.

        :param target: group id.
        :param hashes: iterable of prefix hashes.
        :param now: loop time.
        """
        for digest in hashes:
            targets = self._targets_by_prefix.setdefault(digest, {})
            targets[target] = now
            self._targets_by_prefix.move_to_end(digest)
        while len(self._targets_by_prefix) > self._capacity:
            self._targets_by_prefix.popitem(last=False)

    def remove(self, target, digest):
        """Record that a target does not have a prefix cached."""
        self._targets_by_prefix.get(digest, {}).pop(target, None)

    def remove_target(self, target):
        """Drop every hint for a target whose cache is empty after a start."""
        for targets in self._targets_by_prefix.values():
            targets.pop(target, None)

    def cached_tokens(self, hashes, now):
        """Return the longest cached prefix in tokens by target.

        :param hashes: hashes of the prompt, shortest prefix first.
        :param now: loop time.
        """
        cached = {}
        for index, digest in enumerate(hashes, start=1):
            for target, at in self._targets_by_prefix.get(digest, {}).items():
                if now - at <= self._hint_ttl_s:
                    cached[target] = index * TOKENS_PER_BLOCK
        return cached
