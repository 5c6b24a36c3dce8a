"""Calls of plain services; those that may not be repeated run at most once."""

import hashlib
import secrets
from typing import NamedTuple

from starlette.responses import Response

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.daemon import now
from cowslipcourse.exceptions import (
    KeyHomeStopped,
    OutcomeUnknown,
    PeerUnreachable,
    RequestError,
    UnknownService,
)
from cowslipcourse.gateway.callers import read_body
from cowslipcourse.gateway.claims import Claim, claim_key
from cowslipcourse.gateway.outcome_persistence import read_stored_outcomes
from cowslipcourse.gateway.service_calls import ServiceCall
from cowslipcourse.ports.peers import ForwardedCall, ForwardResponse
from cowslipcourse.requests import Completed, parse_minted_key
from cowslipcourse.requests.outcomes import decode_outcome, error_from_code

__all__ = ["ServiceHandler"]

CLAIM_ID_BYTES = 9
FORWARD_TIMEOUT_S = 30.0

log = get_logger(__name__)


class _KeyedCall(NamedTuple):
    """A call with an idempotency key."""

    key: str
    workspace: str
    service: str
    operation: str
    body: bytes
    deadline: float | None

    @property
    def fingerprint(self):
        """Digest of the request; a key belongs to one request only."""
        digest = hashlib.sha256(f"{self.service}\n{self.operation}\n".encode())
        digest.update(self.body)
        return digest.hexdigest()

    @property
    def scoped_key(self):
        """The key, qualified with its workspace."""
        return f"{self.workspace}\n{self.key}"


