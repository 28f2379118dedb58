"""Read the heads of requests, for replicas that write their answers byte by byte."""

import trio

READ_BYTES = 65536
HEAD_END = b"\r\n\r\n"


async def receive_head(stream: trio.SocketStream, received: bytes = b"") -> bytes:
    """Return the bytes of a connection up to a head's end or later; empty if it ends before."""
    while HEAD_END not in received:
        data = await stream.receive_some(READ_BYTES)
        if not data:
            return b""
        received += data
    return received
