"""Benchmarks with real processes on loopback; each prints a table. policy writes docs/plots/policy-PROFILE.svg."""
import argparse
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

import fleetlib as fl
import svgplot

PROFILES = {
    # the users' current sizes; knee and base belong to the stand-in; rate is online requests per second
    "kivu": {"zones": ["kigali-1", "kigali-2", "kigali-3"], "sides": 12, "rate": 60, "tokens": 24,
             "batch_tokens": 40, "batch_words": 40, "model": "counter-lm", "service": "counter"},
    "lonestar": {"zones": ["austin-1", "austin-2", "waco", "temple"], "sides": 18, "rate": 60,
                 "tokens": 10, "batch_tokens": 24, "batch_words": 80, "model": "cheque-reader",
                 "service": "cheque"},
}
BASE_MS, KNEE = 20.0, 16.0
BASE_PORT = 7800


class Bench:
    """A fleet of one profile: a control member, an entry, and a side for each engine."""

    def __init__(self, folder, profile, document):
        self.fleet = fl.Fleet(folder)
        self.profile = profile
        self.folder = pathlib.Path(folder)
        self.entry = f"127.0.0.1:{BASE_PORT + 10}"
        self.engines = [f"127.0.0.1:{BASE_PORT + 60 + i}" for i in range(profile["sides"])]
        self.document = document

    def settings(self, name, body):
        common = {"name": name, "heartbeat_ms": 250, "log": {"level": "warn", "target": "stderr"},
                  "control": [{"id": 1, "address": f"127.0.0.1:{BASE_PORT}"}]}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps({**common, **body}))
        return path

    def start(self):
        zones = self.profile["zones"]
        for i, address in enumerate(self.engines):
            self.fleet.engine(f"engine-{i}", address, "--base-ms", str(BASE_MS), "--knee",
                              str(KNEE))
        control = self.settings("control", {
            "role": "control", "peer_listen": f"127.0.0.1:{BASE_PORT}",
            "operator_listen": f"127.0.0.1:{BASE_PORT + 1}",
            "data_folder": str(self.folder / "data")})
        fl.command("format", "--settings", control, "--member", 1)
        self.fleet.role("control", "control", control)
        for i, address in enumerate(self.engines):
            path = self.settings(f"side-{i}", {
                "role": "side", "zone": zones[i % len(zones)],
                "operator_listen": f"127.0.0.1:{BASE_PORT + 100 + i}",
                "upstreams": [{"service": self.profile["service"], "address": address,
                               "gate_listen": f"127.0.0.1:{BASE_PORT + 30 + i}"}]})
            self.fleet.role("side", f"side-{i}", path)
        entry = self.settings("entry", {
            "role": "entry", "zone": zones[0], "http_listen": self.entry,
            "operator_listen": f"127.0.0.1:{BASE_PORT + 11}"})
        self.fleet.role("entry", "entry", entry)
        fl.wait_healthy(f"127.0.0.1:{BASE_PORT + 11}")
        document = self.folder / "document.json"
        document.write_text(json.dumps(self.document))
        fl.command("submit", "--wait", "--entry", self.entry, document)

    def tokens(self):
        return sum(fl.request_json(engine, "GET", "/counts")[1]["tokens"]
                   for engine in self.engines)

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *_):
        self.fleet.stop_all()


def document_for(profile, **changes):
    return {"service": profile["service"], "version": 1, "owner": "bench",
            "models": [{"name": profile["model"], "version": "1"}],
            "work": [{"name": "online", "class": "online", "between_tokens_ms": 44},
                     {"name": "batch", "class": "batch"}], **changes}


def saturate(bench, profile):
    """Submits enough batch items to keep every gate busy for the whole run."""
    for lot in range(4):
        fl.submit_job(bench.entry, "bench", f"lot-{lot}", profile["service"],
                      fl.items(profile["model"], 6000, tokens=profile["batch_tokens"],
                               words=profile["batch_words"]).replace("image", f"image {lot}"))


