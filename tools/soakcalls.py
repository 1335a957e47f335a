"""Calls of the soak test's callers, and what arrived of the answers."""

import http.client
import socket

FRONT = 29161
CALL_TIMEOUT_S = 6.0


def call(host, port, method, path, headers=None, body=None, timeout=CALL_TIMEOUT_S):
    """Sends a request; returns (status, body, whole). Status 0 means no response."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        try:
            return response.status, response.read().decode(), True
        except (http.client.IncompleteRead, OSError):
            return response.status, "", False
    except (OSError, http.client.HTTPException):
        return 0, "", False
    finally:
        connection.close()


def connect_slowly(connection):
    """Connects with a small receive buffer, so that what the caller does not read stays with the entry."""
    connection.sock = socket.socket()
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
    connection.sock.settimeout(connection.timeout)
    connection.sock.connect((connection.host, connection.port))


def stream_call(host, headers, path, pause=None):
    """Like call, but also returns what arrived of an answer that broke off. A slow caller calls
    `pause` before each read."""
    connection = http.client.HTTPConnection(host, FRONT, timeout=CALL_TIMEOUT_S)
    status, body = 0, bytearray()
    try:
        if pause:
            connect_slowly(connection)
        connection.request("POST", path, None, headers)
        response = connection.getresponse()
        status = response.status
        while data := response.read1(16384):
            body += data
            if pause:
                pause()
        return status, body.decode(), response.isclosed()
    except (OSError, http.client.HTTPException):
        return status, body.decode(), False
    finally:
        connection.close()


def complete_events(body):
    """(id, data) of each event that arrived completely."""
    for event in body.split("\n\n")[:-1]:
        fields = dict(line.split(": ", 1) for line in event.split("\n"))
        yield int(fields["id"]), fields["data"]
