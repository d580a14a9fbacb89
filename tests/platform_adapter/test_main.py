import os
import shlex
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, Not

from boot_files import BOOT_TOML
from skylarkferry_platform import boot
from skylarkferry_platform.process import EXIT_SETTINGS
from skylarkferry_standins.ports import free_address

ROOT = Path(__file__).resolve().parents[2]


def test_hangup_during_the_start_does_not_end_the_process(tmp_path):
    """The settings file is a pipe, so that the process waits in its start for the settings.

    It is gone afterwards, so that the settings stay invalid.
    """
    path = tmp_path / "boot.toml"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "skylarkferry_platform"],
        env={**os.environ, boot.PATH_VARIABLE: str(path)},
        stderr=subprocess.DEVNULL,
    )
    with path.open("w") as settings:
        process.send_signal(signal.SIGHUP)
        path.unlink()
        settings.write("invalid")
    assert_that(process.wait(), Equals(EXIT_SETTINGS))


def test_process_that_cannot_listen_logs_its_start_and_the_error_that_ended_it(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(BOOT_TOML.replace("10.1.0.38:", "192.0.2.1:"))  # no address of this host
    ended = subprocess.run(
        [sys.executable, "-m", "skylarkferry_platform"],
        env={**os.environ, boot.PATH_VARIABLE: str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
        check=False,
    )
    assert_that(ended.returncode, Equals(1))
    assert_that(ended.stdout, Contains("[886] gateway_starting"))
    failure = next(line for line in ended.stdout.splitlines() if "[887] gateway_failed" in line)
    assert_that(failure, Contains("OSError"))


def test_hangup_is_ignored_before_any_module_but_those_of_the_interpreter_is_imported():
    """Until then it ends the process, so that each import before it is a risk."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
    python, *words = deploy["roles"]["gateway"]["run"].split()
    assert_that(python, Equals("python3"))
    ended = subprocess.run(
        [sys.executable, "-X", "importtime", *words],
        env={"PYTHONPATH": os.pathsep.join(sys.path)},
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        check=False,
    )
    imported = [line.rpartition("|")[2].strip() for line in ended.stderr.splitlines()]
    before = imported[: imported.index("signal") + 1]
    unwanted = {name for name in before if name.partition(".")[0] not in sys.stdlib_module_names}
    assert_that(unwanted - {"skylarkferry_platform", "imported package"}, Equals(set()))
    assert_that(before, Not(Contains("site")))


@pytest.mark.parametrize("closed", [">&-", "<&-", "<&- >&- 2>&-"])
def test_process_starts_although_standard_descriptors_are_closed(closed):
    """It gets as far as the settings, of which there are none."""
    command = shlex.join([sys.executable, "-m", "skylarkferry_platform"])
    environment = {key: value for key, value in os.environ.items() if key != boot.PATH_VARIABLE}
    ended = subprocess.run(
        ["sh", "-c", f"exec {command} {closed}"],
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        check=False,
    )
    assert_that(ended.returncode, Equals(EXIT_SETTINGS))


def test_connection_does_not_get_the_descriptor_of_a_closed_standard_output():
    """The log would be written into it."""
    code = (
        "import os; from skylarkferry_platform import __main__ as start;"
        "start.open_standard_descriptors(); os._exit(os.open(os.devnull, os.O_RDONLY))"
    )
    command = shlex.join([sys.executable, "-c", code])
    opened = subprocess.run(["sh", "-c", f"exec {command} <&- >&- 2>&-"], check=False)
    assert_that(opened.returncode, GreaterThan(2))


@pytest.mark.parametrize("following", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_signals_during_a_planned_stop_do_not_end_the_process_otherwise(tmp_path, following):
    path = tmp_path / "boot.toml"
    settings = BOOT_TOML.replace("10.1.0.38:8149", free_address())
    settings = settings.replace("10.1.0.38:8141", free_address()).replace("10.1.0.38", "127.0.0.1")
    path.write_text(settings.replace("graceS = 8", "graceS = 1"))
    process = subprocess.Popen(
        [sys.executable, "-m", "skylarkferry_platform"],
        env={**os.environ, boot.PATH_VARIABLE: str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    with process:
        next(line for line in process.stdout if "gateway_started" in line)
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            process.send_signal(following)
            time.sleep(0.001)
    assert_that(process.returncode, Equals(0))
