"""Edits accepted by real entries, during a platform outage and across a restart."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan, Not

from skylarkferry_standins.child_processes import wait_until
from skylarkferry_standins.deployment import OPERATOR_TOKEN


def add_comment(client, comment, section="sites"):
    """Append a comment to a section; return the response."""
    stored = client.get(f"/v1/config/{section}")
    headers = {"If-Match": stored.headers["etag"], "Idempotency-Key": comment}
    text = stored.text + f"// {comment}\n"
    return client.put(f"/v1/config/{section}", content=text, headers=headers)


def document_version(entry):
    with entry.client() as client:
        return client.get("/healthz").json()["document_version"]


def read_sites(entry):
    with entry.client(OPERATOR_TOKEN) as client:
        return client.get("/v1/config/sites").text


def test_edit_with_a_lost_platform_answer_is_applied_once_at_every_entry(arusha):
    first, second = arusha.entries.values()
    with first.client(OPERATOR_TOKEN) as client:
        arusha.set_platform_faults(lose_answers=1)
        accepted = add_comment(client, "lost")
    assert_that(accepted.status_code, Equals(200))
    version = accepted.json()["version"]
    wait_until(lambda: document_version(second) == version, "the second entry to apply the edit")
    assert_that(read_sites(second).count("// lost"), Equals(1))


def test_accepted_edit_survives_an_outage_and_a_restart(arusha):
    first, second = arusha.entries.values()
    with first.client(OPERATOR_TOKEN) as client:
        version = add_comment(client, "kept").json()["version"]
        arusha.set_platform_faults(outage="refusing")
        refused = add_comment(client, "refused")
    assert_that(refused.json()["code"], Equals("platform_unavailable"))
    assert_that(document_version(first), Equals(version))
    second.process.kill()
    second.process.restart()
    second.process.wait_ready()
    assert_that(document_version(second), Equals(0))
    arusha.set_platform_faults()
    wait_until(
        lambda: document_version(second) >= version, "the restarted entry to load the document"
    )
    assert_that(document_version(first), Not(LessThan(version)))
    for entry in (first, second):
        assert_that(read_sites(entry).count("// kept"), Equals(1))
        assert_that(read_sites(entry).count("// refused"), Equals(0))
