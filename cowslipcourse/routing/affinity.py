"""Where a prompt's beginning is probably cached.

Cache events come late and some never come, so entries are hints: they age out,
and an engine's answer corrects them.
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
    """Remembers which targets have seen which prefixes.

    :param capacity: most prefixes remembered; the least recently used go first.
    :param hint_ttl_s: seconds after which a hint is no longer believed.
    """

    def __init__(self, capacity=20_000, hint_ttl_s=300.0):
        self._capacity = capacity
        self._hint_ttl_s = hint_ttl_s
        self._targets_by_prefix = OrderedDict()

    def __len__(self):
        return len(self._targets_by_prefix)

    def add(self, target, hashes, now):
        """Note that a target has the prefixes.

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
        """Note that a target does not have a prefix after all."""
        self._targets_by_prefix.get(digest, {}).pop(target, None)

    def remove_target(self, target):
        """Drop every hint about a target that starts with an empty cache."""
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
