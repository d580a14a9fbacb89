"""Concurrent document edits at real entries, and edits around crashes and outages."""

import threading

import httpx
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_standins.child_processes import wait_until
from skylarkferry_standins.deployment import OPERATOR_TOKEN

EDIT_COUNT = 10


def read_section(client, name):
    response = client.get(f"/v1/config/{name}")
    response.raise_for_status()
    return response.text, response.headers["etag"]


def write_section(client, name, text, etag):
    return client.put(f"/v1/config/{name}", content=text.encode(), headers={"If-Match": etag})


def document_versions(deployment):
    return [
        httpx.get(f"{entry.url}/healthz").json()["document_version"]
        for entry in deployment.entries.values()
    ]


def edit_until_accepted(entry, comment, accepted):
    """Append a comment to the sites section, retrying on conflicts."""
    with entry.client(OPERATOR_TOKEN) as client:
        while True:
            text, etag = read_section(client, "sites")
            response = write_section(client, "sites", f"{text}// {comment}\n", etag)
            if response.status_code != httpx.codes.CONFLICT:
                response.raise_for_status()
                accepted.append(comment)
                return


def test_concurrent_edits_are_all_applied_at_every_entry(arusha):
    entries = list(arusha.entries.values())
    accepted = []
    threads = [
        threading.Thread(
            target=edit_until_accepted, args=(entries[number % 2], f"edit-{number}", accepted)
        )
        for number in range(EDIT_COUNT)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert_that(len(accepted), Equals(EDIT_COUNT))
    wait_until(
        lambda: set(document_versions(arusha)) == {1 + EDIT_COUNT}, "all entries to apply all edits"
    )
    with entries[0].client(OPERATOR_TOKEN) as client:
        text, _ = read_section(client, "sites")
    assert_that([text.count(f"// {comment}\n") for comment in accepted], Equals([1] * EDIT_COUNT))


def test_accepted_edit_survives_a_killed_entry_and_an_outage(arusha):
    first, second = arusha.entries.values()
    accepted = []
    edit_until_accepted(first, "kept", accepted)
    first.process.kill()
    arusha.set_platform_faults(outage="refusing")
    arusha.set_platform_faults()
    first.process.restart()
    wait_until(lambda: set(document_versions(arusha)) == {2}, "both entries to apply the edit")
    with second.client(OPERATOR_TOKEN) as client:
        text, _ = read_section(client, "sites")
    assert_that(text.endswith("// kept\n"), Equals(True))
