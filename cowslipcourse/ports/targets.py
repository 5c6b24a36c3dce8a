"""Interface of engines and plain services."""

from collections.abc import AsyncIterator, Callable
from enum import StrEnum
from typing import NamedTuple, Protocol

__all__ = [
    "EngineLoad",
    "EngineStatus",
    "GenerateRequest",
    "Order",
    "OrderKind",
    "ServiceResponse",
    "TargetClient",
]


class EngineLoad(NamedTuple):
    """An engine's report of its load, which lags behind.

    :param running: number of sequences in the batch.
    :param waiting: number of queued sequences.
    :param batch_limit: maximum number of sequences in the batch.
    :param token_s: recent seconds per token of one sequence.
    """

    running: int = 0
    waiting: int = 0
    batch_limit: int = 1
    token_s: float = 0.0


class EngineStatus(NamedTuple):
    """Status that a target reports.

    :param vm: VM name.
    :param incarnation: incarnation of the VM that it runs on.
    :param state: ``idle``, ``loading``, ``ready`` or ``leaving``.
    :param group: group it was loaded for, or empty.
    :param epoch: epoch of that group.
    :param model: loaded model, or empty.
    :param version: version of the model.
    :param fence: newest fencing token received, for targets that check it.
    :param load: load report.
    :param prefixes: hashes of recently cached prompt prefixes; may be incomplete.
    """

    vm: str
    incarnation: str
    state: str
    group: str = ""
    epoch: int = 0
    model: str = ""
    version: str = ""
    fence: int = 0
    load: EngineLoad = EngineLoad()
    prefixes: tuple[str, ...] = ()


class OrderKind(StrEnum):
    """Operation that an order requests."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(NamedTuple):
    """An order to an engine.

    :param kind: requested operation.
    :param fence: fencing token of the lease under which the order is sent.
    :param group: group that the engine is to serve.
    :param epoch: epoch of that group.
    :param model: model to load.
    :param version: version of the model.
    :param adapters: adapters to load beside the model.
    :param members: VM names of the group, the leader first.
    :param load_bytes: bytes of weights that this member loads.
    """

    kind: OrderKind
    fence: int
    group: str = ""
    epoch: int = 0
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    members: tuple[str, ...] = ()
    load_bytes: int = 0


class GenerateRequest(NamedTuple):
    """One attempt at a model request.

    :param request_id: id of the caller's request.
    :param attempt_id: id of this attempt, echoed with every event.
    :param group: group that is to serve it.
    :param epoch: epoch of that group.
    :param priority: larger is more urgent.
    :param resume_from: offset of the first requested token.
    :param body: caller's body, unchanged.
    """

    request_id: str
    attempt_id: str
    group: str
    epoch: int
    priority: int
    resume_from: int
    body: bytes


class ServiceResponse(NamedTuple):
    """A plain service's response.

    :param status: HTTP status.
    :param content_type: media type of the body.
    :param body: response body.
    """

    status: int
    content_type: str
    body: bytes


class TargetClient(Protocol):
    """Client of engines and plain services, addressed by base URL."""

    async def probe(self, address: str) -> EngineStatus:
        """Return the status that the target reports.

        :raises TargetUnreachable: no response in time.
        :raises MalformedResponse: the response cannot be decoded.
        """

    async def order(self, address: str, order: Order) -> None:
        """Send an order; it is accepted, not completed, when this returns.

        :raises TargetRefused: for example because of an old fencing token.
        :raises TargetUnreachable: the order may have arrived.
        :raises MalformedResponse: it may have arrived, the response is no answer.
        """

    def generate(
        self,
        address: str,
        request: GenerateRequest,
        may_abandon: Callable[[], bool],
    ) -> AsyncIterator[list[bytes]]:
        """Yield batches of raw events of the response, in order.

        The first batch is empty and marks the start of the response.

        :param may_abandon: returns whether a response on which nothing arrives is given
            up; it is called each time that the limit has passed.
        :raises TargetRefused: nothing was started.
        :raises TargetUnreachable: no more events will come.
        :raises MalformedResponse: an event belongs to another request.
        """

    async def cancel(self, address: str, attempt_id: str) -> None:
        """Ask the engine to stop an attempt; failures are ignored."""

    async def refuses_connections(self, address: str) -> bool:
        """Return whether the host responds but no process listens on the port."""

    async def call(
        self, address: str, operation: str, attempt_id: str, body: bytes
    ) -> ServiceResponse:
        """Run one operation of a plain service.

        :raises TargetRefused: nothing was started.
        :raises TargetUnreachable: ``sent`` says whether it may have run.
        :raises MalformedResponse: the response belongs to another call.
        """
