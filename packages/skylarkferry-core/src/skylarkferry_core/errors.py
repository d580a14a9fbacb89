"""Typed errors with stable codes."""

from enum import Enum
from http import HTTPStatus

from skylarkferry_core.states import FinalWord

_MAX_DETAIL_CHARS = 500
"""Longest detail, which may quote what another process sent."""


class ErrorCode(Enum):
    """Stable code of an error, visible to callers and operators."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TIMEOUT = "body_timeout"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNKNOWN_AGENT = "unknown_agent"
    UNKNOWN_SERVICE = "unknown_service"
    REQUEST_KEY_REUSED = "request_key_reused"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    CUSTOMER_LIMIT = "customer_limit"
    BUDGET_EXHAUSTED = "budget_exhausted"
    TOKENS_SPENT = "tokens_spent"
    TURN_LIMIT = "turn_limit"
    REPEATED_CALLS = "repeated_calls"
    CANCELLED = "cancelled"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_LEAVING = "upstream_leaving"
    UPSTREAM_LOST = "upstream_lost"
    STALE_EPOCH = "stale_epoch"
    SEALED = "sealed"
    NOT_OWNER = "not_owner"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    PLATFORM_REFUSED = "platform_refused"
    HISTORY_LOST = "history_lost"
    MALFORMED_DATA = "malformed_data"
    WRITE_CONFLICT = "write_conflict"
    NO_CONFIGURATION = "no_configuration"
    PROCESS_STOPPING = "process_stopping"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_TURN = "unknown_turn"
    UNKNOWN_STREAM = "unknown_stream"
    HEADER_TOO_LARGE = "header_too_large"
    ANSWER_INVALID = "answer_invalid"
    ANSWER_TIMEOUT = "answer_timeout"
    OUTCOME_UNKNOWN = "outcome_unknown"
    DOCUMENT_INVALID = "document_invalid"
    DOCUMENT_CONFLICT = "document_conflict"
    SETTINGS_INVALID = "settings_invalid"
    INTERNAL = "internal"


class SkylarkferryError(Exception):
    """Base of all errors; subclasses set the code, the HTTP status and the final outcome."""

    code = ErrorCode.INTERNAL
    status = HTTPStatus.INTERNAL_SERVER_ERROR
    word: FinalWord | None = FinalWord.NOT_RUN

    def __init__(self, detail: str, *, retry_after_s: float | None = None) -> None:
        self.detail = detail[:_MAX_DETAIL_CHARS]
        super().__init__(self.detail)
        self.retry_after_s = retry_after_s


class BadRequestError(SkylarkferryError):
    """The request is malformed."""

    code = ErrorCode.BAD_REQUEST
    status = HTTPStatus.BAD_REQUEST


class BodyTooLargeError(SkylarkferryError):
    """The request body exceeds the limit."""

    code = ErrorCode.BODY_TOO_LARGE
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class BodyTimeoutError(SkylarkferryError):
    """The request body did not arrive in time."""

    code = ErrorCode.BODY_TIMEOUT
    status = HTTPStatus.REQUEST_TIMEOUT


class UnauthenticatedError(SkylarkferryError):
    """The request has no valid bearer token."""

    code = ErrorCode.UNAUTHENTICATED
    status = HTTPStatus.UNAUTHORIZED


class ForbiddenError(SkylarkferryError):
    """The token does not allow the request."""

    code = ErrorCode.FORBIDDEN
    status = HTTPStatus.FORBIDDEN


class NotFoundError(SkylarkferryError):
    """The requested object does not exist."""

    code = ErrorCode.NOT_FOUND
    status = HTTPStatus.NOT_FOUND


class MethodNotAllowedError(SkylarkferryError):
    """The path does not support this method."""

    code = ErrorCode.METHOD_NOT_ALLOWED
    status = HTTPStatus.METHOD_NOT_ALLOWED


class UnknownAgentError(SkylarkferryError):
    """The document has no agent with this name."""

    code = ErrorCode.UNKNOWN_AGENT
    status = HTTPStatus.UNPROCESSABLE_ENTITY


class UnknownServiceError(SkylarkferryError):
    """The document has no service with this name."""

    code = ErrorCode.UNKNOWN_SERVICE
    status = HTTPStatus.NOT_FOUND


class RequestKeyReusedError(SkylarkferryError):
    """The request key was already used with a different body."""

    code = ErrorCode.REQUEST_KEY_REUSED
    status = HTTPStatus.CONFLICT


class DeadlineUnreachableError(SkylarkferryError):
    """The program cannot finish before its deadline."""

    code = ErrorCode.DEADLINE_UNREACHABLE
    status = HTTPStatus.SERVICE_UNAVAILABLE


class DeadlinePassedError(SkylarkferryError):
    """The deadline passed before the work ended."""

    code = ErrorCode.DEADLINE_PASSED
    status = HTTPStatus.GATEWAY_TIMEOUT


class CustomerLimitError(SkylarkferryError):
    """The customer has reached a limit."""

    code = ErrorCode.CUSTOMER_LIMIT
    status = HTTPStatus.TOO_MANY_REQUESTS


class BudgetExhaustedError(SkylarkferryError):
    """The program's budget does not cover its next call."""

    code = ErrorCode.BUDGET_EXHAUSTED
    status = HTTPStatus.UNPROCESSABLE_ENTITY


