"""What the models say and the services answer, read from a JSON script."""

import re
from importlib import resources
from pathlib import Path
from typing import Any

import msgspec

AGENT_MARKER = re.compile(r"\[agent:([^\]]+)\]")
TURN_PLACEHOLDER = "{turn}"


class ScriptedCall(msgspec.Struct, forbid_unknown_fields=True):
    """A tool or sub-agent the model asks for."""

    name: str
    arguments: dict[str, Any] = {}


class ScriptedTurn(msgspec.Struct, forbid_unknown_fields=True):
    """One output of a model; ``{turn}`` in texts and arguments becomes the turn's number."""

    text: str = ""
    text_repeat: int = 1
    calls: list[ScriptedCall] = []


class ScriptedAgent(msgspec.Struct, forbid_unknown_fields=True):
    """An agent's outputs in order; the last one repeats, so an agent that ends on a call loops."""

    turns: list[ScriptedTurn]


class ScriptedAnswer(msgspec.Struct, forbid_unknown_fields=True):
    """What a service answers on a path, after ``seconds``."""

    result: Any
    seconds: float = 0.0


class Script(msgspec.Struct, forbid_unknown_fields=True):
    """Agents by name and answers of services by path."""

    agents: dict[str, ScriptedAgent] = {}
    answers: dict[str, ScriptedAnswer] = {}


class OutputCall(msgspec.Struct):
    """A call in a model's output; ``arguments`` is JSON text."""

    name: str
    arguments: str


class Output(msgspec.Struct):
    """What a model says in one turn."""

    text: str
    calls: list[OutputCall]


def load_script(name: str) -> Script:
    """Read a script by its path, or a shipped one by its name (``arusha``, ``lisboa``)."""
    path = Path(name)
    if path.suffix != ".json":
        shipped = resources.files("skylarkferry_standins") / "scripts" / f"{name}.json"
        return msgspec.json.decode(shipped.read_bytes(), type=Script)
    return msgspec.json.decode(path.read_bytes(), type=Script)


def parse_agent_name(system: str) -> str | None:
    """Return the agent that a system message names as its first token."""
    match = AGENT_MARKER.match(system.lstrip())
    return match.group(1) if match else None


def scripted_output(script: Script, agent: str, turn: int) -> Output | None:
    """Return what the agent says at ``turn``, counted from 0; ``None`` for an unknown agent."""
    scripted = script.agents.get(agent)
    if scripted is None:
        return None
    index = min(turn, len(scripted.turns) - 1)
    return _output(scripted.turns[index], turn)


def _output(scripted: ScriptedTurn, turn: int) -> Output:
    text = scripted.text.replace(TURN_PLACEHOLDER, str(turn)) * scripted.text_repeat
    calls = [OutputCall(call.name, _arguments(call, turn)) for call in scripted.calls]
    return Output(text, calls)


def _arguments(call: ScriptedCall, turn: int) -> str:
    encoded = msgspec.json.encode(call.arguments).decode()
    return encoded.replace(TURN_PLACEHOLDER, str(turn))
