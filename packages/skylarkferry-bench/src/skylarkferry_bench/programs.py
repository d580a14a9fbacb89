"""State of the running programs of a simulated entry."""

from skylarkferry_bench.workloads import ProgramSpec, RunSpec
from skylarkferry_core.ids import RunId, UpstreamId


class Run:
    """A run in progress: one agent's conversation."""

    def __init__(self, spec: RunSpec, run_id: RunId, parent: "Run | None") -> None:
        self.spec = spec
        self.run_id = run_id
        self.parent = parent
        self.turn = 0
        self.prompt_tokens = spec.prefix_tokens + spec.input_tokens
        self.last_upstream = UpstreamId("")
        self.attempts = 0
        self.outage_attempts = 0
        self.kv_token_s = 0.0
        self.held_s = 0.0

    def record_held(self, seconds: float) -> None:
        """Add the KV memory held during a turn and the pause after it."""
        self.held_s += seconds
        self.kv_token_s += (self.prompt_tokens - self.spec.prefix_tokens) * seconds


class Program:
    """A program in progress; ``work_s`` is the time of its calls and pauses without queueing."""

    def __init__(self, spec: ProgramSpec, accepted_at: float) -> None:
        self.spec = spec
        self.accepted_at = accepted_at
        self.work_s = 0.0
        self.slot_s = 0.0
        self.calls = 0
        self.runs = 0
        self.closed = False
        self.upstreams: set[UpstreamId] = set()

    def record_call(self, slot_s: float) -> None:
        """Add a call that occupied a slot for ``slot_s`` seconds."""
        self.calls += 1
        self.work_s += slot_s
        self.slot_s += slot_s

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the deadline."""
        return self.accepted_at + self.spec.deadline_s - now
