"""Fingerprints of requests and of the parts of their prompts.

Those of requests are equal for repeats of a request, those of parts for all requests to
a service that share the part.
"""

import functools
import hashlib

__all__ = ["FINGERPRINT_BYTES", "fingerprint", "part_fingerprints"]

FINGERPRINT_BYTES = 16
"""Long enough that collisions neither happen by chance nor can be constructed."""
LENGTH_BYTES = 8
SERVICE_BYTES = 4
"""First bytes of the fingerprint of a part, which identify its service."""
MAX_CACHED_PARTS = 4_096


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


def part_fingerprints(service, part_ids):
    """Return the fingerprints of parts of a prompt, as a tuple of bytes.

    The service is part of them: targets of other services run other software, and may
    answer what crashes those of this one.

    :param service: name of the service that the request is sent to.
    :param part_ids: ids of the parts.
    """
    return tuple(_part_fingerprint(service, part_id) for part_id in part_ids)


@functools.lru_cache(MAX_CACHED_PARTS)
def _part_fingerprint(service, part_id):
    part_bytes = FINGERPRINT_BYTES - SERVICE_BYTES
    service_digest = hashlib.blake2b(service.encode(), digest_size=SERVICE_BYTES)
    part_digest = hashlib.blake2b(part_id.encode(), digest_size=part_bytes)
    return service_digest.digest() + part_digest.digest()
