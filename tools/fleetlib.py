"""Starts and stops the processes of a demo or benchmark run, each by its own process id."""
import http.client
import json
import pathlib
import signal
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
PAPAYARACK = BUILD / "src/app/papayarack"
ENGINE = BUILD / "standins/standin_engine"
PLAIN = BUILD / "standins/standin_plain"
LOAD = BUILD / "bench/papayarack_load"


class Fleet:
    """The processes started by a run, by name."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.processes = {}

    def start(self, name, command):
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [str(part) for part in command], cwd=self.folder, stdout=log, stderr=log)
        log.close()

    def role(self, role, name, settings_file):
        self.start(name, [PAPAYARACK, role, "--settings", settings_file])

    def engine(self, name, address, *options):
        self.start(name, [ENGINE, "--listen", address, *options])

    def kill(self, name):
        """Kills a process with SIGKILL."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self, name, timeout_s=40):
        """Stops a process with SIGTERM; returns its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=timeout_s)

    def stop_all(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()


def request(address, method, path, body=None, headers=None, timeout=60):
    """Sends an HTTP request; returns status and body bytes."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def request_json(address, method, path, body=None, headers=None):
    data = body if body is None or isinstance(body, (bytes, str)) else json.dumps(body)
    status, answer = request(address, method, path, data, headers)
    return status, json.loads(answer)


def wait_healthy(address, timeout_s=20):
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        try:
            if request(address, "GET", "/healthz", timeout=2)[0] == 200:
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise RuntimeError(f"{address} did not become healthy")


def command(*arguments, check=True):
    """Runs a papayarack command; returns its output."""
    done = subprocess.run([str(PAPAYARACK), *map(str, arguments)], capture_output=True, text=True)
    if check and done.returncode != 0:
        raise RuntimeError(f"{arguments}: exit {done.returncode}: {done.stderr}")
    return done.stdout


def load(targets, model, rate, seconds, seed=1, tokens=16, burst=3):
    """Starts the load generator; load_result waits for it and returns the report."""
    return subprocess.Popen(
        [str(LOAD), "--target", targets, "--model", model, "--rate", str(rate), "--seconds",
         str(seconds), "--seed", str(seed), "--tokens", str(tokens), "--burst", str(burst)],
        stdout=subprocess.PIPE)


def load_result(process):
    output, _ = process.communicate(timeout=180)
    return json.loads(output)


def items(model, count, failing=(), tokens=10, words=0):
    lines = []
    for i in range(count):
        kind = "unreadable image" if i in failing else "image"
        content = f"{kind} {i}" + " x" * words
        lines.append(json.dumps({
            "custom_id": f"item-{i}", "method": "POST", "url": "/v1/chat/completions",
            "body": {"model": model, "max_tokens": tokens,
                     "messages": [{"role": "user", "content": content}]}}))
    return "\n".join(lines) + "\n"


def submit_job(entry, team, key, service, content):
    headers = {"X-Papayarack-Team": team}
    status, file = request_json(entry, "POST", "/v1/files", content.encode(), headers)
    if status != 200:
        raise RuntimeError(f"upload refused: {file}")
    headers["Idempotency-Key"] = key
    status, job = request_json(entry, "POST", "/v1/batches",
                               {"input_file_id": file["id"], "service": service}, headers)
    if status != 200:
        raise RuntimeError(f"job refused: {job}")
    return job


def job_state(entry, team, job_id):
    return request_json(entry, "GET", f"/v1/batches/{job_id}", headers={"X-Papayarack-Team": team})[1]


def result_ids(entry, team, file_id):
    _, body = request(entry, "GET", f"/v1/files/{file_id}/content",
                      headers={"X-Papayarack-Team": team})
    return [json.loads(line)["custom_id"] for line in body.decode().splitlines()]
