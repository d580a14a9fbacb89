"""JSON scripts that define the outputs of models and the responses of services."""

import re
from importlib import resources
from pathlib import Path
from typing import Any

import msgspec

AGENT_MARKER = re.compile(r"\[agent:([^\]]+)\]")
TURN_PLACEHOLDER = "{turn}"


class ScriptedCall(msgspec.Struct, forbid_unknown_fields=True):
    """A call of a tool or sub-agent that the model requests."""

    name: str
    arguments: dict[str, Any] = {}


class ScriptedTurn(msgspec.Struct, forbid_unknown_fields=True):
    """One output of a model; ``{turn}`` in texts and arguments is replaced by the turn number."""

    text: str = ""
    text_repeat: int = 1
    calls: list[ScriptedCall] = []


class ScriptedAgent(msgspec.Struct, forbid_unknown_fields=True):
    """An agent's outputs by turn; the last one repeats, so a call in it makes the agent loop."""

    turns: list[ScriptedTurn]


class ScriptedAnswer(msgspec.Struct, forbid_unknown_fields=True):
    """The result that a service returns for a path after ``seconds``."""

    result: Any
    seconds: float = 0.0


class Script(msgspec.Struct, forbid_unknown_fields=True):
    """Agents by name and service responses by path."""

    agents: dict[str, ScriptedAgent] = {}
    answers: dict[str, ScriptedAnswer] = {}


class OutputCall(msgspec.Struct):
    """A call in a model's output; ``arguments`` is JSON text."""

    name: str
    arguments: str


class Output(msgspec.Struct):
    """A model's output in one turn."""

    text: str
    calls: list[OutputCall]


def load_script(name: str) -> Script:
    """Read a script from a ``.json`` path, or a packaged one by name (``arusha``, ``lisboa``)."""
    path = Path(name)
    if path.suffix != ".json":
        packaged = resources.files("skylarkferry_standins") / "scripts" / f"{name}.json"
        return msgspec.json.decode(packaged.read_bytes(), type=Script)
    return msgspec.json.decode(path.read_bytes(), type=Script)


def parse_agent_name(system: str) -> str | None:
    """Return the agent named by the marker that starts a system message, or ``None``."""
    match = AGENT_MARKER.match(system.lstrip())
    return match.group(1) if match else None


def scripted_output(script: Script, agent: str, turn: int) -> Output | None:
    """Return the agent's output at ``turn``, counted from 0; ``None`` for an unknown agent."""
    scripted = script.agents.get(agent)
    if scripted is None:
        return None
    index = min(turn, len(scripted.turns) - 1)
    return _expand_turn(scripted.turns[index], turn)


def _expand_turn(scripted: ScriptedTurn, turn: int) -> Output:
    text = scripted.text.replace(TURN_PLACEHOLDER, str(turn)) * scripted.text_repeat
    calls = [OutputCall(call.name, _encode_arguments(call, turn)) for call in scripted.calls]
    return Output(text, calls)


def _encode_arguments(call: ScriptedCall, turn: int) -> str:
    encoded = msgspec.json.encode(call.arguments).decode()
    return encoded.replace(TURN_PLACEHOLDER, str(turn))
