"""Edits of the document that real entries race on, apply and never lose."""

import threading

import httpx
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_standins.child_processes import wait_until
from skylarkferry_standins.deployment import OPERATOR_TOKEN

EDITS = 10


def section(client, name):
    response = client.get(f"/v1/config/{name}")
    response.raise_for_status()
    return response.text, response.headers["etag"]


def put(client, name, text, etag):
    return client.put(f"/v1/config/{name}", content=text.encode(), headers={"If-Match": etag})


def versions(deployment):
    return [
        httpx.get(f"{entry.url}/healthz").json()["document_version"]
        for entry in deployment.entries.values()
    ]


def edit_until_accepted(entry, mark, accepted):
    """Append a comment, over as many conflicts as it takes."""
    with entry.client(OPERATOR_TOKEN) as client:
        while True:
            text, etag = section(client, "sites")
            response = put(client, "sites", f"{text}// {mark}\n", etag)
            if response.status_code != httpx.codes.CONFLICT:
                response.raise_for_status()
                accepted.append(mark)
                return


def test_operators_that_race_lose_no_accepted_edit_and_all_entries_apply_them(arusha):
    entries = list(arusha.entries.values())
    accepted = []
    threads = [
        threading.Thread(
            target=edit_until_accepted, args=(entries[number % 2], f"edit-{number}", accepted)
        )
        for number in range(EDITS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert_that(len(accepted), Equals(EDITS))
    wait_until(lambda: set(versions(arusha)) == {1 + EDITS}, "all entries to apply all edits")
    with entries[0].client(OPERATOR_TOKEN) as client:
        text, _ = section(client, "sites")
    assert_that([text.count(f"// {mark}\n") for mark in accepted], Equals([1] * EDITS))


def test_an_accepted_edit_outlives_its_entry_and_an_outage(arusha):
    first, second = arusha.entries.values()
    accepted = []
    edit_until_accepted(first, "kept", accepted)
    first.process.kill()
    arusha.set_platform_faults(outage="refusing")
    arusha.set_platform_faults()
    first.process.restart()
    wait_until(lambda: set(versions(arusha)) == {2}, "both entries to apply the edit")
    with second.client(OPERATOR_TOKEN) as client:
        text, _ = section(client, "sites")
    assert_that(text.endswith("// kept\n"), Equals(True))
