#!/usr/bin/env python3
"""Generates the settings of both example fleets in examples/. Run it after changing a value here."""
import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent / "examples"


def write(folder, name, settings):
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{name}.json").write_text(json.dumps(settings, indent=2) + "\n")


def fleet(user, base, zones, service, sides, entries=3, controls=3):
    folder = ROOT / user / "settings"
    control = [{"id": i + 1, "address": f"127.0.0.1:{base + i}"} for i in range(controls)]
    common = {"control": control, "heartbeat_ms": 300, "log": {"level": "info", "target": "stderr"}}
    for i in range(controls):
        write(folder, f"control-{i + 1}", {
            "role": "control", "name": f"{user}-control-{i + 1}", "zone": zones[i % len(zones)],
            "peer_listen": control[i]["address"], "operator_listen": f"127.0.0.1:{base + 100 + i}",
            "data_folder": f"data/{user}-control-{i + 1}", "platform_list": f"data/{user}-vms.json",
            **common})
    for i in range(entries):
        write(folder, f"entry-{i + 1}", {
            "role": "entry", "name": f"{user}-entry-{i + 1}", "zone": zones[i % len(zones)],
            "http_listen": f"127.0.0.1:{base + 10 + i}",
            "operator_listen": f"127.0.0.1:{base + 110 + i}", **common})
    for i in range(sides):
        write(folder, f"side-{i + 1:02}", {
            "role": "side", "name": f"{user}-side-{i + 1:02}", "zone": zones[i % len(zones)],
            "operator_listen": f"127.0.0.1:{base + 120 + i}", "lease_ms": 4000,
            "upstreams": [{"service": service, "address": f"127.0.0.1:{base + 60 + i}",
                           "gate_listen": f"127.0.0.1:{base + 30 + i}"}],
            **common})


fleet("kivu", 7200, ["kigali-1", "kigali-2", "kigali-3"], "counter", 12)
fleet("lonestar", 7500, ["austin-1", "austin-2", "waco", "temple"], "cheque", 18)
