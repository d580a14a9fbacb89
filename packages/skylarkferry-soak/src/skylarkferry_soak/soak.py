"""One soak run: callers under a plan of faults, then recovery and the checks."""

import random
import tempfile
from pathlib import Path

import anyio
import msgspec

from skylarkferry_soak.callers import Caller, GatewayEndpoint, LoadBalancer
from skylarkferry_soak.checks import UNDISTURBED_S, Finding, find_violations
from skylarkferry_soak.crashes import CrashingRequestCaller, UpstreamCrasher
from skylarkferry_soak.injection import FaultInjector
from skylarkferry_soak.observations import Observations, RoutePrefix
from skylarkferry_soak.plans import Fault, fault_plan
from skylarkferry_soak.testbed import Testbed, running_testbed

RECOVERY_TIMEOUT_S = 12.0
"""Time after the last fault within which every gateway serves again (the platform's bound)."""
_START_TIMEOUT_S = 30.0
"""Time limit for the start of all processes; on a busy machine, only a failed start exceeds it."""
_SETTLE_S = 1.0
"""Time to wait after the recovery for refused requests that run late, which is a violation."""
_QUIET_S = UNDISTURBED_S + 4.0
"""Time without faults in which a crashing request is still sent: it must have been contained."""
_POLL_S = 0.1


class RunSize(msgspec.Struct, frozen=True):
    """Duration of a run and its number of processes and callers."""

    length_s: float = 20.0
    gateways: int = 3
    callers: int = 12
    crashing_callers: int = 1


class Report(msgspec.Struct):
    """Result of a run."""

    seed: int
    findings: list[Finding]
    attempts: int
    served: int
    runs: int
    faults: list[Fault]
    directory: str


async def run_seed(seed: int, size: RunSize, directory: Path | None = None) -> Report:
    """Run one seed and return its report; logs are kept in ``directory``."""
    log_directory = directory or Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    observations = Observations()
    faults = fault_plan(seed, size.length_s)
    async with running_testbed(log_directory, observations, size.gateways) as testbed:
        violations = await _run_faults(testbed, observations, faults, size, seed)
    violations += find_violations(observations)
    served = sum(item.status == 200 and item.is_complete for item in observations.attempts)
    return Report(
        seed,
        violations,
        len(observations.attempts),
        served,
        len(observations.runs),
        faults,
        str(log_directory),
    )


async def _run_faults(
    testbed: Testbed, observations: Observations, faults: list[Fault], size: RunSize, seed: int
) -> list[Finding]:
    rng = random.Random(seed)
    endpoints = [gateway.endpoint for gateway in testbed.gateways]
    balancer = LoadBalancer(endpoints, rng)
    prober = Caller("probe", balancer, observations, rng)
    for endpoint in endpoints:
        if not await _starts_serving(prober, endpoint, _START_TIMEOUT_S):
            return [
                Finding("starts", f"{endpoint.name} does not serve after {_START_TIMEOUT_S:g} s")
            ]
    crasher = UpstreamCrasher(testbed, observations, random.Random(seed))
    testbed.crash_with(crasher.crash)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(balancer.run)
        for number in range(size.crashing_callers):
            name = f"crashing-{number}"
            caller_rng = random.Random(seed * 1_000 + size.callers + number)
            tasks.start_soon(CrashingRequestCaller(name, balancer, observations, caller_rng).run)
        for number in range(size.callers):
            caller = Caller(
                f"c{number}", balancer, observations, random.Random(seed * 1_000 + number)
            )
            tasks.start_soon(caller.run)
        await FaultInjector(testbed, observations, prober, rng).run(faults)
        unrecovered = [
            item.name
            for item in endpoints
            if not await _starts_serving(prober, item, RECOVERY_TIMEOUT_S)
        ]
        await anyio.sleep(_QUIET_S if size.crashing_callers else _SETTLE_S)
        tasks.cancel_scope.cancel()
    return [
        Finding("recovers", f"{name} does not serve after {RECOVERY_TIMEOUT_S:g} s")
        for name in unrecovered
    ]


async def _starts_serving(prober: Caller, endpoint: GatewayEndpoint, timeout_s: float) -> bool:
    """Return whether a gateway serves a plain request within ``timeout_s``."""
    with anyio.move_on_after(timeout_s):
        while True:
            attempt = await prober.send_to(endpoint, RoutePrefix.GET)
            if attempt.status == 200 and attempt.is_complete:
                return True
            await anyio.sleep(_POLL_S)
    return False
