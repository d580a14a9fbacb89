"""Identifiers used by every process."""

from typing import NewType

import xxhash

ProgramId = NewType("ProgramId", str)
"""Program, as ``<partition>-<hash>``; one per customer and request key."""
RunId = NewType("RunId", str)
"""One conversation of a program: ``0`` is the caller's, ``0.2.1`` a sub-agent of it."""
TurnId = NewType("TurnId", str)
"""Request id of a turn that a caller drives; later turns name it as the one they continue."""
CallId = NewType("CallId", str)
"""One model, tool or service call of a program."""
RequestKey = NewType("RequestKey", str)
"""The caller's idempotency key of a program."""
CustomerId = NewType("CustomerId", str)
AgentName = NewType("AgentName", str)
ModelName = NewType("ModelName", str)
ToolName = NewType("ToolName", str)
ServiceName = NewType("ServiceName", str)
PoolName = NewType("PoolName", str)
TeamName = NewType("TeamName", str)
SiteName = NewType("SiteName", str)
FailureDomain = NewType("FailureDomain", str)
NodeId = NewType("NodeId", str)
"""An entry process's name, stable over restarts."""
UpstreamId = NewType("UpstreamId", str)
"""An upstream host's name, stable over restarts."""
Incarnation = NewType("Incarnation", str)
"""One life of a process; a restart makes a new one."""
PartitionNumber = NewType("PartitionNumber", int)
Epoch = NewType("Epoch", int)
"""Fencing number of a partition; each change of owner adds one."""
Fingerprint = NewType("Fingerprint", str)
"""Hash of a request's content, used to recognise one that crashes upstreams."""
CrashId = NewType("CrashId", str)
"""One crash of an upstream, as the sidecar before it names it."""

_PARTITION_DIGITS = 4


def partition_for(customer: CustomerId, key: RequestKey, partitions: int) -> PartitionNumber:
    """Return the home partition of a request key, in ``range(partitions)``."""
    digest = xxhash.xxh64_intdigest(f"{customer}\x00{key}".encode())
    return PartitionNumber(digest % partitions)


def program_id_for(customer: CustomerId, key: RequestKey, partitions: int) -> ProgramId:
    """Return the only program id that a customer's request key can have."""
    partition = partition_for(customer, key, partitions)
    digest = xxhash.xxh3_128_hexdigest(f"{customer}\x00{key}".encode())
    return ProgramId(f"{partition:0{_PARTITION_DIGITS}d}-{digest}")


def partition_of(program_id: ProgramId) -> PartitionNumber:
    """Return the partition a program id carries; raise ``ValueError`` when it carries none."""
    prefix, separator, _ = program_id.partition("-")
    if not separator:
        raise ValueError(program_id)
    return PartitionNumber(int(prefix))


def call_id_for(
    program_id: ProgramId, run_id: RunId, step: int, index: int, attempt: int
) -> CallId:
    """Return the id of attempt ``attempt`` at call ``index`` of step ``step`` of a run."""
    return CallId(f"{program_id}/{run_id}/{step}.{index}.{attempt}")


def program_of(call_id: CallId) -> ProgramId:
    """Return the program a call belongs to."""
    return ProgramId(call_id.partition("/")[0])


def fingerprint_of(content: bytes) -> Fingerprint:
    """Return the fingerprint of a request's content."""
    return Fingerprint(xxhash.xxh3_128_hexdigest(content))
