"""A deployment on loopback for tests and measurements: each part a process of its own."""

import hashlib
import json
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import httpx

from skylarkferry_standins.child_processes import ChildProcess, free_address, wait_until

BOOTSTRAP_TOKEN = "bootstrap-token"
CUSTOMER_TOKEN = "gearworks-demo-token"
OPERATOR_TOKEN = "operators-demo-token"
SITE = "arusha"
FAILURE_DOMAINS = ("arusha-a", "arusha-b", "arusha-c")
CLIENT_TIMEOUT_S = 60.0


class Upstream:
    """An engine or service and the sidecar before it."""

    def __init__(self, server: ChildProcess, sidecar: ChildProcess, url: str, host: Any) -> None:
        self.server = server
        self.sidecar = sidecar
        self.url = url
        self.host = host

    def set_faults(self, **faults: Any) -> None:
        """Put exactly these faults in force at the stand-in."""
        httpx.post(f"{self.url}/control/faults", json=faults).raise_for_status()

    def pending_paths(self) -> list[str]:
        """Return the paths of requests that a service has read and not yet executed."""
        paths: list[str] = httpx.get(f"{self.url}/control/ledger").json()["under_way"]
        return paths

    def effects(self) -> list[dict[str, str]]:
        """Return the effects that a service executed."""
        effects: list[dict[str, str]] = httpx.get(f"{self.url}/control/ledger").json()["effects"]
        return effects


class Entry:
    """An entry process and clients of its HTTP interface."""

    def __init__(self, process: ChildProcess, url: str, host: Any) -> None:
        self.process = process
        self.url = url
        self.host = host

    def client(self, token: str = CUSTOMER_TOKEN) -> httpx.Client:
        """Return a client that the caller closes."""
        headers = {"Authorization": f"Bearer {token}"}
        return httpx.Client(base_url=self.url, headers=headers, timeout=CLIENT_TIMEOUT_S)


