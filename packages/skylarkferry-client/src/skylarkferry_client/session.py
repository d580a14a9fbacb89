"""What the commands of one run share: flags, connection and output."""

from skylarkferry_client.api import Api
from skylarkferry_client.settings import resolve
from skylarkferry_client.tables import Printer


class Session:
    """Holds the flags of a run; connects only when a command needs an entry."""

    def __init__(self, url: str, token: str, settings: str, as_json: bool) -> None:
        self.url = url
        self.token = token
        self.settings = settings
        self.printer = Printer(as_json)
        self.connected: Api | None = None

    def api(self) -> Api:
        """Return the connection; raise ``UsageError`` when no address is known."""
        if self.connected is None:
            self.connected = Api(resolve(self.url, self.token, self.settings))
        return self.connected
