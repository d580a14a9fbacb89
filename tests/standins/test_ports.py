import socket

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_standins import ports
from skylarkferry_standins.ports import PortBlocks


@pytest.fixture
def small_blocks(monkeypatch):
    """Blocks of ten ports that the tests' own process does not use."""
    monkeypatch.setattr(ports, "_FIRST_PORT", 11_000)
    monkeypatch.setattr(ports, "_BLOCK_PORTS", 10)
    monkeypatch.setattr(ports, "_MAX_OWN_BLOCKS", 3)


def close(*blocks):
    for item in blocks:
        for guard in item.guards:
            guard.close()


def test_processes_are_given_different_addresses(small_blocks):
    first, second = PortBlocks(), PortBlocks()
    addresses = [item.free_address() for _ in range(40) for item in (first, second)]
    close(first, second)
    mine, others = set(addresses[::2]), set(addresses[1::2])
    assert_that((len(mine), len(others), mine & others), Equals((27, 27, set())))


def test_addresses_are_not_repeated_until_all_were_given(small_blocks):
    blocks = PortBlocks()
    addresses = [blocks.free_address() for _ in range(28)]
    close(blocks)
    assert_that((len(set(addresses)), addresses[27]), Equals((27, addresses[0])))


def test_address_in_use_is_left_out(small_blocks):
    first, second = PortBlocks(), PortBlocks()
    taken = first.free_address()
    close(first)
    with socket.socket() as user:
        host, _, port = taken.rpartition(":")
        user.bind((host, int(port)))
        addresses = {second.free_address() for _ in range(27)}
    close(second)
    assert_that(taken in addresses, Equals(False))
