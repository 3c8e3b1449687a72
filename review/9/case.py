"""Entries of another writer name listed back ends, without some fields, and go away again."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))
from deployment import Deployment  # pylint: disable=wrong-import-position

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONFIG_APPLY_S = 3.0
LISTED_S = 4.0
STEADY_S = 20.0
REQUESTS = 48


def main():
    with Deployment(os.path.join(HERE, "record.txt"), machines=6, with_disk=4) as it:
        for number in (1, 2):
            it.add_back_end(f"i-order-{number}", "order-book", number)
        freight = [it.add_back_end(f"i-freight-{number}", "freight-notes", 10 + number)
                   for number in (1, 2)]
        it.start_list()
        it.start_all(first_start=True)
        if it.replace_configuration(it.configuration(1), 30.0) != 200 or not it.wait_ready():
            return 2
        later = it.route("r-freight", service="freight-notes")
        later["path_prefix"] = "/freight/"
        if it.replace_configuration(it.configuration(2, [it.route(), later]), 30.0) != 200:
            return 2
        time.sleep(CONFIG_APPLY_S + 1.0)
        before = it.send_requests(REQUESTS, "before", path="/freight/")
        if TROUBLE:
            it.other_entries = [{"id": one.id, "service": one.service,
                                 "address": one.address, "zone": one.zone,
                                 "state": "ready"} for one in freight]
        it.note("entries_of_another_writer", entries=len(it.other_entries))
        time.sleep(LISTED_S)
        it.other_entries = []
        it.note("entries_of_another_writer", entries=0)
        # Calm from here on.
        time.sleep(STEADY_S)
        first = it.send_requests(REQUESTS, "first")
        added = it.send_requests(REQUESTS, "added", path="/freight/")
        text = (f"before={before}/{REQUESTS} first_route={first}/{REQUESTS} "
                f"route_added_later={added}/{REQUESTS}")
        it.note("end", result=text)
        print(text)
        if before < REQUESTS or first < REQUESTS or it.ended_processes():
            return 2
        return 1 if added * 4 < first else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (OSError, RuntimeError, KeyError, ValueError) as error:
        print(f"the case could not run: {error}")
        sys.exit(2)
