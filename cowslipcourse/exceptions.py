"""Every failure of the project has a type in this module.

Failures that a caller can see derive from :class:`RequestError` and carry the
HTTP status and the outcome that the answer reports.
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
    "MalformedResponse",
    "NoConfiguration",
    "NoTargetAvailable",
    "NotAuthorised",
    "OutcomeUnknown",
    "PeerUnreachable",
    "Problem",
    "ReplyLost",
    "RequestError",
    "RequestFailed",
    "RequestQuarantined",
    "SelectorError",
    "SettingsError",
    "StoreError",
    "StoreUnavailable",
    "TargetError",
    "TargetFailed",
    "TargetRefused",
    "TargetSilent",
    "TargetUnreachable",
    "UnknownModel",
    "UnknownObject",
    "UnknownRoute",
    "UnknownService",
    "WorkspaceOverShare",
]


class Problem(NamedTuple):
    """One fault found in an operator's file.

    :param where: file, line and key at fault, as far as they are known.
    :param message: what is wrong and what was expected.
    """

    where: str
    message: str

    def __str__(self):
        return f"{self.where}: {self.message}"


class CowslipError(Exception):
    """Base of all failures.

    :param detail: sentence for people.
    """

    code: ClassVar[str] = "error"

    def __init__(self, detail=""):
        super().__init__(detail or self.code)
        self.detail = detail or self.code


class AddressTaken(CowslipError):
    """A server cannot listen on its address.

    :param address: ``ip:port``
    :param reason: what the system says.
    """

    code = "address-taken"

    def __init__(self, address, reason):
        super().__init__(f"cannot listen on {address}: {reason}")
        self.address = address


class SelectorError(CowslipError):
    """A selector cannot be parsed or selects everything."""

    code = "bad-selector"


class _ProblemsError(CowslipError):
    def __init__(self, problems):
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = tuple(problems)


class SettingsError(_ProblemsError):
    """A settings file is wrong; ``problems`` lists everything found."""

    code = "bad-settings"


class ConfigurationError(_ProblemsError):
    """Declared objects are wrong; ``problems`` lists everything found."""

    code = "bad-configuration"


class EditError(CowslipError):
    """An edit was refused; nothing was changed."""

    code = "edit-refused"


class EditConflict(EditError):
    """Another edit changed the same objects first.

    :param other_edit: id of the edit that came first.
    :param names: objects that both edits touch.
    """

    code = "edit-conflict"

    def __init__(self, other_edit, names):
        super().__init__(f"edit {other_edit} changed {', '.join(names)} first")
        self.other_edit = other_edit
        self.names = tuple(names)


class ConfirmationRequired(EditError):
    """The edit is destructive and was not confirmed with its plan's digest.

    :param plan: the :class:`~cowslipcourse.config.Plan` to be confirmed.
    """

    code = "confirmation-required"

    def __init__(self, plan):
        super().__init__(f"destructive edit: confirm plan {plan.digest}")
        self.plan = plan


class UnknownObject(EditError):
    """The edit names an object or revision that does not exist."""

    code = "unknown-object"


class StoreError(CowslipError):
    """The platform's table service or object store failed."""

    code = "store-error"


class StoreUnavailable(StoreError):
    """The store refused the call; it had no effect."""

    code = "store-unavailable"


class ReplyLost(StoreError):
    """The store's reply was lost; the call may have taken effect."""

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
    """The changes since a version are not kept any more; read everything again."""

    code = "history-dropped"


class LeaseLost(CowslipError):
    """The caller no longer holds the lease that it acts under."""

    code = "lease-lost"


class PeerUnreachable(CowslipError):
    """A daemon of the system did not answer."""

    code = "peer-unreachable"


class TargetError(CowslipError):
    """An engine or service failed."""

    code = "target-error"


class TargetUnreachable(TargetError):
    """No answer from the target.

    :param sent: whether any byte of the request may have left.
    """

    code = "target-unreachable"

    def __init__(self, detail="", sent=True):
        super().__init__(detail)
        self.sent = sent


