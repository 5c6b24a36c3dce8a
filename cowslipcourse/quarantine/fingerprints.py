"""Fingerprints of requests, which are equal for repeats of a request."""

import hashlib

__all__ = ["FINGERPRINT_BYTES", "fingerprint"]

FINGERPRINT_BYTES = 16
"""Long enough that collisions neither happen by chance nor can be constructed."""
LENGTH_BYTES = 8


def fingerprint(workspace, path, body):
    """Return the fingerprint of a request, as bytes.

    The caller's workspace is part of it, so that no workspace can cause requests of
    another one to be refused.

    :param workspace: name of the caller's workspace, or ``None``.
    :param path: path and query as sent, as bytes.
    :param body: whole body, as bytes.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in ((workspace or "").encode(), path, body):
        # Lengths keep the parts apart: "a" and "bc" are not "ab" and "c".
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()
