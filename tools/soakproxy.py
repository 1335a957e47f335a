"""Proxies of the soak test, which injects faults on connections."""

import random
import socket
import threading
import time

ENDLESS = "EndlessBytes-EndlessBytes-"  # No caller may receive any of it.
# Share of the requests answered so in mode "endless". Where a replica's reports fail, few requests reach it.
ENDLESS_SHARES = {b"POST": 0.5, b"GET ": 0.05}
ENDLESS_BEGINNINGS = [
    b"HTTP/1.1 200 OK\r\nFiller: ",
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nResponse-Seal: seal\r\n\r\nid: 1\ndata: ",
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nResponse-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n: ",
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n",
    b"HTTP/1.1 500 Internal Server Error\r\n\r\n",
]


class Proxy:
    """Forwards connections to an entry or engine; can delay or reset them, stall one direction, or answer without end."""

    def __init__(self, listen, target):
        self.address, self.target, self.mode = listen[0], target, "pass"
        self.endless = 0  # Requests answered without end.
        self.server = socket.create_server(listen, backlog=128)
        threading.Thread(target=self.accept, daemon=True).start()

    def close(self):
        self.mode = "closed"
        self.server.shutdown(socket.SHUT_RDWR)
        self.server.close()

    def accept(self):
        while self.mode != "closed":
            try:
                caller, _ = self.server.accept()
                peer = socket.create_connection(self.target, timeout=2)
            except OSError:
                continue
            peer.settimeout(None)
            for source, sink, to_target in ((caller, peer, True), (peer, caller, False)):
                threading.Thread(target=self.pump, args=(source, sink, to_target), daemon=True).start()

    def pump(self, source, sink, to_target):
        try:
            while data := source.recv(4096):
                mode = self.mode
                if mode == "reset":
                    break
                if mode == "endless" and to_target and random.random() < ENDLESS_SHARES.get(data[:4], 0):
                    self.answer_endlessly(source)
                if mode == "delay":
                    time.sleep(0.05)
                if mode == "silent" and not to_target:
                    time.sleep(3)
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
                end.close()
            except OSError:
                pass

    def answer_endlessly(self, caller):
        """Sends bytes that never become a valid answer. Ends with an OSError, when the caller closes the connection."""
        self.endless += 1
        caller.sendall(random.choice(ENDLESS_BEGINNINGS))
        interval_s = random.choice([0, 0.02])
        while True:
            caller.sendall(ENDLESS.encode() * 256)
            time.sleep(interval_s)
