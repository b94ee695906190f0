#!/usr/bin/env python3
"""Counts across a fleet from its nodes' records: what came in, how it ended and why, by span of time and by tier.

Use: fleet_table.py DIR [--span SECONDS] [--servers]. DIR holds one log or records file a node, lines of records among
others (a node writes them to its log with records.path = "/dev/stderr").
"""
import argparse
import collections
import json
import pathlib
import statistics


def facts(folder):
    for path in sorted(pathlib.Path(folder).iterdir()):
        for line in path.open(errors="replace"):
            at = line.find('{"fact":"')
            if at < 0:
                continue
            try:
                yield json.loads(line[at:])
            except ValueError:
                continue  # half a line: its node was killed


def main():
    ask = argparse.ArgumentParser()
    ask.add_argument("folder")
    ask.add_argument("--span", type=float, default=5)
    ask.add_argument("--servers", action="store_true")
    said = ask.parse_args()

    read = sorted(facts(said.folder), key=lambda f: f["steady"])
    if not read:
        raise SystemExit("no records in " + said.folder)
    begin = read[0]["steady"]
    tier = {}  # by node; also the kind of name that it and its servers share
    zone, first_seen = {}, {}
    counts = collections.defaultdict(collections.Counter)
    took = collections.defaultdict(list)
    by_server = collections.defaultdict(collections.Counter)
    open_at = {}
    told = collections.defaultdict(list)
    for f in read:
        node, kind = f["node"], f["fact"]
        span = int((f["steady"] - begin) / 1e6 / said.span)
        if kind == "started":
            tier[node] = f["tier"]
        here = (tier.get(node, -1), span)
        c = counts[here]
        if kind == "taken":
            c["taken"] += 1
        elif kind == "answered":
            c[f["how"] + ("." + f["text"] if f.get("text") else "")] += 1
        elif kind == "left":
            c["left"] += 1
        elif kind == "posted":
            c["postings"] += 1
            if f["posting"] > 0:
                c["further"] += 1
            open_at[(node, f["txn"], f["posting"])] = f["server"]
            by_server[(here[0], f["server"])][span] += 1
        elif kind == "posting_ended":
            c["ended " + f["how"]] += 1
            server = open_at.pop((node, f["txn"], f["posting"]), None)
            if f["how"] == "settled":
                took[here].append(f["time"] / 1000)
                took[(here[0], span, server)].append(f["time"] / 1000)
            elif server:
                by_server[(here[0], server)][(span, f["how"])] += 1
        elif kind == "listed":
            zone[f["server"]] = f["text"] or zone.get(f["server"], "")
            first_seen.setdefault(f["server"], (f["steady"] - begin) / 1e6)
            told[(here[0], f["server"], f["how"])].append((f["steady"] - begin) / 1e6)

    for key in sorted(counts):
        c, times = counts[key], sorted(took[key])
        p = ["%.0f" % (times[int(len(times) * q)]) if times else "-" for q in (0.5, 0.99)]
        print(f"tier {key[0]}  {key[1] * said.span:6.1f} s  p50 {p[0]} p99 {p[1]} ms  " +
              "  ".join(f"{name} {n}" for name, n in sorted(c.items())))
    print("\nwhat a server is told to be, and when the first, the middle and the last of the nodes heard")
    for key, times in sorted(told.items(), key=lambda e: (e[0][0], min(e[1]))):
        if min(times) > 0.5:
            print(f"tier {key[0]}  {key[1]} {zone[key[1]]} {key[2]}: {min(times):.2f} {statistics.median(times):.2f} "
                  f"{max(times):.2f} s, {len(times)} nodes")
    if said.servers:
        print("\npostings at each server by span, with p50 of the settled, and ends that were not")
        for (t, server), c in sorted(by_server.items(), key=lambda e: (e[0][0], zone.get(e[0][1], ""), e[0][1])):
            spans = sorted({s if isinstance(s, int) else s[0] for s in c})
            cells = []
            for s in spans:
                times = took[(t, s, server)]
                bad = " ".join(f"{how}:{n}" for (at, how), n in
                               ((k, v) for k, v in c.items() if isinstance(k, tuple)) if at == s)
                cells.append(f"{s * said.span:g}s {c[s]}/{statistics.median(times):.0f}" if times else f"{s * said.span:g}s {c[s]}/-")
                cells[-1] += f" ({bad})" if bad else ""
            print(f"tier {t}  {server} {zone.get(server, '')} since {first_seen.get(server, 0):.1f}: " + ", ".join(cells))


main()
