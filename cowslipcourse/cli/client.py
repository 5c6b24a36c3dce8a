"""Calls of the operators' API, at whichever controller answers."""

import asyncio
import os
import random
from pathlib import Path
from typing import NamedTuple

import aiohttp
import msgspec

from cowslipcourse.exceptions import CowslipError

__all__ = [
    "ApiError",
    "ControllersUnreachable",
    "OperatorClient",
    "client_from_options",
]

CONTROLLERS_VARIABLE = "COWSLIP_CONTROLLERS"
TOKEN_VARIABLE = "COWSLIP_TOKEN_FILE"
TIMEOUT_S = 90.0


class ControllersUnreachable(CowslipError):
    """No controller answered."""

    code = "controllers-unreachable"


class MissingOption(CowslipError):
    """The command line lacks something that it cannot do without."""

    code = "missing-option"


class ApiError(CowslipError):
    """The controller refused.

    :param status: HTTP status.
    :param content: decoded answer.
    """

    code = "refused"

    def __init__(self, status, content):
        super().__init__(content.get("detail", "refused"))
        self.status = status
        self.content = content


class OperatorClient(NamedTuple):
    """Where controllers are and who asks.

    :param controllers: base URLs.
    :param token: operator's token.
    """

    controllers: tuple[str, ...]
    token: str

    def get(self, path, **parameters):
        """Return the decoded answer to a GET."""
        wanted = {k: str(v) for k, v in parameters.items() if v is not None}
        return asyncio.run(self._call("GET", path, wanted, None))

    def post(self, path, content):
        """Return the decoded answer to a POST.

        It goes to one controller after another: edits carry an id, so that one which
        was made is not made again.
        """
        return asyncio.run(self._call("POST", path, {}, content))

    async def _call(self, method, path, parameters, content):
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S, sock_connect=2.0)
        headers = {"authorization": f"Bearer {self.token}"}
        last = None
        async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
            for controller in random.sample(self.controllers, len(self.controllers)):
                try:
                    async with session.request(
                        method,
                        f"{controller}{path}",
                        params=parameters,
                        data=None if content is None else msgspec.json.encode(content),
                    ) as response:
                        answer = msgspec.json.decode(await response.read())
                        status = response.status
                except (aiohttp.ClientError, TimeoutError, OSError) as error:
                    last = ControllersUnreachable(f"{controller}: {error!r}")
                    continue
                if status < 400:
                    return answer
                last = ApiError(status, answer)
                if status != 503:
                    break
        raise last


def client_from_options(controllers, token_file):
    """Return an :class:`OperatorClient`.

    :param controllers: comma-separated base URLs, or ``None`` for the environment.
    :param token_file: path, or ``None`` for the environment.
    :raises MissingOption: neither option nor environment says.
    """
    controllers = controllers or os.environ.get(CONTROLLERS_VARIABLE, "")
    token_file = token_file or os.environ.get(TOKEN_VARIABLE, "")
    if not controllers:
        raise MissingOption(f"give --controllers or set {CONTROLLERS_VARIABLE}")
    if not token_file:
        raise MissingOption(f"give --token-file or set {TOKEN_VARIABLE}")
    try:
        token = Path(token_file).read_text().strip()
    except OSError as error:
        raise MissingOption(f"{token_file}: {error.strerror}") from error
    urls = tuple(url.strip().rstrip("/") for url in controllers.split(","))
    return OperatorClient(urls, token)
