"""A machine that lost its disk can't come back to the log while its seeds are down; then the
final fault takes the one disk that the deployment may lose."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))
from deployment import Deployment  # pylint: disable=wrong-import-position

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CATCH_UP_S = 4.0
CONTACT_S = 4.0
RECOVERY_S = 12.0
WITHOUT_DISK = ("vm-5", "vm-6", "vm-7")


def main():
    with Deployment(os.path.join(HERE, "record.txt"), machines=8, with_disk=4) as it:
        for number in (1, 2, 3):
            it.add_back_end(f"i-order-{number}", "order-book", number)
        it.start_list()
        it.start_all(first_start=True)
        if it.replace_configuration(it.configuration(1), 30.0) != 200 or not it.wait_ready():
            return 2
        # All machines are new for this long.
        time.sleep(CATCH_UP_S + 4.0)
        before = it.send_requests(16, "before")
        # Machines without a disk are lost, any number of which may be.
        if TROUBLE:
            for machine in WITHOUT_DISK:
                it.kill(machine, "core")
                it.kill(machine, "front")
        # vm-4 loses its disk and is back at once. The operator's list, from which its
        # settings file is written, lags by seed_lag_s and still names those three.
        it.kill("vm-4", "core")
        it.lose_disk("vm-4")
        it.seeds = list(WITHOUT_DISK)
        it.start("vm-4", "core")
        back = time.monotonic()
        # From here on vm-4 is not lost any more; the next disk may be lost.
        time.sleep(max(0.0, back + CATCH_UP_S + 1.0 - time.monotonic()))
        acknowledged = it.replace_configuration(it.configuration(2), 5.0)
        if acknowledged != 200:
            return 2
        # The final fault, right after the acknowledgement: one machine loses its disk,
        # and all others lose power.
        for machine in it.machines:
            for role in ("core", "front"):
                if it.processes[f"{machine}-{role}"].poll() is None:
                    it.kill(machine, role)
        it.lose_disk("vm-1")
        time.sleep(1.0)
        it.seeds = ["vm-2", "vm-5", "vm-6"]
        for machine in it.machines:
            for role in ("core", "front"):
                it.start(machine, role)
        time.sleep(RECOVERY_S + CONTACT_S)
        version = it.read_configuration(20.0)
        after = it.send_requests(16, "after")
        text = (f"acknowledged=2 read_back={version} served_before={before}/16 "
                f"served_after={after}/16 ready={it.ready()}/8 ended={it.ended_processes()}")
        it.note("end", result=text)
        print(text)
        if before < 16 or it.ended_processes():
            return 2
        return 1 if version != 2 else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception as error:  # pylint: disable=broad-exception-caught
        print(f"the case could not run: {error}")
        sys.exit(2)
