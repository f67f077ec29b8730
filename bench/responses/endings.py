#!/usr/bin/env python3
"""How requests end whose responses are unfinished, and how responses fare that are good but slow.

Plays backends, discovery and clients on loopback against one real node and prints a line for each kind of
response: how many requests were served whole, ended so that the client can tell, or had no end in time. A
response in time ends up to 0.55 s after its request's; of a long one only the first bytes are due by then.

    bench/responses/endings.py NODE [REPEATS]        # NODE: the program, as build/shorelead
"""
import collections
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time

WAIT = 0.6  # s, what clients wait
LATE = 0.55       # s after that
WATCHED = 6.0     # s after that for which a client goes on reading
BACKENDS = 9
CLASSES = {"look": "pure", "check": "token", "charge": "side_effect"}

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TO_THE_CLOSE = b"HTTP/1.1 200 OK\r\n\r\n"
OLD = b"HTTP/1.0 200 OK\r\n\r\n"


def length(size):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size


def chunk(size):
    return b"%x\r\n" % size + b"a" * size + b"\r\n"


def pieces(head, part, count, pause, last=b"", rest=None):
    """(pause before it in s, bytes) of each write; `rest`: a pause in the middle."""
    plan = [(0, head)]
    for n in range(count):
        plan.append((rest if rest and n == count // 2 else pause, part))
    return plan + [(0, last)]


# kind: (writes, what is sent again and again after them, close at the end)
UNFINISHED = {
    "chunked, head alone": ([(0, CHUNKED)], b"", False),
    "chunked, inside a chunk": ([(0, CHUNKED + b"11\r\nmade")], b"", False),
    "chunked, no last chunk": ([(0, CHUNKED + chunk(17))], b"", False),
    "chunked, in trailers": ([(0, CHUNKED + chunk(17) + b"0\r\nT: x")], b"", False),
    "chunked, late": ([(0.5, CHUNKED + chunk(17))], b"", False),
    "chunked, 40 KB": ([(0, CHUNKED + chunk(40000))], b"", False),
    "to the close": ([(0, TO_THE_CLOSE + b"made")], b"", False),
    "HTTP/1.0": ([(0, OLD + b"made")], b"", False),
    "length 60": ([(0, length(60) + b"made")], b"", False),
    "length 100000, 17 bytes": ([(0, length(100000) + b"a" * 17)], b"", False),
    "chunked, trickles": ([(0, CHUNKED)], chunk(1), False),
    "trailers trickle": ([(0, CHUNKED + chunk(17) + b"0\r\n")], b"T: x\r\n", False),
    "to the close, trickles": ([(0, TO_THE_CLOSE)], b"a", False),
}
GOOD = {
    "short": (pieces(length(300), b"a" * 300, 1, 0), b"", False),
    "chunked, 10 pieces in 0.3 s": (pieces(CHUNKED, chunk(50), 10, 0.03, b"0\r\n\r\n"), b"", False),
    "to the close, 10 pieces in 0.3 s": (pieces(TO_THE_CLOSE, b"a" * 50, 10, 0.03), b"", True),
    "length 200 KB in 1 s": (pieces(length(200000), b"a" * 10000, 20, 0.05), b"", False),
    "chunked 200 KB in 1 s": (pieces(CHUNKED, chunk(10000), 20, 0.05, b"0\r\n\r\n"), b"", False),
    "to the close 200 KB in 1 s": (pieces(TO_THE_CLOSE, b"a" * 10000, 20, 0.05), b"", True),
    "chunked 160 KB at 64 kB/s": (pieces(CHUNKED, chunk(3200), 50, 0.05, b"0\r\n\r\n"), b"", False),
    "chunked 80 KB at 20 kB/s": (pieces(CHUNKED, chunk(1000), 80, 0.05, b"0\r\n\r\n"), b"", False),
    "length 80 KB at 20 kB/s": (pieces(length(80000), b"a" * 1000, 80, 0.05), b"", False),
    "length 200 KB, pause of 2 s": (pieces(length(200000), b"a" * 10000, 20, 0.02, rest=2), b"", False),
    "chunked 200 KB, pause of 2 s": (pieces(CHUNKED, chunk(10000), 20, 0.02, b"0\r\n\r\n", 2), b"", False),
}
KINDS = {**UNFINISHED, **GOOD}
NAMES = list(KINDS)


def listen():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(256)
    return listener


def serve(listener, handle):
    def run():
        while True:
            connection, _ = listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=guarded, args=(handle, connection), daemon=True).start()
    threading.Thread(target=run, daemon=True).start()


def guarded(handle, connection):
    try:
        handle(connection)
    except OSError:
        pass
    connection.close()


def backend(connection):
    while True:
        text = connection.recv(65536)
        if not text:
            return
        target = text.split(b" ", 2)[1]
        if target.startswith(b"/-/"):
            connection.sendall(length(0))
            continue
        writes, again, close = KINDS[NAMES[int(target.split(b"/")[2])]]
        for pause, part in writes:
            time.sleep(pause)
            connection.sendall(part)
        end = time.time() + 15
        while again and time.time() < end:
            time.sleep(0.05)
            connection.sendall(again)
        if close:
            return


class Discovery:
    def __init__(self, backends):
        hosts = [{"host": "s-%d" % n, "dial": "127.0.0.1:%d" % one.getsockname()[1], "site": "a", "class": "m",
                  "block": 0, "health": "ready", "share": 1.0, "born_ms": 0} for n, one in enumerate(backends)]
        self.known = {"seq": 7, "whole": True, "hosts": hosts}
        self.text = json.dumps(self.known).encode() + b"\n"

    def __call__(self, connection):
        if b"watch=1" not in connection.recv(4096):
            return connection.sendall(length(len(self.text)) + self.text)
        connection.sendall(CHUNKED + b"%x\r\n" % len(self.text) + self.text + b"\r\n")
        while True:
            time.sleep(2)
            connection.sendall(b"1\r\n\n\r\n")


def whole(text):
    """Whether this is a whole response, as far as the bytes alone tell."""
    head, found, body = text.partition(b"\r\n\r\n")
    if not found:
        return False
    fields = head.lower()
    if b"transfer-encoding: chunked" in fields:
        return body.endswith(b"0\r\n\r\n")
    return b"content-length: %d" % len(body) in fields.split(b"\r\n")


def ask(port, kind, request_class, number):
    """Returns how one request ended."""
    client = socket.create_connection(("127.0.0.1", port))
    effect = CLASSES[request_class]
    fields = "Host: a\r\nX-Request-ID: %x\r\nX-Timeout-Ms: %d\r\n" % (number, WAIT * 1000)
    if effect == "token":
        fields += "Idempotency-Key: k%x\r\n" % number
    method = "GET" if effect == "pure" else "POST"
    body = "" if effect == "pure" else "Content-Length: 1\r\n\r\nx"
    path = "/%s/%d" % (request_class, NAMES.index(kind))
    client.sendall(("%s %s HTTP/1.1\r\n%s%s%s" % (method, path, fields, body, "" if body else "\r\n")).encode())
    due = time.time() + WAIT
    text = b""
    while not whole(text):
        client.settimeout(max(0.001, due + WATCHED - time.time()))
        try:
            part = client.recv(262144)
        except socket.timeout:
            return "no end"
        except OSError:
            part = b""
        if not part:
            break
        text += part
    in_time = time.time() <= due + LATE
    if not whole(text):
        return "cut in time" if in_time else "cut later"
    if not text.startswith(b"HTTP/1.1 200"):
        return "error in time" if in_time else "error later"
    return "served" if in_time else "served later"


def settings():
    services = [{"Aim": 410, "DedupWindow": 5000, "Effect": effect, "GiveUp": 1000, "Group": "all", "LateValue": 0,
                 "Name": name, "Streamed": False, "Worth": 5} for name, effect in CLASSES.items()]
    return {"Allowed": {"Cancel": True, "ConnIdle": 60000, "ConnectTimeout": 200, "CpuUsPerRequest": 0,
                        "CpuUsPerS": 400000, "MaxRetryAfter": 600, "MostTries": 5, "OpenCap": 20000,
                        "ParallelTries": True, "PeerMessages": False, "Probing": True, "RetryAfter": True,
                        "StreamsPerConn": 100},
            "Azs": ["a"], "Callers": {"MarksRetry": False}, "Instances": 1, "Me": 0, "Locality": 0,
            "Costs": {"Connection": 0, "CrossZone": 0.005, "Handshake": 0, "LateFail": 0.023, "Peer": 0,
                      "Probe": 0.002, "RegistryMode": 0.01, "Waste": 0.047},
            "MachineTypes": ["m"], "OverShareWorth": 0.1, "RegistryMode": "subscribe",
            "Invariants": {"AnswerSlack": 5, "AskEvery": 10000, "ColdShare": 0.32, "Fall": 1000, "FallMultiple": 3,
                           "StopSendingWithin": 250, "WarmUp": 8900},
            "Report": {"Fields": [], "Source": "none"}, "Services": services, "Specifics": {"WarmKeys": False},
            "Tenants": [], "Tick": 1, "Weights": "none", "Workload": "proxy", "WorthBy": "request"}


def main():
    program, repeats = sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 4
    backends = [listen() for _ in range(BACKENDS)]
    for one in backends:
        serve(one, backend)
    discovery_listener = listen()
    discovery = Discovery(backends)
    serve(discovery_listener, discovery)
    with listen() as free:
        port = free.getsockname()[1]
    folder = tempfile.mkdtemp()
    config = {"name": "n1", "listen": "127.0.0.1:%d" % port, "seed": "8c1f30d27a5be964",
              "discovery": "127.0.0.1:%d" % discovery_listener.getsockname()[1],
              "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.known,
              "settings": settings()}
    with open(folder + "/config.json", "w", encoding="utf-8") as file:
        json.dump(config, file)
    node = subprocess.Popen([program, "serve"], env=dict(os.environ, NODE_CONFIG=folder + "/config.json", TMPDIR=folder),
                            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    time.sleep(1.5)
    work = [(kind, name) for kind in NAMES for name in CLASSES for _ in range(repeats)]
    random.Random(7).shuffle(work)
    ends = collections.defaultdict(collections.Counter)
    lock = threading.Lock()
    number = iter(range(1, 1 << 30))

    def client():
        while True:
            with lock:
                if not work:
                    return
                kind, name = work.pop()
                mine = next(number)
            end = ask(port, kind, name, mine)
            with lock:
                ends[kind][end] += 1

    clients = [threading.Thread(target=client) for _ in range(8)]
    for one in clients:
        one.start()
    for one in clients:
        one.join()
    node.kill()
    for kind in NAMES:
        print("%-11s %-34s %s" % ("unfinished" if kind in UNFINISHED else "good", kind,
                                  ", ".join("%d %s" % (n, end) for end, n in sorted(ends[kind].items()))))


main()
