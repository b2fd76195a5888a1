#!/usr/bin/env python3
"""Attributes the worth that a day lost to the faults that were in force, and lists the prices.

usage: losses.py REPORT.json...    (of: fleetbench run SITE DAY --report REPORT.json)

The loss of each window of two seconds is shared by the faults that were in force in it or ended up to two seconds before,
in proportion to their weights: a fault that stops daemons weighs most, planned work and changes of the configuration weigh
little. A window with a loss and without a fault is counted as "no fault". The unit is a thousandth of the worth that the
day owed. The attribution is by time alone: the report has no record of single requests.
"""
import json
import re
import sys
from collections import Counter

# Time after the end of a fault for which a loss is attributed to it, in seconds.
AFTER_S = 2.0
# Weights of kinds of faults, by the start of their names; the first match counts.
WEIGHTS = [
    (r"closing", 100),
    (r"herd_kill", 30),
    (r"zone_cut|one_way|bridge_cut|node_cut|node_freeze", 10),
    (r"srv_|node_kill|lossy|platform_down|platform_lost", 5),
    (r"platform_|core_cut|node_slow|cold_return|burst|shift", 3),
    (r"roll_term|release|replace|scale_|evacuate", 1),
    (r"", 0.1),
]


def weight(kind):
    return next(weight for pattern, weight in WEIGHTS if re.match(pattern, kind))


def losses(report):
    """Returns the loss by kind of fault, in shares of the worth that is owed."""
    lost = Counter()
    total = sum(window["n"] for window in report["windows"])
    for window in report["windows"]:
        begin = float(window["name"])
        share = window["n"] * (1 - window["worth"]) / total
        near = [
            re.sub(r" \(.*", "", event["kind"]).strip()
            for event in report["events"]
            if event["at_s"] < begin + 2 and event["to_s"] + AFTER_S > begin
        ]
        weights = Counter({kind: weight(kind) for kind in near})
        if not near:
            lost["no fault"] += share
        for kind, each in weights.items():
            lost[kind] += share * each / sum(weights.values())
    return lost


def main():
    if len(sys.argv) < 2 or sys.argv[1].startswith("-"):
        print(__doc__)
        return 2
    for path in sys.argv[1:]:
        with open(path) as f:
            report = json.load(f)
        lost = losses(report)
        prices = {name: price for name, _, price in report["prices"] if price > 0.0005}
        print(f"{path}: worth {report['G']:.3f}, lost {1000 * sum(lost.values()):.1f}")
        for kind, share in lost.most_common():
            if share > 0.0002:
                print(f"  {1000 * share:6.1f}  {kind}")
        for name, price in sorted(prices.items(), key=lambda one: -one[1]):
            print(f"  {1000 * price:6.1f}  price of {name}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
