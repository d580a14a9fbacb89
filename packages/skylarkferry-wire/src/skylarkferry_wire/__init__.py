"""gRPC methods between skylarkferry processes, with MessagePack messages."""
