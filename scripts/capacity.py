#!/usr/bin/env python3
"""Turns measurements into docs/capacity/slopes.csv and that into docs/CAPACITY.md.

capacity.py benchmark NAME   Google Benchmark JSON on stdin -> rows
capacity.py control          measure-control rows on stdin -> rows
capacity.py rates            measure-rates rows on stdin -> rows
capacity.py page             fill docs/CAPACITY.md and docs/PERFORMANCE.md from their templates
capacity.py plot             gnuplot commands for docs/capacity/slopes.png
"""
import csv
import json
import math
import os
import re
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SLOPES = f"{ROOT}/docs/capacity/slopes.csv"
PAGES = ("CAPACITY", "PERFORMANCE")

UNITS = {"ns": 1.0, "us": 1e3, "ms": 1e6, "s": 1e9}


STANDARD_FIELDS = {"real_time", "cpu_time", "iterations", "items_per_second", "threads",
                   "repetitions", "repetition_index", "family_index", "per_family_instance_index"}


def convert_benchmark(name):
    """Rows of cpu time in ns and of counters; the first number of a benchmark's name is its size."""
    for run in json.load(sys.stdin)["benchmarks"]:
        label = run["name"]
        numbers = re.findall(r"\d+", label)
        size = numbers[0] if numbers else "1"
        key = re.sub(r"[/:]+", "_", label)
        key = re.sub(rf"(?<!\d){size}(?!\d)", "N", key, count=1) if numbers else key
        print(f"{name}_{key},{size},{run['cpu_time'] * UNITS[run['time_unit']]:.6g},ns")
        for counter, value in run.items():
            if isinstance(value, (int, float)) and counter not in STANDARD_FIELDS:
                print(f"{name}_{key}_{counter},{size},{value:.6g},count")


def convert_control():
    for line in sys.stdin:
        scenario, policy, metric, value, unit = line.strip().split(",")
        match = re.match(r"(control-.*)-(\d+)vms$", scenario)
        if policy == "teaseldrift" and match:
            print(f"{match[1]}_{metric},{match[2]},{value},{unit}")


def convert_rates():
    for line in sys.stdin:
        scenario, policy, metric, value, unit = line.strip().split(",")
        if policy == "teaseldrift":
            print(f"{scenario}_{metric},6,{value},{unit}")


def load():
    table = {}
    with open(SLOPES) as file:
        for row in csv.DictReader(file):
            table.setdefault(row["name"], {})[float(row["size"])] = float(row["value"])
    return table


class Figures:
    """What expressions in the template may use."""

    def __init__(self, table):
        self.table = table

    def at(self, name, size=None):
        """The measured value at a size; the only one if no size is given."""
        points = self.table[name]
        return points[float(size)] if size is not None else next(iter(points.values()))

    def largest(self, name):
        points = self.table[name]
        return points[max(points)]

    def line(self, name, size):
        """Least-squares line through the measured points, read at `size`."""
        points = self.table[name]
        if len(points) == 1:
            return next(iter(points.values()))
        mean_x = sum(points) / len(points)
        mean_y = sum(points.values()) / len(points)
        spread = sum((x - mean_x) ** 2 for x in points)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in points.items()) / spread
        return mean_y + slope * (size - mean_x)

    def log_line(self, name, size):
        """The same over the logarithm of the size, for quantities that grow with its digits."""
        logs = Figures({name: {math.log(x): y for x, y in self.table[name].items()}})
        return logs.line(name, math.log(size))


def shown(value):
    if isinstance(value, str):
        return value
    if value == 0:
        return "0"
    digits = max(0, 2 - int(math.floor(math.log10(abs(value)))))
    return f"{value:,.{min(digits, 4)}f}"


def fill_page(page):
    figures = Figures(load())
    names = {name: getattr(figures, name) for name in ("at", "largest", "line", "log_line")}
    names.update({"max": max, "min": min, "round": round, "math": math})
    template = open(f"{ROOT}/docs/capacity/{page}.md.in").read()

    def define(match):
        names[match[1]] = eval(match[2], {"__builtins__": {}}, names)
        return ""

    text = re.sub(r"^\{%\s*(\w+)\s*=\s*(.*?)\s*%\}\n", define, template, flags=re.M)
    text = re.sub(r"\{\{(.*?)\}\}",
                  lambda match: shown(eval(match[1], {"__builtins__": {}}, names)), text)
    open(f"{ROOT}/docs/{page}.md", "w").write(text)


def print_plot():
    table = load()
    chosen = [name for name in ("control-change-each-second_bytes_per_vm",
                                "control-rest_bytes_per_vm",
                                "control-store-down_bytes_per_vm") if name in table]
    print("set terminal pngcairo size 900,500")
    print(f"set output '{ROOT}/docs/capacity/slopes.png'")
    print("set logscale x; set xlabel 'VMs in a region'; set ylabel 'bytes/s per VM'")
    print("set yrange [0:3000]; set key left top; set grid")
    print("plot " + ", ".join(
        f"'-' with linespoints title '{name.replace('_', ' ')}'" for name in chosen))
    for name in chosen:
        for size, value in sorted(table[name].items()):
            print(size, value)
        print("e")


def main():
    command = sys.argv[1]
    if command == "benchmark":
        convert_benchmark(sys.argv[2])
    elif command == "control":
        convert_control()
    elif command == "rates":
        convert_rates()
    elif command == "page":
        for page in PAGES:
            fill_page(page)
    elif command == "plot":
        print_plot()
    else:
        sys.exit(__doc__)


if __name__ == "__main__":
    main()
