"""Exceptions of the project.

Errors that are reported to callers derive from :class:`RequestError` and define the
HTTP status and the outcome of the problem response.
"""

from typing import ClassVar, NamedTuple

__all__ = [
    "AddressTaken",
    "AdmissionError",
    "BadRequest",
    "BodyTooLarge",
    "CallerDisconnected",
    "ConditionFailed",
    "ConfigurationError",
    "ConfirmationRequired",
    "CowslipError",
    "DaemonStopped",
    "DeadlinePassed",
    "DeadlineWhileRunning",
    "EditConflict",
    "EditError",
    "GatewayDraining",
    "HeadTooLarge",
    "HistoryDropped",
    "IncompleteResponse",
    "KeyExpired",
    "KeyHomeStopped",
    "KeyReused",
    "LeaseLost",
    "MalformedBody",
    "MalformedHeader",
    "MalformedResponse",
    "NoConfiguration",
    "NoTargetAvailable",
    "NotAuthorised",
    "NotRelayed",
    "OutcomeUnknown",
    "PeerUnreachable",
    "Problem",
    "ReplyLost",
    "RequestError",
    "RequestFailed",
    "RequestHeld",
    "RequestQuarantined",
    "ResponseTooLarge",
    "SelectorError",
    "SettingsError",
    "StoreError",
    "StoreUnavailable",
    "TargetError",
    "TargetFailed",
    "TargetRefused",
    "TargetSilent",
    "TargetUnreachable",
    "TargetWithheld",
    "UnknownModel",
    "UnknownObject",
    "UnknownRoute",
    "UnknownService",
    "WorkspaceOverShare",
]


class Problem(NamedTuple):
    """One problem found in an operator's file.

    :param where: file, line and key of the problem, as far as they are known.
    :param message: what is wrong and what was expected.
    """

    where: str
    message: str

    def __str__(self):
        return f"{self.where}: {self.message}"


class CowslipError(Exception):
    """Base class of all exceptions of the project.

    :param detail: human-readable description; the code by default.
    :cvar code: identifier of the error, used in responses, logs and metrics.
    """

    code: ClassVar[str] = "error"

    def __init__(self, detail=""):
        super().__init__(detail or self.code)
        self.detail = detail or self.code


class AddressTaken(CowslipError):
    """A server cannot listen on its address.

    :param address: ``ip:port``
    :param reason: error message of the operating system.
    """

    code = "address-taken"

    def __init__(self, address, reason):
        super().__init__(f"cannot listen on {address}: {reason}")
        self.address = address


class SelectorError(CowslipError):
    """A selector cannot be parsed, or it selects everything."""

    code = "bad-selector"


class _MultipleProblemsError(CowslipError):
    def __init__(self, problems):
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = tuple(problems)


class SettingsError(_MultipleProblemsError):
    """A settings file is invalid; ``problems`` lists all problems found."""

    code = "bad-settings"


class ConfigurationError(_MultipleProblemsError):
    """Declared objects are invalid; ``problems`` lists all problems found."""

    code = "bad-configuration"


class EditError(CowslipError):
    """An edit was rejected; nothing was changed."""

    code = "edit-refused"


class EditConflict(EditError):
    """Another edit changed the same objects first.

    :param other_edit: id of the other edit.
    :param names: objects that both edits change.
    """

    code = "edit-conflict"

    def __init__(self, other_edit, names):
        super().__init__(f"edit {other_edit} changed {', '.join(names)} first")
        self.other_edit = other_edit
        self.names = tuple(names)


class ConfirmationRequired(EditError):
    """A destructive edit was not confirmed with its plan's digest.

    :param plan: :class:`~cowslipcourse.config.Plan` to confirm.
    """

    code = "confirmation-required"

    def __init__(self, plan):
        super().__init__(f"destructive edit: confirm plan {plan.digest}")
        self.plan = plan


class UnknownObject(EditError):
    """An edit refers to an object or revision that does not exist."""

    code = "unknown-object"


class StoreError(CowslipError):
    """A call of the platform's table service or object store failed."""

    code = "store-error"


class StoreUnavailable(StoreError):
    """The store did not execute the call; it had no effect."""

    code = "store-unavailable"


class ReplyLost(StoreError):
    """The store did not reply; the call may have taken effect."""

    code = "reply-lost"


class ConditionFailed(StoreError):
    """A conditional write found other row versions; it had no effect.

    :param keys: rows whose condition did not hold.
    """

    code = "condition-failed"

    def __init__(self, keys):
        super().__init__(f"condition failed on {', '.join(keys)}")
        self.keys = tuple(keys)


class HistoryDropped(StoreError):
    """The changes since a version are gone; the table must be read again."""

    code = "history-dropped"


class LeaseLost(CowslipError):
    """The lease under which an operation was to run is no longer held."""

    code = "lease-lost"


class PeerUnreachable(CowslipError):
    """Another daemon did not reply."""

    code = "peer-unreachable"


class MalformedHeader(CowslipError):
    """A header of a response has an invalid value; the response itself is usable."""

    code = "malformed-header"


class TargetError(CowslipError):
    """A request to an engine or service failed."""

    code = "target-error"
    reason = ""
    """Why the attempt was ended from this side; empty if it was not."""


class TargetUnreachable(TargetError):
    """The target did not respond.

    :param sent: whether any byte of the request may have been sent.
    """

    code = "target-unreachable"

    def __init__(self, detail="", sent=True):
        super().__init__(detail)
        self.sent = sent


class TargetRefused(TargetError):
    """The target refused the request before starting it.

    :param reason: the target's code for the refusal.
    """

    code = "target-refused"

    def __init__(self, reason):
        super().__init__(f"target refused: {reason}")
        self.reason = reason


