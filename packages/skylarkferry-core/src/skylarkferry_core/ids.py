"""Identifiers used by every process."""

from typing import NewType

import xxhash

ProgramId = NewType("ProgramId", str)
"""Program id, ``<partition>-<hash>``; unique per customer and request key."""
RunId = NewType("RunId", str)
"""One conversation of a program: ``0`` is the root run, ``0.2.1`` one of its sub-agents."""
TurnId = NewType("TurnId", str)
"""Request id of a turn sent by a caller; a later turn refers to the turn that it continues."""
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
"""Name of an entry process, stable across restarts."""
UpstreamId = NewType("UpstreamId", str)
"""Name of an upstream host, stable across restarts."""
Incarnation = NewType("Incarnation", str)
"""One start of a process; each restart creates a new incarnation."""
PartitionNumber = NewType("PartitionNumber", int)
Epoch = NewType("Epoch", int)
"""Fencing number of a partition, incremented at each change of owner."""
Fingerprint = NewType("Fingerprint", str)
"""Hash of a request's content, used to recognise requests that crash upstreams."""
CrashId = NewType("CrashId", str)
"""Identifier of one upstream crash, assigned by the upstream's sidecar."""

_PARTITION_DIGITS = 4


def partition_for(customer: CustomerId, key: RequestKey, partitions: int) -> PartitionNumber:
    """Return the home partition of a request key, in ``range(partitions)``."""
    digest = xxhash.xxh64_intdigest(f"{customer}\x00{key}".encode())
    return PartitionNumber(digest % partitions)


def program_id_for(customer: CustomerId, key: RequestKey, partitions: int) -> ProgramId:
    """Return the program id of a customer's request key; the result is deterministic."""
    partition = partition_for(customer, key, partitions)
    digest = xxhash.xxh3_128_hexdigest(f"{customer}\x00{key}".encode())
    return ProgramId(f"{partition:0{_PARTITION_DIGITS}d}-{digest}")


def partition_of(program_id: ProgramId) -> PartitionNumber:
    """Return the partition in a program id; raise ``ValueError`` if there is none."""
    prefix, separator, _ = program_id.partition("-")
    if not separator:
        raise ValueError(program_id)
    return PartitionNumber(int(prefix))


def call_id_for(
    program_id: ProgramId, run_id: RunId, step: int, index: int, attempt: int
) -> CallId:
    """Return the id of one attempt at call ``index`` in step ``step`` of a run."""
    return CallId(f"{program_id}/{run_id}/{step}.{index}.{attempt}")


def program_of(call_id: CallId) -> ProgramId:
    """Return the program that a call belongs to."""
    return ProgramId(call_id.partition("/")[0])


def fingerprint_of(content: bytes) -> Fingerprint:
    """Return the fingerprint of a request's content."""
    return Fingerprint(xxhash.xxh3_128_hexdigest(content))