class CallCancelledError(SkylarkferryError):
    """The caller cancelled the work."""

    code = ErrorCode.CANCELLED
    status = HTTPStatus.CONFLICT


class OverloadedError(SkylarkferryError):
    """No capacity is left for the request."""

    code = ErrorCode.OVERLOADED
    status = HTTPStatus.SERVICE_UNAVAILABLE


class QuarantinedError(SkylarkferryError):
    """The request is rejected because it crashed upstreams before."""

    code = ErrorCode.QUARANTINED
    status = HTTPStatus.UNPROCESSABLE_ENTITY


class NoUpstreamError(SkylarkferryError):
    """No upstream can take the call."""

    code = ErrorCode.NO_UPSTREAM
    status = HTTPStatus.SERVICE_UNAVAILABLE


class UpstreamFailedError(SkylarkferryError):
    """The upstream returned an error."""

    code = ErrorCode.UPSTREAM_FAILED
    status = HTTPStatus.BAD_GATEWAY


class UpstreamLeavingError(SkylarkferryError):
    """The upstream is draining and accepts no new work."""

    code = ErrorCode.UPSTREAM_LEAVING
    status = HTTPStatus.SERVICE_UNAVAILABLE


class UpstreamLostError(SkylarkferryError):
    """The connection to the sidecar was lost before an outcome arrived."""

    code = ErrorCode.UPSTREAM_LOST
    status = HTTPStatus.BAD_GATEWAY


class ConnectionLostError(UpstreamLostError):
    """The connection to another process was lost; the request may or may not have run there."""

    word = FinalWord.UNKNOWN


class StaleEpochError(SkylarkferryError):
    """The order has a lower epoch than an earlier order."""

    code = ErrorCode.STALE_EPOCH
    status = HTTPStatus.CONFLICT


class SealedError(SkylarkferryError):
    """The call was sealed before it ran, so it will never run."""

    code = ErrorCode.SEALED
    status = HTTPStatus.CONFLICT


class NotOwnerError(SkylarkferryError):
    """The node does not hold the partition's lease."""

    code = ErrorCode.NOT_OWNER
    status = HTTPStatus.SERVICE_UNAVAILABLE


class PlatformUnavailableError(SkylarkferryError):
    """The platform did not answer; a write may or may not have taken effect."""

    code = ErrorCode.PLATFORM_UNAVAILABLE
    status = HTTPStatus.SERVICE_UNAVAILABLE


