"""Runs the commands against an HTTP server on loopback."""

import json
from functools import partial

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not, StartsWith

from edge_fakes import BOOTSTRAP, GEARS, MODELS_TEAM, SITES_TEAM, SIZING, TEXTS, running_edge
from skylarkferry_client.main import main
from skylarkferry_core.errors import (
    OutcomeUnknownError,
    OverloadedError,
    PlatformUnavailableError,
)

CLOSED_PORT = 1


@pytest.fixture
def run_command(capsys):
    """Return a function that runs a command and returns its exit code, stdout and stderr."""

    def call(arguments):
        try:
            main(arguments)
        except SystemExit as ended:
            return ended.code or 0
        return 0

    async def run(edge, *arguments, token=MODELS_TEAM):
        url = f"http://127.0.0.1:{CLOSED_PORT},http://127.0.0.1:{edge.port}"
        flags = ["--url", url, "--token", token]
        capsys.readouterr()
        code = await anyio.to_thread.run_sync(partial(call, [*map(str, arguments), *flags]))
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run


def write_section_files(folder, **texts):
    for name, text in (TEXTS | texts).items():
        (folder / f"{name}.jsonc").write_text(text)
    return folder


@pytest.mark.anyio
async def test_program_is_run_shown_listed_and_cancelled(run_command, tmp_path):
    file = tmp_path / "program.jsonc"
    file.write_text(json.dumps(SIZING) + "// sizing")
    async with running_edge() as edge:

        async def finish():
            await edge.programs.watched.wait()
            edge.programs.end(next(iter(edge.programs.views)), "module 4")

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(finish)
            ran = await run_command(edge, "run", file, token=GEARS)
        program_id = next(iter(edge.programs.views))
        shown = await run_command(edge, "show", program_id, token=GEARS)
        listed = await run_command(edge, "programs", "--json", token=GEARS)
        cancelled = await run_command(edge, "cancel", program_id, token=GEARS)
        missing = await run_command(edge, "show", "0001-none", token=GEARS)
    assert_that(ran[:2], Equals((0, "module 4\n")))
    assert_that(shown[1], Contains(program_id))
    assert_that(json.loads(listed[1])["programs"][0]["program_id"], Equals(program_id))
    assert_that(cancelled[0], Equals(0))
    assert_that(missing[0], Equals(3))
    assert_that(missing[2], Contains("not_found, not_run"))
    assert_that(missing[2], Not(Contains("Traceback")))


@pytest.mark.anyio
async def test_answer_of_a_running_program_has_its_own_exit_code(run_command):
    async with running_edge() as edge, edge.client() as client:
        program_id = (await client.post("/v1/programs", json=SIZING)).json()["program_id"]
        code, _, _ = await run_command(edge, "answer", program_id, token=GEARS)
    assert_that(code, Equals(7))


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("failure", "expected"),
    [
        (OverloadedError("full", retry_after_s=2.0), 3),
        (OutcomeUnknownError("lost"), 4),
        (PlatformUnavailableError("down"), 3),
    ],
)
async def test_refusals_and_unknown_outcomes_have_exit_codes(
    run_command, tmp_path, failure, expected
):
    file = tmp_path / "program.jsonc"
    file.write_text(json.dumps(SIZING))
    async with running_edge() as edge:
        edge.programs.failure = failure
        code, _, message = await run_command(edge, "run", file, token=GEARS)
    assert_that(code, Equals(expected))
    assert_that(message, Contains(failure.code.value))


@pytest.mark.anyio
async def test_bootstrap_token_writes_only_the_first_document(run_command, tmp_path):
    folder = write_section_files(tmp_path)
    async with running_edge(loaded=False) as edge:
        written = await run_command(edge, "config", "init", folder, token=BOOTSTRAP)
        repeated = await run_command(edge, "config", "init", folder, token=BOOTSTRAP)
        with_team_token = await run_command(edge, "config", "init", folder, token=MODELS_TEAM)
    assert_that(written[:2], Equals((0, "accepted as document version 1\n")))
    assert_that((repeated[0], with_team_token[0]), Equals((3, 3)))
    assert_that(repeated[2], Contains("unauthenticated"))
    assert_that(edge.numbers(), Contains(507))