class ServiceHandler:
    """Handles calls of plain services.

    :param context: :class:`~cowslipcourse.gateway.context.GatewayContext`
    :param claims: :class:`~cowslipcourse.gateway.claims.ClaimCommitter`
    """

    def __init__(self, context, claims):
        self._context = context
        self._claims = claims
        context.agent.on_forward(self.handle_forwarded)

    async def respond(self, request, call):
        """Return the response to a call.

        :param request: starlette request.
        :param call: :class:`~cowslipcourse.gateway.callers.Call`
        :raises RequestError: the call was not run, or may have run.
        """
        service = request.path_params["service"]
        operation = request.path_params["operation"]
        self._check_access(call, service)
        body = await read_body(request, self._context.settings.limits.body_bytes)
        completed, remembered = await self.run(call, service, operation, body)
        return _response(completed, call.request_id, remembered)

    def _check_access(self, call, service):
        allowed = self._context.fleet_view.resolved.service_access.get(
            call.workspace, ()
        )
        if service not in allowed:
            raise UnknownService(f"no service {service!r} for {call.workspace}")

    async def run(self, call, service, operation, body):
        """Run a call; at most once if it may not be repeated.

        :param call: :class:`~cowslipcourse.gateway.callers.Call`
        :param service: service name.
        :param operation: operation name.
        :param body: request body.
        :returns: ``(Completed, whether it had been run before)``
        :raises RequestError: the call was not run, or may have run.
        """
        repeatable = self._context.fleet_view.configuration.service[service].repeatable
        if call.repeatable is not None:
            repeatable = call.repeatable
        if repeatable or not call.idempotency_key:
            service_call = ServiceCall(
                service, operation, body, repeatable, call.deadline, self._context
            )
            return await service_call.run(), False
        keyed_call = _KeyedCall(
            call.idempotency_key,
            call.workspace,
            service,
            operation,
            body,
            call.deadline,
        )
        return await self._run_keyed(keyed_call)

    async def handle_forwarded(self, forwarded):
        """Run a call that another gateway forwarded to this one, the key's home.

        :param forwarded: :class:`~cowslipcourse.ports.peers.ForwardedCall`
        :returns: :class:`~cowslipcourse.ports.peers.ForwardResponse`
        """
        keyed_call = _KeyedCall(
            forwarded.key,
            forwarded.workspace,
            forwarded.service,
            forwarded.operation,
            forwarded.body,
            now() + forwarded.remaining_s if forwarded.remaining_s else None,
        )
        try:
            if forwarded.incarnation != self._context.agent.member.incarnation:
                raise OutcomeUnknown("the key's home gateway was restarted")
            completed, remembered = await self._run_locally(
                keyed_call, forwarded.window
            )
        except RequestError as error:
            return ForwardResponse(error.code, error.detail, error.retry_after_s or 0.0)
        return ForwardResponse(
            status=completed.status,
            content_type=completed.content_type,
            body=completed.body,
            remembered=remembered,
        )

    async def _run_keyed(self, keyed_call):
        minted_key = parse_minted_key(keyed_call.key)
        if minted_key is not None:
            return await self._run_at_home(keyed_call, minted_key)
        own_member = self._context.agent.member
        claim = Claim(
            own_member.name,
            own_member.incarnation,
            self._context.outcomes.window(now()),
            keyed_call.fingerprint,
            secrets.token_hex(CLAIM_ID_BYTES),
        )
        claim = await self._claims.claim(
            claim_key(keyed_call.workspace, keyed_call.key), claim
        )
        return await self._run_at_home(keyed_call, claim)

    async def _run_at_home(self, keyed_call, home):
        """Run a call if this is the key's home gateway, otherwise forward it.

        :param home: :class:`~cowslipcourse.requests.MintedKey` or
            :class:`~cowslipcourse.gateway.claims.Claim`
        """
        own_member = self._context.agent.member
        if (home.gateway, home.incarnation) == (
            own_member.name,
            own_member.incarnation,
        ):
            return await self._run_locally(keyed_call, home.window)
        member = self._context.agent.revision.members.get(home.gateway)
        if member is None or member.incarnation != home.incarnation:
            return await self._load_stored_outcome(keyed_call, home)
        return await self._forward_to_home(keyed_call, home, member)

    async def _run_locally(self, keyed_call, window):
        async def execute():
            service_call = ServiceCall(
                keyed_call.service,
                keyed_call.operation,
                keyed_call.body,
                False,
                keyed_call.deadline,
                self._context,
            )
            return await service_call.run()

        return await self._context.outcomes.run_once(
            keyed_call.scoped_key, window, keyed_call.fingerprint, execute, now()
        )

    async def _forward_to_home(self, keyed_call, home, member):
        remaining_s = _remaining_s(keyed_call)
        call = ForwardedCall(
            key=keyed_call.key,
            workspace=keyed_call.workspace,
            service=keyed_call.service,
            operation=keyed_call.operation,
            body=keyed_call.body,
            remaining_s=remaining_s or 0.0,
            window=home.window,
            incarnation=home.incarnation,
        )
        timeout_s = FORWARD_TIMEOUT_S if remaining_s is None else remaining_s
        try:
            reply = await self._context.agent.peers.forward(
                member.peer_address, call, timeout_s
            )
        except PeerUnreachable as error:
            detail = f"the key's home gateway does not respond: {error.detail}"
            raise OutcomeUnknown(detail, 2.0) from error
        if reply.error_code:
            raise error_from_code(
                reply.error_code, reply.detail, reply.retry_after_s or None
            )
        completed = Completed(reply.status, reply.content_type, reply.body)
        return completed, reply.remembered

    async def _load_stored_outcome(self, keyed_call, home):
        """Return the outcome that the key's stopped home gateway stored."""
        content = await read_stored_outcomes(self._context, home)
        completed = decode_outcome(
            content, keyed_call.scoped_key, keyed_call.fingerprint
        )
        if completed is None:
            raise KeyHomeStopped("the key's home gateway has stopped; use a new key")
        return completed, True


def _remaining_s(keyed_call):
    """Return the seconds left to the deadline of a keyed call, or ``None``.

    :raises OutcomeUnknown: the deadline has passed. Only the key's home gateway knows
        whether an earlier call with the key has run.
    """
    if keyed_call.deadline is None:
        return None
    remaining_s = keyed_call.deadline - now()
    if remaining_s <= 0:
        raise OutcomeUnknown("the deadline passed before the key's home was asked")
    return remaining_s


def _response(completed, request_id, remembered):
    headers = {"x-request-id": request_id}
    if remembered:
        headers["cowslip-remembered"] = "yes"
    if completed.truncated:
        headers["cowslip-truncated"] = "yes"
    return Response(
        completed.body, completed.status, headers, completed.content_type or None
    )