class PlatformRefusedError(PlatformUnavailableError):
    """The platform refused the call without any effect."""

    code = ErrorCode.PLATFORM_REFUSED


class MalformedDataError(PlatformUnavailableError):
    """What another process wrote to the platform, or sent, cannot be decoded."""

    code = ErrorCode.MALFORMED_DATA


class HistoryLostError(SkylarkferryError):
    """The platform no longer has the changes since the requested version."""

    code = ErrorCode.HISTORY_LOST
    status = HTTPStatus.GONE


class NoConfigurationError(SkylarkferryError):
    """The process has no configuration yet."""

    code = ErrorCode.NO_CONFIGURATION
    status = HTTPStatus.SERVICE_UNAVAILABLE


class ProcessStoppingError(SkylarkferryError):
    """The process stops too soon to answer the request for certain."""

    code = ErrorCode.PROCESS_STOPPING
    status = HTTPStatus.SERVICE_UNAVAILABLE


class UnknownRouteError(SkylarkferryError):
    """No route matches the request's host and path."""

    code = ErrorCode.UNKNOWN_ROUTE
    status = HTTPStatus.NOT_FOUND


class UnknownTurnError(SkylarkferryError):
    """The turn to continue from does not exist."""

    code = ErrorCode.UNKNOWN_TURN
    status = HTTPStatus.NOT_FOUND


class UnknownStreamError(SkylarkferryError):
    """It is not known, or not possible any more, where the stream has to go on."""

    code = ErrorCode.UNKNOWN_STREAM
    status = HTTPStatus.SERVICE_UNAVAILABLE


class TokensSpentError(SkylarkferryError):
    """The program's token budget does not cover another turn."""

    code = ErrorCode.TOKENS_SPENT
    status = HTTPStatus.PAYMENT_REQUIRED


class HeaderTooLargeError(SkylarkferryError):
    """The request head exceeds the limit."""

    code = ErrorCode.HEADER_TOO_LARGE
    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


class AnswerInvalidError(SkylarkferryError):
    """An upstream's response is malformed, incomplete or belongs to another request."""

    code = ErrorCode.ANSWER_INVALID
    status = HTTPStatus.BAD_GATEWAY
    word = FinalWord.UNKNOWN


class AnswerTimeoutError(SkylarkferryError):
    """No response arrived in time; the request may have run."""

    code = ErrorCode.ANSWER_TIMEOUT
    status = HTTPStatus.GATEWAY_TIMEOUT
    word = FinalWord.UNKNOWN


class WriteConflictError(SkylarkferryError):
    """A condition of a table transaction did not hold; nothing was written."""

    code = ErrorCode.WRITE_CONFLICT
    status = HTTPStatus.CONFLICT


class OutcomeUnknownError(SkylarkferryError):
    """It is not known whether the call ran."""

    code = ErrorCode.OUTCOME_UNKNOWN
    status = HTTPStatus.BAD_GATEWAY
    word = FinalWord.UNKNOWN


class DocumentInvalidError(SkylarkferryError):
    """The configuration document is invalid."""

    code = ErrorCode.DOCUMENT_INVALID
    status = HTTPStatus.UNPROCESSABLE_ENTITY


class DocumentConflictError(SkylarkferryError):
    """The section has changed since the editor read it."""

    code = ErrorCode.DOCUMENT_CONFLICT
    status = HTTPStatus.CONFLICT


class SettingsInvalidError(SkylarkferryError):
    """A settings file is missing or invalid."""

    code = ErrorCode.SETTINGS_INVALID


def error_types() -> dict[ErrorCode, type[SkylarkferryError]]:
    """Return the error class of each code that has one."""
    return {kind.code: kind for kind in SkylarkferryError.__subclasses__()}


def error_for(
    code: ErrorCode, detail: str, retry_after_s: float | None = None
) -> SkylarkferryError:
    """Build the typed error for a code received over the wire."""
    kind = error_types().get(code, SkylarkferryError)
    return kind(detail, retry_after_s=retry_after_s)
