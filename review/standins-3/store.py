"""Stand-in for the platform's metadata store: HTTP/1.1, as PROTOCOL.md and LETTER-5.md describe it."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

ANSWER_S = 0.004
PAGE_ITEMS = 500


class Store:
    """Keeps all entries and their history; `put` and `remove` return when the change is acknowledged."""

    def __init__(self, addr):
        self.addr = addr
        self.revision = 100
        self.era = 1
        self.entries = {}  # key -> (value, revision, created)
        self.history = []  # (revision, key, value or None, created)
        self.oldest = self.revision
        self.changed = asyncio.Event()
        self.is_silent = False
        self.server = None
        self.connections = set()
        self.copy = None
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.addr)

    def put(self, key, value):
        if isinstance(value, (dict, list)):
            value = json.dumps(value).encode()
        self.revision += 1
        old = self.entries.get(key)
        created = old[2] if old else self.revision
        self.entries[key] = (value, self.revision, created)
        self._record(key, value, created)
        return self.revision

    def remove(self, key):
        if key not in self.entries:
            return None
        self.revision += 1
        del self.entries[key]
        self._record(key, None, 0)
        return self.revision

    def _record(self, key, value, created):
        self.history.append((self.revision, key, value, created))
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def take_copy(self):
        self.copy = (self.revision, dict(self.entries), list(self.history))

    async def go_away(self):
        """Closes all connections and refuses new ones."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def return_from_copy(self):
        """Comes back with the contents of the copy, in the next era."""
        revision, entries, history = self.copy
        self.revision, self.entries, self.history = revision, dict(entries), list(history)
        self.era += 1
        await self.start()

    def go_silent(self):
        """Accepts connections and calls, and answers none."""
        self.is_silent = True

    def answer_again(self):
        """Serves new connections again; those on which an answer was lost are closed."""
        self.is_silent = False
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line = head.split(b"\r\n", 1)[0].decode()
                _, target, _ = line.split(" ")
                self.calls += 1
                answer = await self._answer(target)
                if self.is_silent or answer is None:
                    await asyncio.sleep(3600)
                status, body = answer
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, target):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if self.is_silent:
            return None
        await asyncio.sleep(ANSWER_S)
        if url.path == "/api/kv-range":
            return "200 OK", self._range(query)
        if url.path == "/api/kv-watch":
            return await self._watch(query)
        return "404 Not Found", {}

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.entries if key.startswith(prefix) and key > after)
        items = [_item(key, *self.entries[key]) for key in keys[:PAGE_ITEMS]]
        return {"items": items, "has_more": len(keys) > PAGE_ITEMS, "store_revision": self.revision}

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        era = self.era
        loop = asyncio.get_running_loop()
        until = loop.time() + min(int(query.get("wait_ms", 0)), 30_000) / 1000
        if after < self.oldest or after > self.revision:
            return "410 Gone", {}
        while True:
            if era != self.era or self.is_silent:
                return None
            events = [change for change in self.history if change[0] > after and change[1].startswith(prefix)]
            left = until - loop.time()
            if events or left <= 0:
                body = {"events": [_event(*change) for change in events], "store_revision": self.revision}
                return "200 OK", body
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


def _item(key, value, revision, created):
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": revision,
        "created_rev": created,
        "lease": 0,
    }


def _event(revision, key, value, created):
    if value is None:
        return {"key": key, "revision": revision, "tombstone": True}
    return _item(key, value, revision, created)