class TargetRefused(TargetError):
    """The target refused before it started anything.

    :param reason: the target's code for the refusal.
    """

    code = "target-refused"

    def __init__(self, reason):
        super().__init__(f"target refused: {reason}")
        self.reason = reason


class MalformedResponse(TargetError):
    """The target's answer is not the answer to the request that was sent."""

    code = "malformed-answer"


class IncompleteResponse(TargetError):
    """An answer ended before it was complete."""

    code = "answer-broken"


class TargetSilent(TargetError):
    """A target sent nothing for longer than a sound one does."""

    code = "target-silent"


class RequestError(CowslipError):
    """A caller's request ends without its answer.

    :param detail: sentence for people.
    :param retry_after_s: seconds after which a retry makes sense, if any.
    :param cause: what it is counted under; the code if left out.
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
    """The body is not what the path expects."""

    code = "malformed-body"
    status = 400


class BodyTooLarge(RequestError):
    """The body is longer than the configured bound."""

    code = "body-too-large"
    status = 413


class NotAuthorised(RequestError):
    """The key is missing or belongs to no workspace or operator."""

    code = "not-authorised"
    status = 401


class UnknownModel(RequestError):
    """No model of that name is placed for the workspace."""

    code = "unknown-model"
    status = 404


class UnknownRoute(RequestError):
    """No route of the configuration matches."""

    code = "unknown-route"
    status = 404


class HeadTooLarge(RequestError):
    """The head of the request is longer than the configuration allows."""

    code = "head-too-large"
    status = 431


class TargetFailed(RequestError):
    """The request was sent and no complete answer came; it may have run."""

    code = "target-failed"
    status = 502
    outcome = "unknown"


class UnknownService(RequestError):
    """No service of that name is declared."""

    code = "unknown-service"
    status = 404


class DeadlinePassed(RequestError):
    """The deadline passed, or will pass, before the request can start."""

    code = "deadline-passed"
    status = 504


class AdmissionError(RequestError):
    """The request was not admitted."""

    code = "not-admitted"
    status = 503


class NoConfiguration(AdmissionError):
    """This daemon does not know the configuration yet."""

    code = "no-configuration"


class NoTargetAvailable(AdmissionError):
    """Nothing that may serve the request can take it now."""

    code = "no-target-available"


class RequestQuarantined(AdmissionError):
    """The same request has ended each target that began to run it."""

    code = "request-quarantined"


class WorkspaceOverShare(AdmissionError):
    """The workspace uses more than its share while others wait."""

    code = "workspace-over-share"
    status = 429


class DaemonStopped(AdmissionError):
    """The daemon cannot tell whether its configuration is still in force."""

    code = "daemon-stopped"


class GatewayDraining(AdmissionError):
    """The gateway is stopping; use another address."""

    code = "gateway-draining"


class KeyExpired(RequestError):
    """The idempotency key is older than what is remembered; nothing was run now."""

    code = "key-expired"
    status = 409
    outcome = "unknown"


class KeyHomeStopped(RequestError):
    """The key's home stopped as planned and never ran the request."""

    code = "key-home-stopped"
    status = 409


class KeyReused(RequestError):
    """The idempotency key was used before with another request."""

    code = "key-reused"
    status = 422


class OutcomeUnknown(RequestError):
    """The request may have run; it will not be run again."""

    code = "outcome-unknown"
    status = 502
    outcome = "unknown"


class RequestFailed(RequestError):
    """The request started and did not end well."""

    code = "request-failed"
    status = 502
    outcome = "failed"


class DeadlineWhileRunning(RequestFailed):
    """The deadline passed after the request had started."""

    code = "deadline-while-running"
    status = 504


class CallerDisconnected(RequestError):
    """The caller closed its connection before the answer was complete."""

    code = "caller-gone"
    status = 499
    outcome = "unknown"