class Deployment:
    """Starts processes and ends all of them when ``stack`` closes.

    Logs and settings go to ``directory``; ``document`` holds the sections' texts.
    """

    def __init__(self, directory: Path, document: Path, stack: ExitStack) -> None:
        self.directory = directory
        self.document = document
        self.stack = stack
        self.upstreams: dict[str, Upstream] = {}
        self.entries: dict[str, Entry] = {}
        self.platform_url = ""

    def start_process(self, name: str, arguments: list[str], ready_url: str) -> ChildProcess:
        """Start a process and own it; it may not serve yet."""
        process = ChildProcess(name, arguments, ready_url, self.directory)
        process.start()
        self.stack.callback(_kill_if_running, process)
        return process

    def start_standin(self, kind: str, name: str, control: str, **options: Any) -> ChildProcess:
        """Start a stand-in; ``control`` is the control path that shows it serves."""
        address = free_address()
        flags = [f"--{option}={value}" for option, value in options.items()]
        arguments = ["skylarkferry_standins", kind, f"--listen={address}", *flags]
        return self.start_process(name, arguments, f"http://{address}/control/{control}")

    def start_platform(self, **options: Any) -> None:
        """Start the platform with an empty host list."""
        self.platform = self.start_standin("platform", "platform", "counters", **options)
        self.platform_url = self.platform.ready_url.removesuffix("/control/counters")
        self.platform.wait_ready()

    def set_platform_faults(self, **faults: Any) -> None:
        """Put exactly these faults in force at the platform."""
        httpx.post(f"{self.platform_url}/control/faults", json=faults).raise_for_status()

    def counters(self) -> dict[str, int]:
        """Return the platform's counters."""
        counters: dict[str, int] = httpx.get(f"{self.platform_url}/control/counters").json()
        return counters

    def start_daemon(self, name: str, ready: str, settings: dict[str, Any]) -> ChildProcess:
        """Write a daemon's settings and start it; ``ready`` is an HTTP address and path."""
        path = self.directory / f"{name}.jsonc"
        path.write_text(json.dumps(settings, indent=2))
        return self.start_process(
            name, ["skylarkferry_daemon", "serve", str(path)], f"http://{ready}"
        )

    def add_upstream(
        self, name: str, kind: str, pool: str, domain: str, *, sidecar: Any = None, **options: Any
    ) -> Upstream:
        """Start a stand-in and its sidecar; ``kind`` is ``model``, ``tool`` or ``service``."""
        standin = "engine" if kind == "model" else "service"
        server = self.start_standin(standin, f"{name}-server", "faults", **options)
        url = server.ready_url.removesuffix("/control/faults")
        rpc, metrics = free_address(), free_address()
        settings = {
            "role": "sidecar",
            "upstream": name,
            "pool": pool,
            "kind": kind,
            "failure_domain": domain,
            "rpc_listen": rpc,
            "metrics_listen": metrics,
            "upstream_url": url,
        }
        daemon = self.start_daemon(name, f"{metrics}/metrics", settings | (sidecar or {}))
        host = _host(name, "sidecar", rpc, domain, pool)
        self.upstreams[name] = Upstream(server, daemon, url, host)
        return self.upstreams[name]

    def add_entry(self, name: str, domain: str, **overrides: Any) -> Entry:
        """Start an entry."""
        http, rpc = free_address(), free_address()
        settings = {
            "role": "entry",
            "node": name,
            "site": SITE,
            "failure_domain": domain,
            "http_listen": http,
            "rpc_listen": rpc,
            "bootstrap_token_hash": hashlib.sha256(BOOTSTRAP_TOKEN.encode()).hexdigest(),
            "platform": {
                "table_url": self.platform_url,
                "object_url": f"{self.platform_url}/objects",
                "hosts_url": f"{self.platform_url}/hosts",
            },
        }
        process = self.start_daemon(name, f"{http}/healthz", settings | overrides)
        host = _host(name, "entry", rpc, domain, "")
        self.entries[name] = Entry(process, f"http://{http}", host)
        return self.entries[name]

    def publish_hosts(self) -> None:
        """Write all processes into the platform's host list."""
        hosts = [entry.host for entry in self.entries.values()]
        hosts += [upstream.host for upstream in self.upstreams.values()]
        httpx.put(f"{self.platform_url}/control/hosts", json=hosts).raise_for_status()

    def wait_ready(self) -> None:
        """Wait until every process serves."""
        for upstream in self.upstreams.values():
            upstream.server.wait_ready()
            upstream.sidecar.wait_ready()
        for entry in self.entries.values():
            entry.process.wait_ready()

    def write_document(self, **replaced: Any) -> None:
        """Write the demonstration document, with some sections replaced, as the first one."""
        entry = next(iter(self.entries.values()))
        texts = {path.stem: path.read_text() for path in sorted(self.document.glob("*.jsonc"))}
        texts |= {name: json.dumps(section) for name, section in replaced.items()}
        changes = [
            {"section": name, "text": text, "base_version": 0} for name, text in texts.items()
        ]
        with entry.client(BOOTSTRAP_TOKEN) as client:
            client.put("/v1/config", json={"changes": changes}).raise_for_status()
        wait_until(self.all_documents_applied, "the document to be in force at every entry")

    def all_documents_applied(self) -> bool:
        """Tell whether every entry has a document."""
        views = [httpx.get(f"{entry.url}/healthz").json() for entry in self.entries.values()]
        return all(view["document_version"] > 0 for view in views)

    def wait_for_upstreams(self) -> None:
        """Wait until every entry sees every upstream as live."""
        wait_until(self.all_upstreams_live, "every entry to see every upstream live")

    def all_upstreams_live(self) -> bool:
        """Tell whether every entry sees every upstream as live."""
        return all(self._live_at(entry) == set(self.upstreams) for entry in self.entries.values())

    def _live_at(self, entry: Entry) -> set[str]:
        with entry.client(OPERATOR_TOKEN) as client:
            hosts = client.get("/v1/hosts").json().get("hosts", [])
        return {host["upstream"] for host in hosts if host["state"] == "live"}


def _host(name: str, role: str, address: str, domain: str, pool: str) -> dict[str, Any]:
    labels = {"host": name, "role": role, "failure_domain": domain, "pool": pool}
    return {"targets": [address], "labels": labels | {"leaving": "false"}}


def _kill_if_running(process: ChildProcess) -> None:
    if not process.has_exited():
        process.kill()
