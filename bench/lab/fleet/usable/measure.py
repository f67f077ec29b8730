#!/usr/bin/env python3
"""Usable sums of a rate on real processes: plays the experiments of this folder several times, each with another
seed, and prints what was let through as a share of the whole, beside equal parts by count and beside no budget
at all on the same schedule. It reads the lab's records alone, never a process's word.

  usable/measure.py [--repeat N] [--build FOLDER] [--node PROGRAM] [--out FOLDER] [NAME ...]

Equal parts by count is simulated: each process has rate and burst divided by the processes it believes alive, a
bucket that begins full; it hears of one that came after 0.3 s, of one that is gone or stands still after the lease
(5 s), of nothing while the store is away or it stands still itself. None lets all through. `over` is the most by
which any window was beyond rate x W + burst, for the real processes as the auditor's rule F1 has it (findings).
"""
import argparse
import collections
import json
import pathlib
import re
import subprocess
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
LEASE, WORD = 5000, 300  # ms
STARTED, KILLED, EXITED, PAUSED, WENT_ON = 0, 3, 5, 6, 7
# Spans of each experiment, ms from the load's beginning, and its change. All processes begin together, so that
# nothing is divided for the first lease: spans begin after that.
PLAN = {
    "calm": ([("calm", 8000, 24000)], None),
    "tight": ([("calm", 8000, 24000)], None),
    "twenty": ([("calm", 8000, 24000)], None),
    "skewed": ([("from 2 s after the first part", 8000, 24000)], None),
    "killed": ([("before", 8000, 12000), ("lease", 12000, 17000), ("after lease + 2 s", 19000, 30000)], 12000),
    "joined": ([("before", 8000, 12000), ("first 2 s", 12000, 14000), ("after 2 s", 14000, 24000)], 12000),
    "paused": ([("before", 8000, 12000), ("still", 12000, 20000), ("after lease + 2 s", 22000, 32000)], 12000),
    "store_away": ([("before", 8000, 12000), ("lease", 12000, 17000), ("reserve", 17500, 72000),
                    ("after 2 s", 74000, 86000)], 12000),
    "store_away_joined": ([("before", 8000, 12000), ("reserve of 7", 17500, 20000), ("reserve of 10", 22000, 42000),
                           ("after 2 s", 44000, 56000)], 12000),
}
AWAY = {"store_away": (12000, 72000), "store_away_joined": (12000, 42000)}


class Bucket:
    """Tokens as they are saved up; begins full."""

    def __init__(self, at):
        self.at, self.tokens = at, float("inf")

    def spend(self, at, rate, burst):
        self.tokens = min(burst, self.tokens + (at - self.at) * rate / 1000)
        self.at = at
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def most_over(times, rate, burst):
    level, last, worst = 0.0, None, 0.0
    for at in times:
        if last is not None:
            level = max(0.0, level - (at - last) * rate / 1000)
        level, last = level + 1, at
        worst = max(worst, level - burst)
    return worst


def believed(run, away):
    """For each process: when it came to believe how many are alive."""
    changes = []
    for e in run["nodes"]:
        at = e["at"] - run["began"]
        if e["what"] in (STARTED, WENT_ON):
            changes.append((max(0, at + WORD), e["node"], 1))
        elif e["what"] in (KILLED, PAUSED):
            changes.append((at + LEASE, e["node"], 0))
    out = []
    alive = set()
    for at, node, there in sorted(changes):
        if away and away[0] <= at < away[1]:
            at = away[1]
        (alive.add if there else alive.discard)(node)
        out.append((at, len(alive)))
    return out


def by_count(asked, run, rule, away):
    counts = believed(run, away)
    stood = collections.defaultdict(list)  # spans in which a process was still, and heard nothing
    for e in run["nodes"]:
        at = e["at"] - run["began"]
        if e["what"] == PAUSED:
            stood[e["node"]].append([at, float("inf")])
        elif e["what"] == WENT_ON and stood[e["node"]]:
            stood[e["node"]][-1][1] = at + WORD
    buckets, taken = {}, []
    for at, node in asked:
        heard = at
        for begin, end in stood[node]:
            if begin <= at < end:
                heard = begin
        count = max([1] + [n for when, n in counts if when <= heard][-1:])
        bucket = buckets.setdefault(node, Bucket(at))
        if bucket.spend(at, rule["whole"] / count, rule["burst"] / count):
            taken.append(at)
    return taken


def until_divided(times, change, whole):
    """From the change until 2 s begin in which nine tenths of the whole are let through, once 2 s had less."""
    fell = False
    for at in range(change, int(max(times, default=0)) - 2000, 50):
        enough = sum(at <= t < at + 2000 for t in times) >= 0.9 * whole * 2
        if enough and fell:
            return (at - change) / 1000
        fell = fell or not enough
    return None


