#!/usr/bin/env python3
"""Processor time of a node's start, by the number of backends in its list: up to listening, and up to the end of its
first request, which it refuses as no list of now has come. Read off the node's own log; the count is of processor time,
so that it says how long a start takes on a share of a core.

    bench/start/start.py [--build FOLDER] [--repeat N] BACKENDS...
"""

import argparse
import json
import pathlib
import re
import socket
import subprocess
import tempfile
import time

SETTINGS = {
    "Instances": 1, "Me": 0, "RegistryMode": "subscribe",
    "Services": [{"Name": "lookup", "Aim": 400, "GiveUp": 1000, "Effect": "pure"}],
    "Allowed": {"Probing": True, "Cancel": True, "MostTries": 3, "ConnIdle": 60000, "ConnectTimeout": 200},
    "Invariants": {"ColdShare": 0.3, "WarmUp": 9000, "FallMultiple": 3, "Fall": 1000, "AskEvery": 10000, "StopSendingWithin": 250},
}
REQUEST = b"GET /lookup/a HTTP/1.1\r\nHost: a\r\nX-Request-ID: 1\r\nX-Timeout-Ms: 800\r\n\r\n"
GIVE_UP_S = 10


def free_port():
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


def configuration(port, backends):
    hosts = [{"host": f"s-{n:08x}", "dial": f"127.0.0.1:{9 + n % 9}", "site": "a", "health": "ready", "born_ms": 0} for n in range(backends)]
    return {"name": "n1", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{free_port()}", "seed": "1f",
            "limits": {"sockets": 1024}, "known": {"seq": 0, "whole": True, "hosts": hosts}, "settings": SETTINGS}


def ask(port):
    until = time.monotonic() + GIVE_UP_S
    while time.monotonic() < until:
        try:
            with socket.create_connection(("127.0.0.1", port)) as client:
                client.sendall(REQUEST)
                return client.recv(4096)
        except ConnectionRefusedError:
            time.sleep(0.001)
    raise SystemExit("the node does not listen")


def start(node, backends):
    """Returns the two times, in milliseconds."""
    with tempfile.TemporaryDirectory() as folder:
        port = free_port()
        path = pathlib.Path(folder) / "config.json"
        path.write_text(json.dumps(configuration(port, backends)))
        log = pathlib.Path(folder) / "log"
        with log.open("w") as output:
            process = subprocess.Popen([node, "serve", "--config", path], stdout=output, stderr=output)
            try:
                ask(port)
            finally:
                process.kill()
                process.wait()
        text = log.read_text()
    return [float(re.search(what + r" ([\d.]+) ms of processor time", text)[1]) for what in ("listening after", "first request over: .*, after")]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build")
    parser.add_argument("--repeat", type=int, default=5)
    parser.add_argument("backends", type=int, nargs="+")
    options = parser.parse_args()
    node = str(pathlib.Path(options.build) / "shorelead")
    for backends in options.backends:
        times = [start(node, backends) for _ in range(options.repeat)]
        listening, first = zip(*times)
        print(f"{backends} backends: listening after {min(listening):.1f} to {max(listening):.1f} ms, first request over after {min(first):.1f} to {max(first):.1f} ms")


if __name__ == "__main__":
    main()
