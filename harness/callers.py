"""Callers as the demo, the tests and measurements need them."""

import json
import time
from itertools import pairwise
from typing import NamedTuple

import aiohttp

__all__ = ["Answer", "Caller", "chat_body"]


class Answer(NamedTuple):
    """What a caller got.

    :param status: HTTP status; 0 if the connection broke before one.
    :param text: text of the answer, as far as it came.
    :param complete: whether the end marker came.
    :param problem: decoded problem or error event, or ``None``.
    :param first_token_s: seconds to the first token.
    :param gaps_s: seconds between tokens.
    :param took_s: seconds in all.
    :param headers: headers of the answer.
    """

    status: int
    text: str
    complete: bool
    problem: dict | None
    first_token_s: float
    gaps_s: list
    took_s: float
    headers: dict

    @property
    def outcome(self):
        """``completed``, or the outcome that the caller was told."""
        if self.complete:
            return "completed"
        return (self.problem or {}).get("outcome", "broken")


def chat_body(text, model="draft-large", max_tokens=24, stream=True):
    """Return the body of a model request."""
    messages = [{"role": "user", "content": text}]
    body = {"model": model, "messages": messages, "stream": stream}
    return json.dumps({**body, "max_tokens": max_tokens}).encode()


class Caller:
    """One caller with a workspace key.

    :param key: API key.
    """

    def __init__(self, key):
        self._key = key
        self._session = None

    async def __aenter__(self):
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=120)
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        return self

    async def __aexit__(self, *failure):
        await self._session.close()

    async def addresses(self, url):
        """Ask which addresses to use."""
        async with self._session.get(f"{url}/v1/addresses") as response:
            return await response.json()

    async def chat(self, url, body, headers=None):
        """Send a model request and return its :class:`Answer`."""
        headers = {"authorization": f"Bearer {self._key}", **(headers or {})}
        started = time.perf_counter()
        texts, times, complete, problem = [], [], False, None
        status, found = 0, {}
        try:
            async with self._session.post(
                f"{url}/v1/chat/completions", data=body, headers=headers
            ) as response:
                status, found = response.status, dict(response.headers)
                if "event-stream" not in response.headers.get("content-type", ""):
                    content = json.loads(await response.read())
                    return _plain(status, content, found, started)
                rest, failed = b"", False
                async for piece in response.content.iter_any():
                    at = time.perf_counter()
                    *events, rest = (rest + piece).split(b"\n\n")
                    for event in events:
                        if event.startswith(b"event: error"):
                            failed = True
                            data = event.partition(b"data: ")[2]
                            problem = json.loads(data)["error"]
                        elif event == b"data: [DONE]":
                            complete = not failed
                        else:
                            chunk = json.loads(event.removeprefix(b"data: "))
                            texts.append(chunk["choices"][0]["delta"]["content"])
                            times.append(at)
        except (TimeoutError, aiohttp.ClientError, OSError):
            complete = False
        gaps = [later - earlier for earlier, later in pairwise(times)]
        return Answer(
            status,
            "".join(texts),
            complete,
            problem,
            times[0] - started if times else 0.0,
            gaps,
            time.perf_counter() - started,
            found,
        )

    async def call(self, url, service, operation, content, headers=None):
        """Call a plain service and return its :class:`Answer`."""
        headers = {"authorization": f"Bearer {self._key}", **(headers or {})}
        started = time.perf_counter()
        try:
            async with self._session.post(
                f"{url}/v1/services/{service}/{operation}",
                data=json.dumps(content).encode(),
                headers=headers,
            ) as response:
                answer = json.loads(await response.read() or b"{}")
                return _plain(response.status, answer, dict(response.headers), started)
        except (TimeoutError, aiohttp.ClientError, OSError):
            took_s = time.perf_counter() - started
            return Answer(0, "", False, None, 0.0, [], took_s, {})


def _plain(status, content, headers, started):
    took_s = time.perf_counter() - started
    complete = status == 200
    if complete and "choices" in content:
        text = content["choices"][0]["message"]["content"]
    else:
        text = json.dumps(content) if complete else ""
    problem = None if complete else content
    return Answer(status, text, complete, problem, took_s, [], took_s, headers)
