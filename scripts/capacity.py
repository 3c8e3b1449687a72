"""Fits the figures of the capacity probe against the number of VMs.

Usage: capacity.py <probe binary>. Runs the probe at four sizes with 6.25 targets per VM,
fits value = a + b * VMs by least squares, and prints for the size of R30
"name value unit  residual R%": the fitted value and the largest distance of a measured
value from the line, in percent of the fitted value. "not linear" is added where that is
more than LINEAR_PERCENT; the figure measured at the size of R30 is printed beside it.
"""

import subprocess
import sys

SIZES = [(90, 562), (180, 1125), (360, 2250), (720, 4500)]
LINEAR_PERCENT = 10


def measure(probe, vms, targets):
    command = [probe, "--vms", str(vms), "--targets", str(targets)]
    output = subprocess.run(command, check=True, capture_output=True, text=True).stdout
    rows = (line.split() for line in output.splitlines())
    return {name: (float(value), unit) for name, value, unit in rows}


def fit(sizes, values):
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = sum((size - mean_size) * (value - mean_value)
                for size, value in zip(sizes, values)) / spread
    return mean_value - slope * mean_size, slope


def report(name, unit, values):
    sizes = [vms for vms, _ in SIZES]
    start, slope = fit(sizes, values)
    fitted = start + slope * sizes[-1]
    distance = max(abs(value - start - slope * size) for size, value in zip(sizes, values))
    percent = 100 * distance / abs(fitted) if fitted else 0.0
    line = f"{name} {fitted:.3f} {unit}  residual {percent:.1f}%"
    if percent > LINEAR_PERCENT:
        measured = " ".join(f"{value:.3f}" for value in values)
        line += f"  not linear; measured {measured}"
    return line


def main():
    runs = [measure(sys.argv[1], vms, targets) for vms, targets in SIZES]
    for name, (_, unit) in runs[-1].items():
        print(report(name, unit, [run[name][0] for run in runs]))


if __name__ == "__main__":
    main()