def run_variant(name, profile, seed, seconds, warm):
    """Runs one variant; returns online latencies and batch tokens per second."""
    changes = {"learn_limit": False, "max_concurrent": 24} if name == "static limit" else {}
    with tempfile.TemporaryDirectory(prefix="papayarack-bench-") as folder:
        with Bench(folder, profile, document_for(profile, **changes)) as bench:
            direct = name == "no gate"
            batch = None
            if direct:
                batch = subprocess.Popen(
                    [str(fl.LOAD), "--target", ",".join(bench.engines), "--model",
                     profile["model"], "--seconds", str(warm + seconds), "--tokens",
                     str(profile["batch_tokens"]), "--closed", str(40 * profile["sides"])],
                    stdout=subprocess.PIPE)
            elif name != "no batch":
                saturate(bench, profile)
            time.sleep(warm)
            target = ",".join(bench.engines) if direct else bench.entry
            before, began = bench.tokens(), time.monotonic()
            online = fl.load_result(fl.load(target, profile["model"], profile["rate"], seconds,
                                            seed, profile["tokens"]))
            elapsed, produced = time.monotonic() - began, bench.tokens() - before
            if batch:
                fl.load_result(batch)
            online_tokens = online["between_tokens_ms"]["count"] + online["whole"]
            return {"first_p99": online["first_token_ms"]["p99"],
                    "first_p50": online["first_token_ms"]["p50"],
                    "between_p95": online["between_tokens_ms"]["p95"],
                    "lost": online["requests"] - online["whole"],
                    "batch_rate": max(0.0, (produced - online_tokens) / elapsed),
                    "online_rate": online_tokens / elapsed}


def policy(arguments):
    profile = PROFILES[arguments.profile]
    capacity = profile["sides"] * KNEE / (BASE_MS / 1000)
    variants = ["no batch", "no gate", "static limit", "ours"]
    results = {name: [] for name in variants}
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        for name in variants:
            results[name].append(run_variant(name, profile, seed, arguments.seconds,
                                             arguments.warm))
    print(f"{arguments.profile}: {profile['sides']} replicas, seeds {arguments.seed} to "
          f"{arguments.seed + arguments.seeds - 1}, {arguments.seconds} s each; medians over "
          f"seeds, ratios pair by pair to no batch of the same seed\n")
    print("| variant | first token p99 ms | ratio | between tokens p95 ms | ratio | batch tokens/s "
          "| of unused capacity | lost |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    rows = []
    for name in variants:
        runs, bases = results[name], results["no batch"]
        median = lambda key: statistics.median(run[key] for run in runs)
        ratio = lambda key: statistics.median(run[key] / max(0.001, base[key])
                                              for run, base in zip(runs, bases))
        share = statistics.median(run["batch_rate"] / (capacity - run["online_rate"])
                                  for run in runs)
        rows.append((name, ratio("first_p99"), ratio("between_p95"), share))
        print(f"| {name} | {median('first_p99'):.1f} | {ratio('first_p99'):.2f} | "
              f"{median('between_p95'):.1f} | {ratio('between_p95'):.2f} | "
              f"{median('batch_rate'):.0f} | {share:.2f} | {sum(r['lost'] for r in runs)} |")
    svgplot.bars(fl.ROOT / f"docs/plots/policy-{arguments.profile}.svg",
                 f"{arguments.profile}: ratios to no batch, and batch's share of unused capacity",
                 ["first token p99", "between tokens p95", "batch share"], rows)


def path(arguments):
    """Measures the latency that entry and gate add, alternating with direct calls in one run."""
    profile = {**PROFILES["kivu"], "sides": 2}
    with tempfile.TemporaryDirectory(prefix="papayarack-bench-") as folder:
        with Bench(folder, profile, document_for(profile)) as bench:
            ratios = []
            for round_number in range(5):
                seed = arguments.seed + round_number
                direct = fl.load_result(fl.load(",".join(bench.engines), profile["model"], 20, 4,
                                                seed, 4, 1))
                ours = fl.load_result(fl.load(bench.entry, profile["model"], 20, 4, seed, 4, 1))
                ratios.append((direct["total_ms"], ours["total_ms"]))
            for quantile in ("p50", "p99"):
                added = statistics.median(o[quantile] - d[quantile] for d, o in ratios)
                part = statistics.median(o[quantile] / d[quantile] for d, o in ratios)
                print(f"| {quantile} | added {added:.2f} ms | ratio {part:.3f} |")


def main():
    parser = argparse.ArgumentParser(prog="tools/bench")
    parser.add_argument("name", choices=["policy", "path"])
    parser.add_argument("--profile", choices=PROFILES, default="kivu")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--warm", type=float, default=6)
    arguments = parser.parse_args()
    {"policy": policy, "path": path}[arguments.name](arguments)
    return 0


if __name__ == "__main__":
    sys.exit(main())
