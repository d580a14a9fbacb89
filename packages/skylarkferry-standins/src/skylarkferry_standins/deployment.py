"""A deployment of separate processes on the loopback interface, for tests and benchmarks."""

import hashlib
import json
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import httpx

from skylarkferry_standins.child_processes import ChildProcess, wait_until
from skylarkferry_standins.ports import free_address

BOOTSTRAP_TOKEN = "bootstrap-token"
CUSTOMER_TOKEN = "gearworks-demo-token"
OPERATOR_TOKEN = "operators-demo-token"
SITE = "arusha"
FAILURE_DOMAINS = ("arusha-a", "arusha-b", "arusha-c")
CLIENT_TIMEOUT_S = 60.0


class Upstream:
    """A stand-in server (engine or service) and its sidecar."""

    def __init__(self, server: ChildProcess, sidecar: ChildProcess, url: str, host: Any) -> None:
        self.server = server
        self.sidecar = sidecar
        self.url = url
        self.host = host

    def set_faults(self, **faults: Any) -> None:
        """Replace the faults that the stand-in injects."""
        httpx.post(f"{self.url}/control/faults", json=faults).raise_for_status()

    def pending_paths(self) -> list[str]:
        """Return the paths of requests that the service has read but not executed yet."""
        paths: list[str] = httpx.get(f"{self.url}/control/ledger").json()["under_way"]
        return paths

    def effects(self) -> list[dict[str, str]]:
        """Return the effects that the service has executed."""
        effects: list[dict[str, str]] = httpx.get(f"{self.url}/control/ledger").json()["effects"]
        return effects


class Entry:
    """An entry process, with clients for its HTTP interface."""

    def __init__(self, process: ChildProcess, url: str, host: Any) -> None:
        self.process = process
        self.url = url
        self.host = host

    def client(self, token: str = CUSTOMER_TOKEN) -> httpx.Client:
        """Return an HTTP client authenticated with ``token``; the caller closes it."""
        headers = {"Authorization": f"Bearer {token}"}
        return httpx.Client(base_url=self.url, headers=headers, timeout=CLIENT_TIMEOUT_S)


class Deployment:
    """Starts processes and kills them when ``stack`` closes.

    Logs and settings are written to ``directory``; ``document`` holds one file per section.
    """

    def __init__(self, directory: Path, document: Path, stack: ExitStack) -> None:
        self.directory = directory
        self.document = document
        self.stack = stack
        self.upstreams: dict[str, Upstream] = {}
        self.entries: dict[str, Entry] = {}
        self.platform_url = ""

    def start_process(self, name: str, arguments: list[str], ready_url: str) -> ChildProcess:
        """Start a process without waiting until it is ready; it is killed when the stack closes."""
        process = ChildProcess(name, arguments, ready_url, self.directory)
        process.start()
        self.stack.callback(_kill_if_running, process)
        return process

    def start_standin(self, kind: str, name: str, control: str, **options: Any) -> ChildProcess:
        """Start a stand-in; ``control`` is the control path that its readiness check requests."""
        address = free_address()
        flags = [f"--{option}={value}" for option, value in options.items()]
        arguments = ["skylarkferry_standins", kind, f"--listen={address}", *flags]
        return self.start_process(name, arguments, f"http://{address}/control/{control}")

    def start_platform(self, **options: Any) -> None:
        """Start the platform with an empty host list and wait until it is ready."""
        self.platform = self.start_standin("platform", "platform", "counters", **options)
        self.platform_url = self.platform.ready_url.removesuffix("/control/counters")
        self.platform.wait_ready()

    def set_platform_faults(self, **faults: Any) -> None:
        """Replace the faults that the platform injects."""
        httpx.post(f"{self.platform_url}/control/faults", json=faults).raise_for_status()

    def counters(self) -> dict[str, int]:
        """Return the platform's counters."""
        counters: dict[str, int] = httpx.get(f"{self.platform_url}/control/counters").json()
        return counters

    def start_daemon(self, name: str, ready: str, settings: dict[str, Any]) -> ChildProcess:
        """Write a daemon's settings and start it; ``ready`` is the address and path to poll."""
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
        host = _target_group(name, "sidecar", rpc, domain, pool)
        self.upstreams[name] = Upstream(server, daemon, url, host)
        return self.upstreams[name]

    def add_entry(self, name: str, domain: str, **overrides: Any) -> Entry:
        """Start an entry; ``overrides`` replace keys of its settings."""
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
        host = _target_group(name, "entry", rpc, domain, "")
        self.entries[name] = Entry(process, f"http://{http}", host)
        return self.entries[name]

    def publish_hosts(self) -> None:
        """Publish all entries and sidecars in the platform's host list."""
        hosts = [entry.host for entry in self.entries.values()]
        hosts += [upstream.host for upstream in self.upstreams.values()]
        httpx.put(f"{self.platform_url}/control/hosts", json=hosts).raise_for_status()

    def wait_ready(self) -> None:
        """Wait until every process answers requests."""
        for upstream in self.upstreams.values():
            upstream.server.wait_ready()
            upstream.sidecar.wait_ready()
        for entry in self.entries.values():
            entry.process.wait_ready()

    def write_document(self, **replaced: Any) -> None:
        """Write the demonstration document as the first version, with some sections replaced."""
        entry = next(iter(self.entries.values()))
        texts = {path.stem: path.read_text() for path in sorted(self.document.glob("*.jsonc"))}
        texts |= {name: json.dumps(section) for name, section in replaced.items()}
        changes = [
            {"section": name, "text": text, "base_version": 0} for name, text in texts.items()
        ]
        with entry.client(BOOTSTRAP_TOKEN) as client:
            client.put("/v1/config", json={"changes": changes}).raise_for_status()
        wait_until(self.all_documents_applied, "every entry to apply the document")

    def all_documents_applied(self) -> bool:
        """Return whether every entry has applied a document."""
        views = [httpx.get(f"{entry.url}/healthz").json() for entry in self.entries.values()]
        return all(view["document_version"] > 0 for view in views)

    def wait_for_upstreams(self) -> None:
        """Wait until every entry reports every upstream as live."""
        wait_until(self.all_upstreams_live, "every entry to report every upstream as live")

    def all_upstreams_live(self) -> bool:
        """Return whether every entry reports every upstream as live."""
        return all(self._live_at(entry) == set(self.upstreams) for entry in self.entries.values())

    def _live_at(self, entry: Entry) -> set[str]:
        with entry.client(OPERATOR_TOKEN) as client:
            hosts = client.get("/v1/hosts").json().get("hosts", [])
        return {host["upstream"] for host in hosts if host["state"] == "live"}


def _target_group(name: str, role: str, address: str, domain: str, pool: str) -> dict[str, Any]:
    labels = {"host": name, "role": role, "failure_domain": domain, "pool": pool}
    return {"targets": [address], "labels": labels | {"leaving": "false"}}


def _kill_if_running(process: ChildProcess) -> None:
    if not process.has_exited():
        process.kill()
