"""One run: a world, callers and a plan of faults, then recovery and the checks."""

import random
import tempfile
from pathlib import Path

import anyio
import msgspec

from skylarkferry_soak.callers import Caller, GatewayEndpoint, LoadBalancer
from skylarkferry_soak.checks import Finding, findings
from skylarkferry_soak.injection import FaultInjector
from skylarkferry_soak.observations import Observations, RoutePrefix
from skylarkferry_soak.plans import Fault, fault_plan
from skylarkferry_soak.testbed import Testbed, running

RECOVER_S = 12.0
"""Time after the last fault by which every gateway serves again (the platform's bound)."""
_START_S = 30.0
"""Time for all processes to start on a busy machine; only a broken start takes longer."""
_SETTLE_S = 1.0
"""Time after the recovery in which requests that were refused would still run."""
_POLL_S = 0.1


class Size(msgspec.Struct, frozen=True):
    """How large and long a run is."""

    length_s: float = 20.0
    gateways: int = 3
    callers: int = 12


class Report(msgspec.Struct):
    """What a run gave."""

    seed: int
    findings: list[Finding]
    attempts: int
    served: int
    runs: int
    faults: list[Fault]
    directory: str


async def run_seed(seed: int, size: Size, directory: Path | None = None) -> Report:
    """Run one seed and return what was found; logs stay in ``directory``."""
    place = directory or Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    observations = Observations()
    faults = fault_plan(seed, size.length_s)
    async with running(place, observations, size.gateways) as testbed:
        found = await _play(testbed, observations, faults, size, seed)
    found += findings(observations)
    served = sum(item.status == 200 and item.is_whole for item in observations.attempts)
    return Report(
        seed, found, len(observations.attempts), served, len(observations.runs), faults, str(place)
    )


async def _play(
    testbed: Testbed, observations: Observations, faults: list[Fault], size: Size, seed: int
) -> list[Finding]:
    rng = random.Random(seed)
    endpoints = [gateway.endpoint for gateway in testbed.gateways]
    balancer = LoadBalancer(endpoints, rng)
    prober = Caller("probe", balancer, observations, rng)
    for endpoint in endpoints:
        if not await _serves(prober, endpoint, _START_S):
            return [Finding("starts", f"{endpoint.name} does not serve after {_START_S:g} s")]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(balancer.run)
        for number in range(size.callers):
            caller = Caller(
                f"c{number}", balancer, observations, random.Random(seed * 1_000 + number)
            )
            tasks.start_soon(caller.run)
        await FaultInjector(testbed, observations, prober, rng).run(faults)
        lost = [item.name for item in endpoints if not await _serves(prober, item, RECOVER_S)]
        await anyio.sleep(_SETTLE_S)
        tasks.cancel_scope.cancel()
    return [Finding("recovers", f"{name} does not serve after {RECOVER_S:g} s") for name in lost]


async def _serves(prober: Caller, endpoint: GatewayEndpoint, patience_s: float) -> bool:
    """Tell whether a gateway serves a plain request before its time is up."""
    with anyio.move_on_after(patience_s):
        while True:
            attempt = await prober.ask(endpoint, RoutePrefix.GET)
            if attempt.status == 200 and attempt.is_whole:
                return True
            await anyio.sleep(_POLL_S)
    return False