class NotRelayed(TargetRefused):
    """Another daemon has not relayed a request, which no target has got from it.

    :param reason: that daemon's code for the refusal.
    """

    code = "not-relayed"


class TargetWithheld(TargetError):
    """A request is not sent because its target accepts none at the moment.

    :param reason: why the target accepts none.
    :param until: loop time from which on it may accept requests.
    """

    code = "target-withheld"

    def __init__(self, reason, until):
        super().__init__(f"request withheld: {reason}")
        self.until = until


class MalformedResponse(TargetError):
    """A response cannot be decoded, or it belongs to another request."""

    code = "malformed-answer"


class ResponseTooLarge(MalformedResponse):
    """A response exceeds the bounds of its head, its body or its framing."""

    code = "answer-too-large"


class IncompleteResponse(TargetError):
    """A response ended before it was complete."""

    code = "answer-broken"


class AttemptSuperseded(TargetError):
    """Another attempt at the same request has delivered first."""

    code = "attempt-superseded"
    reason = "superseded"


class TargetSilent(TargetError):
    """A silent target, or a silent relay, is not waited for any longer.

    :param detail: human-readable description.
    :param reason: why, as a word for logs and metrics.
    """

    code = "target-silent"

    def __init__(self, detail="", reason=""):
        super().__init__(detail)
        self.reason = reason


class RequestError(CowslipError):
    """A caller's request failed.

    :param detail: human-readable description; the code by default.
    :param retry_after_s: seconds after which a retry is useful, or ``None``.
    :param cause: cause under which the failure is counted; the code by default.
    :cvar status: HTTP status of the response.
    :cvar outcome: ``not_run``, ``failed``, or ``unknown`` if the request may have run.
    """

    status: ClassVar[int] = 500
    outcome: ClassVar[str] = "not_run"

    def __init__(self, detail="", retry_after_s=None, cause=""):
        super().__init__(detail)
        self.retry_after_s = retry_after_s
        self.cause = cause or self.code


class BadRequest(RequestError):
    """A header or parameter is missing or out of range."""

    code = "bad-request"
    status = 400


class MalformedBody(RequestError):
    """The body is not valid for the path."""

    code = "malformed-body"
    status = 400


class BodyTooLarge(RequestError):
    """The body exceeds the configured limit."""

    code = "body-too-large"
    status = 413


class NotAuthorised(RequestError):
    """The API key or token is missing or belongs to no workspace or operator."""

    code = "not-authorised"
    status = 401


class UnknownModel(RequestError):
    """No model of that name is placed for the workspace."""

    code = "unknown-model"
    status = 404


class UnknownRoute(RequestError):
    """No route of the configuration matches the request."""

    code = "unknown-route"
    status = 404


class HeadTooLarge(RequestError):
    """The request head exceeds the configured limit."""

    code = "head-too-large"
    status = 431


class TargetFailed(RequestError):
    """The request was sent but got no complete response; it may have run."""

    code = "target-failed"
    status = 502
    outcome = "unknown"


class UnknownService(RequestError):
    """No service of that name is declared."""

    code = "unknown-service"
    status = 404


class DeadlinePassed(RequestError):
    """The deadline has passed, or would pass before the request can start."""

    code = "deadline-passed"
    status = 504


class AdmissionError(RequestError):
    """The request was not admitted."""

    code = "not-admitted"
    status = 503


class NoConfiguration(AdmissionError):
    """This daemon has not received the configuration yet."""

    code = "no-configuration"


class ConfigurationUnreadable(AdmissionError):
    """A part of the configuration that decides about the request cannot be decoded.

    It has not run. The next configuration may be readable.
    """

    code = "configuration-unreadable"


class NoTargetAvailable(AdmissionError):
    """No target that may serve the request can take it now."""

    code = "no-target-available"


class RelayRefused(AdmissionError):
    """This daemon does not reach the targets of a request that it was to relay."""

    code = "relay-refused"


class RequestQuarantined(AdmissionError):
    """The request has crashed each target that started it."""

    code = "request-quarantined"


class RequestHeld(AdmissionError):
    """Requests with a part of its prompt wait until it is known to be sound."""

    code = "request-held"


class WorkspaceOverShare(AdmissionError):
    """The workspace exceeds its share while the targets are full."""

    code = "workspace-over-share"
    status = 429


class DaemonStopped(AdmissionError):
    """The daemon cannot tell whether its configuration is still valid."""

    code = "daemon-stopped"


class GatewayDraining(AdmissionError):
    """The gateway is stopping; the caller should use another address."""

    code = "gateway-draining"


class KeyExpired(RequestError):
    """The outcome of the key is no longer remembered; nothing was run now."""

    code = "key-expired"
    status = 409
    outcome = "unknown"


class KeyHomeStopped(RequestError):
    """The key's home gateway made a planned stop and did not run the request."""

    code = "key-home-stopped"
    status = 409


class KeyReused(RequestError):
    """The idempotency key was used for another request."""

    code = "key-reused"
    status = 422


class OutcomeUnknown(RequestError):
    """The request may have run; it will not be run again."""

    code = "outcome-unknown"
    status = 502
    outcome = "unknown"


class RequestFailed(RequestError):
    """The request started and failed."""

    code = "request-failed"
    status = 502
    outcome = "failed"


class DeadlineWhileRunning(RequestFailed):
    """The deadline passed while the request was running."""

    code = "deadline-while-running"
    status = 504


class StoppedWhileRunning(RequestError):
    """The daemon stopped while the request was running."""

    code = "stopped-while-running"
    status = 502
    outcome = "unknown"


class CallerDisconnected(RequestError):
    """The caller closed its connection before the response was complete."""

    code = "caller-gone"
    status = 499
    outcome = "unknown"
