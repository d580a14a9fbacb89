"""Encoded sizes and encoding costs of journal records, heartbeats and orders."""

from collections.abc import Iterator

import msgspec

from skylarkferry_bench import samples
from skylarkferry_bench.resources import Measurement, cpu_us_per_call
from skylarkferry_bench.stream_peer import entry_heartbeat, sidecar_heartbeat
from skylarkferry_core.frames import Dispatch, EntryBatch
from skylarkferry_core.messages import Order
from skylarkferry_core.records import PartitionRecord, Record, Segment
from skylarkferry_wire.codec import decoder, encode

REPEATS = 20_000
ORDER_REPEATS = 500
SEGMENT_RECORDS = 64
ORDER_TOKENS = (1_000, 8_000, 250_000)


def measure_codec() -> Iterator[Measurement]:
    """Measure the encoding and decoding of each message."""
    for name, record in samples.build_records(1).items():
        yield from _measure_record(name, record)
    yield Measurement("heartbeat of an entry", len(encode(entry_heartbeat(1_000))), "bytes")
    yield Measurement("heartbeat of a sidecar", len(encode(sidecar_heartbeat(1_000))), "bytes")
    yield from _measure_segment()
    for tokens in ORDER_TOKENS:
        yield from _measure_order(tokens)


def _build_partition_record(record: Record) -> PartitionRecord:
    return PartitionRecord(samples.FENCE.partition, samples.FENCE.epoch, record)


def _measure_record(name: str, record: Record) -> Iterator[Measurement]:
    partition_record = _build_partition_record(record)
    encoded = encode(partition_record)
    decode = decoder(PartitionRecord)
    yield Measurement(f"journal record {name}", len(encoded), "bytes")
    yield Measurement(
        f"journal record {name}, encode",
        cpu_us_per_call(lambda: encode(partition_record), REPEATS),
        "us",
    )
    decode_us = cpu_us_per_call(lambda: decode(encoded), REPEATS)
    yield Measurement(f"journal record {name}, decode", decode_us, "us")


def _measure_segment() -> Iterator[Measurement]:
    partition_records = tuple(
        _build_partition_record(samples.build_turn_record(number))
        for number in range(SEGMENT_RECORDS)
    )
    segment = Segment(samples.INCARNATION, 1, partition_records)
    repeats = REPEATS // SEGMENT_RECORDS
    encode_us = cpu_us_per_call(lambda: encode(segment), repeats) / SEGMENT_RECORDS
    yield Measurement("segment of 64 turns, encode a record", encode_us, "us")
    decode = decoder(Segment)
    body = encode(segment)
    decode_us = cpu_us_per_call(lambda: decode(body), repeats) / SEGMENT_RECORDS
    yield Measurement("segment of 64 turns, decode a record", decode_us, "us")


def _measure_order(tokens: int) -> Iterator[Measurement]:
    batch = EntryBatch((Dispatch(_build_order(tokens)),))
    body = encode(batch)
    decode = decoder(EntryBatch)
    name = f"order with {tokens} tokens of history"
    yield Measurement(name, len(body), "bytes")
    yield Measurement(
        f"{name}, encode", cpu_us_per_call(lambda: encode(batch), ORDER_REPEATS), "us"
    )
    yield Measurement(f"{name}, decode", cpu_us_per_call(lambda: decode(body), ORDER_REPEATS), "us")
    as_json_us = cpu_us_per_call(lambda: msgspec.json.encode(batch), ORDER_REPEATS)
    yield Measurement(f"{name}, encode as JSON", as_json_us, "us")


def _build_order(tokens: int) -> Order:
    return samples.build_order(1, tokens)
