"""Run one stand-in: ``python -m skylarkferry_standins platform|engine|service``."""

import fire

from skylarkferry_standins import platform as platform_module
from skylarkferry_standins.asgi_server import serve
from skylarkferry_standins.engine import Engine, EngineSettings, engine_app
from skylarkferry_standins.fencing import Fencing
from skylarkferry_standins.script import load_script
from skylarkferry_standins.service import Service, service_app


def platform(listen: str, hosts: str = "", hosts_lag_s: float = 0.0) -> None:
    """Serve table, object store and host list on LISTEN; HOSTS is a file with the initial list."""
    state = platform_module.Platform(platform_module.load_hosts(hosts), hosts_lag_s)
    serve(platform_module.platform_app(state), listen)


def engine(
    listen: str,
    *,
    script: str = "arusha",
    slots: int = 16,
    prefill_per_s: float = 20_000.0,
    decode_per_s: float = 400.0,
    cache_tokens: int = 1_000_000,
    enforce_fencing: bool = False,
    crash_text: str = "",
) -> None:
    """Serve a model engine on LISTEN that returns the outputs of SCRIPT; speeds are in tokens/s."""
    settings = EngineSettings(
        slots=slots,
        prefill_per_s=prefill_per_s,
        decode_per_s=decode_per_s,
        cache_tokens=cache_tokens,
        enforce_fencing=enforce_fencing,
        crash_text=crash_text,
    )
    serve(engine_app(Engine(load_script(script), settings)), listen)


def service(
    listen: str,
    script: str = "arusha",
    honour_keys: bool = False,
    enforce_fencing: bool = False,
) -> None:
    """Serve tools and plain paths on LISTEN with the responses of SCRIPT."""
    state = Service(load_script(script), honour_keys, Fencing(enforce_fencing))
    serve(service_app(state), listen)


if __name__ == "__main__":
    fire.Fire({"platform": platform, "engine": engine, "service": service})
