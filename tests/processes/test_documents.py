"""An accepted edit through real entries, in an outage and over a restart."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan, Not

from skylarkferry_standins.child_processes import wait_until
from skylarkferry_standins.deployment import OPERATOR_TOKEN


def edit(client, comment, section="sites"):
    """Add a comment to a section; return the response."""
    stored = client.get(f"/v1/config/{section}")
    headers = {"If-Match": stored.headers["etag"], "Idempotency-Key": comment}
    text = stored.text + f"// {comment}\n"
    return client.put(f"/v1/config/{section}", content=text, headers=headers)


def version_at(entry):
    with entry.client() as client:
        return client.get("/healthz").json()["document_version"]


def section_at(entry):
    with entry.client(OPERATOR_TOKEN) as client:
        return client.get("/v1/config/sites").text


def test_an_edit_whose_answer_was_lost_is_in_force_once_everywhere(arusha):
    first, second = arusha.entries.values()
    with first.client(OPERATOR_TOKEN) as client:
        arusha.set_platform_faults(lose_answers=1)
        accepted = edit(client, "lost")
    assert_that(accepted.status_code, Equals(200))
    version = accepted.json()["version"]
    wait_until(lambda: version_at(second) == version, "the edit to be in force")
    assert_that(section_at(second).count("// lost"), Equals(1))


def test_an_edit_survives_an_outage_right_after_it_and_a_restart(arusha):
    first, second = arusha.entries.values()
    with first.client(OPERATOR_TOKEN) as client:
        version = edit(client, "kept").json()["version"]
        arusha.set_platform_faults(outage="refusing")
        refused = edit(client, "refused")
    assert_that(refused.json()["code"], Equals("platform_unavailable"))
    assert_that(version_at(first), Equals(version))
    second.process.kill()
    second.process.restart()
    second.process.wait_ready()
    assert_that(version_at(second), Equals(0))
    arusha.set_platform_faults()
    wait_until(lambda: version_at(second) >= version, "the restarted entry to load the document")
    assert_that(version_at(first), Not(LessThan(version)))
    for entry in (first, second):
        assert_that(section_at(entry).count("// kept"), Equals(1))
        assert_that(section_at(entry).count("// refused"), Equals(0))
