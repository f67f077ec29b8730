#!/usr/bin/env python3
"""Requests a second and the node's CPU time a request, with the blocks fleet, budget and plan in its file beside
without them: both at once, on the same cores, so that whatever else the machine does meets the two alike; some pairs,
the one or the other started first. Plays fleet_bench (boxes and clients are stand-ins on loopback, clients a closed loop) before a
stand-in store. Prints each pair and the ratios with their spread. No budget binds and nothing is turned away.
  bench/fleet/on_off.py [--pairs N] [--seconds S] [--clients N] [--build FOLDER]
"""
import argparse, os, statistics, subprocess, tempfile, time

HERE = os.path.dirname(os.path.abspath(__file__))
# What fleet_bench starts as the node: it puts the program's own form in place of the platform's configuration.
NODE = """#!/usr/bin/env python3
import json, os, sys
told = json.load(open(sys.argv[sys.argv.index("--config") + 1]))
shore = os.environ["ON_OFF_SHORE"]
text = open(shore).read().replace("@listen@", told["listen"]).replace("@discovery@", told["discovery"])
own = shore.replace(".shore", "." + str(os.getpid()) + ".shore")
open(own, "w").write(text)
os.execv(os.environ["ON_OFF_NODE"], [os.environ["ON_OFF_NODE"], "serve", "--config", own])
"""
BASE = """node n1 { listen @listen@; seed 1f; zone a; sockets 4096 }
class look { effect safe; aim 400 ms; give_up 1 s }
pool main { list watched; discovery @discovery@; attempts 3; connect_within 200 ms; idle 60 s; zones a b c }
"""
SHARED = """fleet { store @store@; prefix "/fleet/"; processes 2; lease 5 s; client X-Request-ID }
budget all { kind rate; rate 10000000 rps; burst 2000000 }
budget under_way { kind at_once; most 4000 }
budget again { kind attempts; few 1000; ratio 10 %; window 2 s; pool main }
plan gold { rank 1; tenants gold }
plan usual { rank 2; default yes }
"""


def play(bench, node, envs, order, options):
    words = [bench, "--node", node, "--boxes", "8", "--clients", str(options.clients), "--seconds", str(options.seconds),
             "--warm-up", "8"]
    started = {}
    for name in order:
        started[name] = subprocess.Popen(words, env=envs[name], stdout=subprocess.PIPE, text=True)
        time.sleep(0.7)  # each takes a free port, and gives it to its node
    got = {}
    for name, process in started.items():
        cells = [cell.strip() for cell in process.communicate()[0].splitlines()[-1].strip("|").split("|")]
        got[name] = float(cells[2]), float(cells[3]), int(cells[6]), int(cells[7])
    return got


def spread(name, ratios):
    quarter = statistics.quantiles(ratios, n=4) if len(ratios) > 1 else [ratios[0]] * 3
    print(f"{name}: median {statistics.median(ratios):.3f}, middle half {quarter[0]:.3f} to {quarter[2]:.3f}, "
          f"all {min(ratios):.3f} to {max(ratios):.3f} ({len(ratios)} pairs)")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--pairs", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--clients", type=int, default=32)
    parser.add_argument("--build", default=os.path.join(HERE, "..", "..", "build"))
    options = parser.parse_args()
    build = os.path.abspath(options.build)
    bench = os.path.join(build, "bench", "fleet", "fleet_bench")
    control = os.path.join(build, "bench", "fleet_control", "fleet_control_bench")
    with tempfile.TemporaryDirectory() as folder:
        node = os.path.join(folder, "node")
        with open(node, "w") as out:
            out.write(NODE)
        os.chmod(node, 0o700)
        store = subprocess.Popen([control, "--serve"], stdout=subprocess.PIPE, text=True)
        try:
            dial = store.stdout.readline().strip()
            texts = {"off": BASE, "on": BASE + SHARED.replace("@store@", dial)}
            envs = {}
            for name, text in texts.items():
                path = os.path.join(folder, name + ".shore")
                with open(path, "w") as out:
                    out.write(text)
                envs[name] = dict(os.environ, ON_OFF_SHORE=path, ON_OFF_NODE=os.path.join(build, "shorelead"))
            rates, cpus = [], []
            print("| pair | off: requests/s, CPU us | on: requests/s, CPU us | refused, failed with it on |")
            print("| --- | --- | --- | --- |")
            for pair in range(options.pairs):
                order = ("off", "on") if pair % 2 == 0 else ("on", "off")  # one ends a little later, and is alone then
                got = play(bench, node, envs, order, options)
                off, on = got["off"], got["on"]
                if 0 in off[:2] or 0 in on[:2]:
                    print(f"| {pair + 1} | not played |")
                    continue
                print(f"| {pair + 1} | {off[0]:.0f}, {off[1]:.1f} | {on[0]:.0f}, {on[1]:.1f} | {on[2]}, {on[3]} |",
                      flush=True)
                rates.append(on[0] / off[0])
                cpus.append(on[1] / off[1])
            spread("requests a second, on over off", rates)
            spread("CPU a request, on over off", cpus)
        finally:
            store.terminate()
            store.wait()


if __name__ == "__main__":
    main()
