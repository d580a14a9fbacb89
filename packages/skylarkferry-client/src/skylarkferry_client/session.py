"""State shared by the commands of one run: flags, connection and output."""

from skylarkferry_client.api import Api
from skylarkferry_client.settings import resolve_settings
from skylarkferry_client.tables import Printer


class Session:
    """Holds the flags and output of a run; connects only when a command needs an entry."""

    def __init__(self, url: str, token: str, settings: str, as_json: bool) -> None:
        self.url = url
        self.token = token
        self.settings = settings
        self.printer = Printer(as_json)
        self._api: Api | None = None

    def api(self) -> Api:
        """Return the connection; raise ``UsageError`` if no entry address is configured."""
        if self._api is None:
            self._api = Api(resolve_settings(self.url, self.token, self.settings))
        return self._api
