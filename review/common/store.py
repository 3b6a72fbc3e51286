"""
Stand-in of the platform's store, as a process of its own: the project's stand-in.

Each file in the folder of its settings whose name is a key with `:` for `/`, such as
`op:config`, is written to the store when it changes; that is the operator. While the folder has a
file `down`, the store answers 503 to all calls, and its leases pause.
"""

import asyncio
import json
import pathlib
import sys
import time
from urllib.parse import urlsplit

from tornado.httpserver import HTTPServer

from yuccarelay.adapters.clock import MonotonicClock
from yuccarelay.standins import platform_store

POLL_S = 0.02


async def main():
    with open(sys.argv[1]) as file:
        settings = json.load(file)
    standin = platform_store.PlatformStoreStandin(MonotonicClock())
    standin.start()
    address = urlsplit(f'//{settings["address"]}')
    app = standin.server.request_callback
    HTTPServer(app).listen(address.port, address=address.hostname)
    known = {}
    last = time.monotonic()
    while True:
        standin.down = (pathlib.Path(settings['operator']) / 'down').exists()
        now = time.monotonic()
        if standin.down:
            for lease in standin.memory.leases.values():
                lease.deadline_ms += (now - last) * 1000
        last = now
        for path in sorted(pathlib.Path(settings['operator']).iterdir()):
            if path.name == 'down' or path.name.endswith('.part'):
                continue
            data = path.read_bytes()
            if known.get(path.name) != data:
                known[path.name] = data
                standin.write(path.name.replace(':', '/'), data)
        await asyncio.sleep(POLL_S)


asyncio.run(main())