@pytest.mark.anyio
async def test_config_set_is_based_on_the_version_that_was_read(run_command, tmp_path):
    file = tmp_path / "models.jsonc"
    async with running_edge() as edge:
        await run_command(edge, "config", "get", "models", "--output", file)
        file.write_text(file.read_text().replace("32000", "64000"))
        edited = await run_command(edge, "config", "set", "models", file)
        conflict = await run_command(edge, "config", "set", "models", file)
        read = await run_command(edge, "config", "get", "models")
        foreign = await run_command(edge, "config", "set", "models", file, token=SITES_TEAM)
        versionless = write_section_files(tmp_path / "..") / "models.jsonc"
        unversioned = await run_command(edge, "config", "set", "models", versionless)
    assert_that(edited[:2], Equals((0, "accepted as document version 2\n")))
    assert_that(conflict[0], Equals(6))
    assert_that(conflict[2], Contains("is at version 2 by team 'models-team'"))
    assert_that(read[1], StartsWith("// skylarkferry section models version 2\n"))
    assert_that(read[1], Contains("64000}} // sizing model"))
    assert_that(read[1].count("// skylarkferry section"), Equals(1))
    assert_that((foreign[0], unversioned[0]), Equals((3, 2)))
    assert_that(unversioned[2], Contains("is at version 2"))


@pytest.mark.anyio
async def test_rejected_edit_reports_section_and_key(run_command, tmp_path):
    file = tmp_path / "pools.jsonc"
    half = TEXTS["pools"].replace('"models": ["calc"]', '"models": ["calc"], "share": 0.5')
    file.write_text(half)
    async with running_edge() as edge:
        code, _, message = await run_command(edge, "config", "set", "pools", file, "--base", 1)
    assert_that(code, Equals(3))
    assert_that(message, Contains("pools.share: expected the shares of model 'calc' to add to 1"))


@pytest.mark.anyio
async def test_config_check_validates_files(run_command, tmp_path):
    folder = write_section_files(
        tmp_path, agents=TEXTS["agents"].replace('["strength"]', '["none"]')
    )
    (tmp_path / "sites.jsonc").write_text('{"arusha": {"failure_domains": 7}}')
    async with running_edge() as edge:
        whole = await run_command(edge, "config", "check", folder)
        one = await run_command(edge, "config", "check", folder / "sites.jsonc")
        (tmp_path / "sites.jsonc").write_text(TEXTS["sites"])
        rest = await run_command(edge, "config", "check", folder)
    assert_that((whole[0], one[0], rest[0]), Equals((2, 2, 2)))
    assert_that(one[2], Contains("sites.arusha.failure_domains: Expected `array`, got `int`"))
    assert_that(rest[2], Contains("agents.sizing.tools: expected a tool, found 'none'"))


@pytest.mark.anyio
async def test_hosts_are_listed_and_drained_and_the_drain_is_in_the_timeline(run_command):
    async with running_edge() as edge:
        listed = await run_command(edge, "hosts")
        drained = await run_command(edge, "drain", "calc-1", "--reason", "disk")
        unknown = await run_command(edge, "drain", "calc-9")
        timeline = await run_command(edge, "timeline", "--since", "5m")
        later = await run_command(edge, "timeline", "--since", "soon")
    assert_that(listed[1], Contains("arusha-a"))
    assert_that((drained[0], unknown[0], later[0]), Equals((0, 3, 2)))
    assert_that(edge.drained, Equals([("calc-1", "disk")]))
    assert_that(timeline[1], Contains("[506] drain_ordered"))


@pytest.mark.anyio
async def test_unreachable_entries_are_reported_in_one_line(run_command):
    async with running_edge() as edge:
        edge.port = CLOSED_PORT
        code, _, message = await run_command(edge, "hosts")
    assert_that(code, Equals(5))
    assert_that(message.count("\n"), Equals(1))
