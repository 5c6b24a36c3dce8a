"""Reading of response bodies up to a bound."""

from cowslipcourse.exceptions import ResponseTooLarge
from cowslipcourse.http_framing import MAX_BODY_BYTES

__all__ = ["read_body"]


async def read_body(response, max_bytes=MAX_BODY_BYTES):
    """Return the body of a response.

    :param response: :class:`aiohttp.ClientResponse`
    :param max_bytes: its largest size.
    :raises ResponseTooLarge: it is larger; the connection is closed.
    :raises aiohttp.ClientError: it is not complete.
    """
    chunks, received_bytes = [], 0
    async for chunk in response.content.iter_any():
        received_bytes += len(chunk)
        if received_bytes > max_bytes:
            response.close()
            raise ResponseTooLarge(f"no answer: a body of over {max_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)
