"""Minimal HTTP/1.1 on asyncio streams, for stand-ins and clients."""

import asyncio


class Message:
    """Head of a request or a response, with the body if it has been read."""

    def __init__(self, first_line, headers):
        self.first_line, self.headers, self.body = first_line, headers, b""

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.first_line.split(" ", 2)[1])

    @property
    def method(self):
        return self.first_line.split(" ", 1)[0]

    @property
    def target(self):
        return self.first_line.split(" ", 2)[1]


async def read_head(reader):
    """Reads a head. Returns None if the peer closed before the first byte; raises ValueError for other bytes."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise ValueError("the connection ended within a head: %r" % error.partial[:80]) from error
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers)


async def read_body(reader, message):
    """Reads the body that the head of a message announces."""
    if "chunked" in message.get("transfer-encoding").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
        message.body = body
    else:
        length = int(message.get("content-length", "0") or 0)
        message.body = await reader.readexactly(length) if length else b""
    return message


def request_bytes(method, target, host, headers=(), body=b""):
    lines = ["%s %s HTTP/1.1" % (method, target), "Host: %s" % host]
    lines += ["%s: %s" % item for item in headers]
    if body:
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def response_bytes(status, headers=(), body=b"", without_body=False):
    lines = ["HTTP/1.1 %d X" % status]
    lines += ["%s: %s" % item for item in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (b"" if without_body else body)
