"""Proxy whose open connections can go silent."""

import asyncio


class SilencingProxy:
    """Passes connections to the store on. Silenced ones stay open and carry nothing any more; new ones work."""

    def __init__(self, address, target):
        self.address, self.target, self.links = address, target, []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def silence(self):
        for link in self.links:
            link["silent"] = True
        return len(self.links)

    async def serve(self, reader, writer):
        link = {"silent": False}
        self.links.append(link)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.copy(reader, target_writer, link), self.copy(target_reader, writer, link))

    async def copy(self, reader, writer, link):
        try:
            while data := await reader.read(65536):
                if not link["silent"]:
                    writer.write(data)
        except (ConnectionError, OSError):
            pass
        if not link["silent"]:
            writer.close()
