"""The last tenant is taken out of the configuration."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))
from deployment import Deployment  # pylint: disable=wrong-import-position

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

CONFIG_APPLY_S = 3.0
REVOCATION_S = 5.0
TENANT_A = {"name": "carvers", "api_keys": ["key-of-carvers"]}
TENANT_B = {"name": "bandmasters", "api_keys": ["key-of-bandmasters"]}


def main():
    with Deployment(os.path.join(HERE, "record.txt"), machines=6, with_disk=4) as it:
        it.more_settings = "bounds.strict_revocation=true\nbounds.revocation_ms=5000\n"
        for number in (1, 2, 3):
            it.add_back_end(f"i-order-{number}", "order-book", number)
        it.start_list()
        it.start_all(first_start=True)
        first = it.configuration(1, tenants=[TENANT_A])
        if it.replace_configuration(first, 30.0) != 200 or not it.wait_ready():
            return 2
        time.sleep(CONFIG_APPLY_S)
        known = it.send_requests(12, "known", {"Key": "key-of-carvers"})
        unknown = it.send_requests(12, "unknown", {"Key": "never-held"})
        if known < 12 or unknown > 0 or it.runs_of("unknown"):
            return 2
        # The key of the only tenant is taken away; without the trouble another one stays.
        tenants = [] if TROUBLE else [TENANT_B]
        if it.replace_configuration(it.configuration(2, tenants=tenants), 30.0) != 200:
            return 2
        time.sleep(REVOCATION_S + 1.0)
        it.send_requests(12, "revoked", {"Key": "key-of-carvers"})
        it.send_requests(12, "never", {"Key": "never-held", "Tenant": "bandmasters"})
        version = it.read_configuration(8.0)
        revoked, never = it.runs_of("revoked"), it.runs_of("never")
        passed_on = [one for one in revoked + never if one["key"] is not None]
        named = [one for one in never if one["tenant"] is not None]
        text = (f"in_force={version} ran_with_revoked_key={len(revoked)}/12 "
                f"ran_with_key_never_held={len(never)}/12 keys_passed_on={len(passed_on)} "
                f"tenant_of_the_client_passed_on={len(named)}")
        it.note("end", result=text)
        print(text)
        if version != 2 or it.ended_processes():
            return 2
        return 1 if revoked or never else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception as error:  # pylint: disable=broad-exception-caught
        print(f"the case could not run: {error}")
        sys.exit(2)

