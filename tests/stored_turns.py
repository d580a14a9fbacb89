"""Turns as rows of the store, written without a gateway."""

import msgspec

CHUNK_BYTES = 45_000


def put_turn(store, turn_id, content, ancestors=(), chain_bytes=None):
    """Write one turn; without ``chain_bytes``, as an earlier version of the gateway did."""
    previous = ancestors[-1] if ancestors else ""
    chunks = [content[at : at + CHUNK_BYTES] for at in range(0, max(len(content), 1), CHUNK_BYTES)]
    turn = [previous, list(ancestors), chunks[0]]
    if chain_bytes is not None:
        turn.append(chain_bytes)
    store.put("turns", turn_id, "0000", msgspec.msgpack.encode([turn, len(chunks) - 1]))
    for number, chunk in enumerate(chunks[1:], 1):
        store.put("turns", turn_id, f"{number:04d}", chunk)


def put_chain(store, name, contents, *, is_measured=True):
    """Write a chain of turns; return the id of the last one."""
    turn_ids = [f"{name}-{number}" for number in range(len(contents))]
    size = 0
    for number, content in enumerate(contents):
        size += len(content)
        put_turn(
            store,
            turn_ids[number],
            content,
            turn_ids[max(number - 64, 0) : number],
            size if is_measured else None,
        )
    return turn_ids[-1]
