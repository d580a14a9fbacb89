"""Send requests to the entries' HTTP interface, with retries at other entries."""

import time
from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote

import httpx
import msgspec

from skylarkferry_client.failures import CommandError, RefusedError, UnreachableError
from skylarkferry_client.settings import ClientSettings
from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.http_messages import PROBLEM_TYPE, ProblemDetails

CONNECT_TIMEOUT_S = 3.0
REPLY_TIMEOUT_S = 60.0
MAX_ROUNDS = 4
ROUND_PAUSE_S = 0.5
RETRYABLE_CODES = frozenset(
    (ErrorCode.PLATFORM_UNAVAILABLE, ErrorCode.NOT_OWNER, ErrorCode.OUTCOME_UNKNOWN)
)

Reply = TypeVar("Reply")


class Api:
    """Sends each request to one entry after the other until one gives a final response.

    Retries are safe because every request is idempotent: programs carry a request key, and edits
    carry an ``Idempotency-Key``.
    """

    def __init__(
        self,
        settings: ClientSettings,
        client: httpx.Client | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.urls = settings.urls
        timeout = httpx.Timeout(REPLY_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        self.client = client or httpx.Client(timeout=timeout, trust_env=False)
        self.headers = {"Authorization": f"Bearer {settings.token}"} if settings.token else {}
        self.sleep = sleep

    def get(self, path: str, reply_type: type[Reply], **query: str) -> Reply:
        """Send a GET request and return the decoded reply."""
        return _decode(self.send("GET", path, query=query), reply_type)

    def post(self, path: str, body: Any, reply_type: type[Reply]) -> Reply:
        """Send a POST request with a JSON body and return the decoded reply."""
        return _decode(self.send("POST", path, content=msgspec.json.encode(body)), reply_type)

    def delete(self, path: str, reply_type: type[Reply]) -> Reply:
        """Send a DELETE request and return the decoded reply."""
        return _decode(self.send("DELETE", path), reply_type)

    def put(self, path: str, content: bytes, reply_type: type[Reply], **headers: str) -> Reply:
        """Send a PUT request and return the decoded reply.

        Underscores in the names of ``headers`` become hyphens.
        """
        hyphenated = {name.replace("_", "-"): value for name, value in headers.items()}
        return _decode(self.send("PUT", path, content=content, headers=hyphenated), reply_type)

    def send(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        content: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> httpx.Response:
        """Send a request until an entry gives a final response; raise ``CommandError``."""
        failure: CommandError = UnreachableError("no entry answered")
        for attempt in range(MAX_ROUNDS * len(self.urls)):
            if attempt and attempt % len(self.urls) == 0:
                self.sleep(ROUND_PAUSE_S)
            url = self.urls[attempt % len(self.urls)].rstrip("/") + path
            try:
                merged = self.headers | (headers or {})
                response = self.client.request(
                    method, url, params=query, content=content, headers=merged
                )
            except httpx.InvalidURL as error:
                raise UnreachableError(f"{url}: {error}") from error
            except httpx.TransportError as error:
                failure = UnreachableError(f"{url}: {error or type(error).__name__}")
                continue
            if response.is_success:
                return response
            failure = _response_error(response)
            if not _is_retryable(failure):
                raise failure
        raise failure


def api_path(*segments: str) -> str:
    """Return the URL path of the quoted segments."""
    return "/v1/" + "/".join(quote(segment, safe="") for segment in segments)


def _response_error(response: httpx.Response) -> CommandError:
    if response.headers.get("content-type", "").startswith(PROBLEM_TYPE):
        return RefusedError(_decode(response, ProblemDetails))
    return CommandError(f"{response.url}: unexpected status {response.status_code}")


def _is_retryable(failure: CommandError) -> bool:
    return isinstance(failure, RefusedError) and failure.problem.code in RETRYABLE_CODES


def _decode(response: httpx.Response, reply_type: type[Reply]) -> Reply:
    try:
        return msgspec.json.decode(response.content, type=reply_type)
    except msgspec.MsgspecError as error:
        raise CommandError(f"{response.url}: unexpected reply: {error}") from error
