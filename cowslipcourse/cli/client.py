"""Client of the operator API, served by any controller."""

import asyncio
import os
import random
from pathlib import Path
from typing import NamedTuple

import aiohttp
import msgspec

from cowslipcourse.adapters.bounded_reads import read_body
from cowslipcourse.exceptions import CowslipError, ResponseTooLarge

__all__ = [
    "ApiError",
    "ControllersUnreachable",
    "OperatorClient",
    "client_from_options",
]

CONTROLLERS_VARIABLE = "COWSLIP_CONTROLLERS"
TOKEN_FILE_VARIABLE = "COWSLIP_TOKEN_FILE"
REQUEST_TIMEOUT_S = 90.0
MAX_BODY_BYTES = 16 * 1024 * 1024
"""Largest response: the status of 10,000 VMs has a fraction of it."""
_UNUSABLE_ANSWERS = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    ResponseTooLarge,
    msgspec.DecodeError,
)


class ControllersUnreachable(CowslipError):
    """No controller responded."""

    code = "controllers-unreachable"


class MissingOption(CowslipError):
    """A required option or environment variable is missing or invalid."""

    code = "missing-option"


class ApiError(CowslipError):
    """A controller responded with an error.

    :param status: HTTP status.
    :param content: decoded response body.
    """

    code = "refused"

    def __init__(self, status, content):
        super().__init__(content.get("detail", "refused"))
        self.status = status
        self.content = content


class OperatorClient(NamedTuple):
    """Client of the operator API.

    :param controllers: base URLs of controllers, tried in random order.
    :param token: token of the operator.
    """

    controllers: tuple[str, ...]
    token: str

    def get(self, path, **parameters):
        """Return the decoded response to a GET request."""
        query = {k: str(v) for k, v in parameters.items() if v is not None}
        return asyncio.run(self._send_request("GET", path, query, None))

    def post(self, path, content):
        """Return the decoded response to a POST request.

        The request is sent to one controller after another until one responds: edits
        have an id, so that a repeated edit is not applied twice.
        """
        return asyncio.run(self._send_request("POST", path, {}, content))

    async def _send_request(self, method, path, parameters, content):
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S, sock_connect=2.0)
        headers = {"authorization": f"Bearer {self.token}"}
        last_error = None
        async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
            for controller in random.sample(self.controllers, len(self.controllers)):
                try:
                    async with session.request(
                        method,
                        f"{controller}{path}",
                        params=parameters,
                        data=None if content is None else msgspec.json.encode(content),
                    ) as response:
                        body = await read_body(response, MAX_BODY_BYTES)
                        response_content = msgspec.json.decode(body)
                        status = response.status
                except _UNUSABLE_ANSWERS as error:
                    last_error = ControllersUnreachable(f"{controller}: {error!r}")
                    continue
                if status < 400:
                    return response_content
                last_error = ApiError(status, response_content)
                if status != 503:
                    break
        raise last_error


def client_from_options(controllers, token_file):
    """Return an :class:`OperatorClient`.

    :param controllers: comma-separated base URLs; ``None`` to use the environment.
    :param token_file: path of the token file; ``None`` to use the environment.
    :raises MissingOption: an option is given neither way, or the token file cannot be
        read.
    """
    controllers = controllers or os.environ.get(CONTROLLERS_VARIABLE, "")
    token_file = token_file or os.environ.get(TOKEN_FILE_VARIABLE, "")
    if not controllers:
        raise MissingOption(f"give --controllers or set {CONTROLLERS_VARIABLE}")
    if not token_file:
        raise MissingOption(f"give --token-file or set {TOKEN_FILE_VARIABLE}")
    try:
        token = Path(token_file).read_text().strip()
    except OSError as error:
        raise MissingOption(f"{token_file}: {error.strerror}") from error
    base_urls = tuple(url.strip().rstrip("/") for url in controllers.split(","))
    return OperatorClient(base_urls, token)