def calls_a_second(folder):
    """Of all processes that ended in good order, by the counters in their logs: mean, and the planner's."""
    all_, planner, most = [], None, 0
    for log in sorted(folder.glob("n*.log")):
        text = log.read_text()
        up, calls = re.findall(r"up_s=([0-9.]+)", text), re.findall(r" calls=([0-9]+)", text)
        if up and calls:
            all_.append(int(calls[-1]) / float(up[-1]))
            plans = int(re.findall(r" plans=([0-9]+)", text)[-1])  # who wrote most of them was it for longest
            if plans > most:
                planner, most = all_[-1], plans
    return (sum(all_) / len(all_) if all_ else None), planner


def figures(name, run, findings):
    rule = run["fleet"]["budgets"][0]
    began = run["began"]
    spans, change = PLAN[name]
    first = {}
    for a in run["arrived"]:
        first[a["id"]] = min(first.get(a["id"], a["first_byte"]), a["first_byte"])
    asked = sorted((a["intended"] - began, a["node"]) for a in run["asked"])
    # A request is taken when it was sent: what it waited behind on this machine moves nothing.
    real = sorted(a["intended"] - began for a in run["asked"] if a["id"] in first)
    away = AWAY.get(name)
    ways = {"fleet": real, "by count": by_count(asked, run, rule, away), "none": [at for at, _ in asked]}
    out = {}
    for way, times in ways.items():
        row = {span: sum(a <= t < b for t in times) / (rule["whole"] * (b - a) / 1000) for span, a, b in spans}
        if way == "fleet":
            row["over"] = findings
            if name == "killed":
                row["divided after s"] = until_divided(times, change, rule["whole"])
        else:
            row["over"] = most_over(times, rule["whole"], rule["burst"])
        out[way] = row
    started = [e["at"] - began for e in run["nodes"] if e["what"] == STARTED]
    if name == "joined":
        new = {7: None, 8: None, 9: None}
        for a in run["asked"]:
            if a["node"] in new and a["id"] in first:
                at = a["intended"] - began
                new[a["node"]] = min(at, new[a["node"]] or at)
        born = {e["node"]: e["at"] - began for e in run["nodes"] if e["what"] == STARTED}
        gaps = [(at - born[n]) / 1000 for n, at in new.items() if at is not None]
        out["fleet"]["first let through after s"] = max(gaps) if len(gaps) == 3 else None
    elif name == "calm" and real:
        busy = [t for t in range(0, 20000, 50) if sum(t <= x < t + 1000 for x in real) >= 0.85 * rule["whole"]]
        out["fleet"]["from start until divided s"] = (busy[0] - min(started)) / 1000 if busy else None
    return out


def play(options, name, seed, out):
    records = out / f"{name}-{seed}.json"
    command = [str(options.build / "shorelead_lab"), "run", str(HERE / f"{name}.toml"), "--quiet", "--seed", str(seed),
               "--records", str(records), "--folder", str(out / f"{name}-{seed}"),
               # What is sent late is still counted: only sums are judged here.
               "--late-p99", "1000", "--late-worst", "10000"]
    if options.node:
        command += ["--node", options.node]
    said = out / f"{name}-{seed}.txt"
    if not records.exists():  # what was played into that folder before is read again
        done = subprocess.run(command, capture_output=True, text=True)
        said.write_text(done.stdout)
        if not records.exists():
            sys.exit(f"{name}: not played: {done.stderr.strip()[-300:]}")
    findings = sum(line.strip().startswith("rule F1,") for line in said.read_text().splitlines())
    found = figures(name, json.loads(records.read_text())["run"], findings)
    found["fleet"]["store calls/s"], found["fleet"]["planner's"] = calls_a_second(out / f"{name}-{seed}")
    return found


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--repeat", type=int, default=3)
    parser.add_argument("--build", type=pathlib.Path, default=HERE.parents[3] / "build")
    parser.add_argument("--node", default=None, help="the program under test, if not the build's")
    parser.add_argument("--out", type=pathlib.Path, default=None)
    parser.add_argument("names", nargs="*", default=list(PLAN))
    options = parser.parse_args()
    out = options.out or pathlib.Path(tempfile.mkdtemp())
    out.mkdir(parents=True, exist_ok=True)
    for name in options.names or PLAN:
        runs = [play(options, name, 1000 * (n + 1) + 7, out) for n in range(options.repeat)]
        for way in ("fleet", "by count", "none"):
            cells = []
            for what in runs[0][way]:
                values = [r[way][what] for r in runs if r[way][what] is not None]
                missing = "" if len(values) == len(runs) else f" ({len(runs) - len(values)} never)"
                cells.append(f"{what} never" if not values else
                             f"{what} {sum(values) / len(values):.2f} [{min(values):.2f}, {max(values):.2f}]{missing}")
            print(f"{name:11} {way:9} " + " | ".join(cells), flush=True)
    print("records:", out)


if __name__ == "__main__":
    main()
