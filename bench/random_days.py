#!/usr/bin/env python3
"""Writes days of faults on the disks and the membership of the core.

usage: random_days.py [--profile mixed|late|members|disks|catch-up] SEED FILE

The same profile and seed give the same day. The profile "late" puts most faults
into the last seconds of the traffic, so that the final fault meets a membership
change, a snapshot or a store in recovery; "members" draws replaced and
cut-off core VMs only; "disks" draws faults of disks only; "catch-up" delays a
member that has lost its disk until the final fault.
"""
import argparse
import random

CUT_FORMS = ["", "behind", "split", "all", "near", "oldest", "one_way", "seeds", "both", "lure",
             "relieve", "leader", "leader race", "leader meet", "leader one_way", "follower"]
KILL_FORMS = ["", "power", "power oldest", "power follower", "power follower wipe", "power leader",
              "power leader hard", "leader race drain", "meet drain", "power turn"]
FREEZE_FORMS = ["", "leader", "renewed", "giver", "reader", "follower", "renewed race hard"]
ACK_FORMS = ["", "kill", "timed", "taken", "taken gone"]
CONFIG_FORMS = ["route", "weights", "timeout", "tenant", "topup", "idle"]
DISK_KINDS = ["disk_full", "disk_stall", "disk_slow"]

CLOSINGS = [
    ("wipe_after_ack", ["", "timed", "taken", "oldest", "all", "all timed", "all taken", "all oldest",
                        "aimed all synced", "aimed synced", "aimed all", "aimed", "all synced"]),
    ("power_off_all", ["", "taken", "timed"]),
    ("kill_all", ["", "taken", "timed"]),
]


def seconds(rnd, low, high):
    return round(rnd.uniform(low, high), 1)


def core_cut(rnd):
    return dict(kind="core_cut", count=1, for_s=seconds(rnd, 2, 7), how=rnd.choice(CUT_FORMS))


def core_cut_behind(rnd):
    return dict(kind="core_cut", count=1, for_s=seconds(rnd, 3, 6), how="behind")


def node_kill(rnd):
    return dict(kind="node_kill", on="core", count=rnd.choice([1, 1, 1, 2]), for_s=seconds(rnd, 1, 7),
                how=rnd.choice(KILL_FORMS))


def wipe(rnd):
    return dict(kind="after_ack_wipe", for_s=seconds(rnd, 0.5, 4), how=rnd.choice(["", "oldest", "timed", "taken"]))


def after_ack_kill(rnd):
    return dict(kind="after_ack_kill", count=rnd.choice([1, 1, 2]), for_s=seconds(rnd, 1, 4), how=rnd.choice(ACK_FORMS))


def seed_turnover(_rnd):
    return dict(kind="seed_turnover")


def replace_core(rnd):
    return dict(kind="replace_core", x=rnd.choice([0.5, 1.0, 3.0]), how=rnd.choice(["", "oldest", "planned"]))


def disk(rnd):
    kind = rnd.choice(DISK_KINDS)
    entry = dict(kind=kind, count=1, for_s=seconds(rnd, 1, 5), how=rnd.choice(["", "", "leader"]))
    if kind == "disk_slow":
        entry["x"] = rnd.choice([10.0, 30.0, 100.0])
    return entry


def herd_kill(rnd):
    return dict(kind="herd_kill", on="core", share=1.0, for_s=seconds(rnd, 0.6, 5),
                how=rnd.choice(["", "power", "taken", "taken all", "off race drain hard"]))


def reset_conns(rnd):
    return dict(kind="reset_conns", share=rnd.choice([0.3, 1.0]), x=rnd.choice([0.5, 1.0]))


def clock_step(rnd):
    return dict(kind="clock_step", share=rnd.choice([0.3, 1.0]), x=2000.0, for_s=seconds(rnd, 2, 6),
                how=rnd.choice(["back", "ahead"]))


def node_freeze(rnd):
    return dict(kind="node_freeze", on="core", count=1, for_s=seconds(rnd, 1.5, 8), how=rnd.choice(FREEZE_FORMS))


def roll_term(rnd):
    return dict(kind="roll_term", on="core", share=rnd.choice([0.4, 1.0]), gap_s=rnd.choice([1.0, 2.0]),
                how=rnd.choice(["", "leader", "starter", "busy", "remove"]))


def zone_loss(rnd):
    return dict(kind="zone_loss", for_s=seconds(rnd, 1, 4))


def lossy(rnd):
    return dict(kind="lossy", x=0.03, for_s=seconds(rnd, 3, 6))


def config_change(rnd):
    return dict(kind="config_change", how=rnd.choice(CONFIG_FORMS))


def big_config(rnd):
    return dict(kind="big_config", count=rnd.choice([150, 350]))


def node_slow(rnd):
    return dict(kind="node_slow", on="core", count=rnd.choice([1, 2]), x=5.0, for_s=seconds(rnd, 2, 8))


def one_way(rnd):
    return dict(kind="one_way", for_s=seconds(rnd, 2, 6), how=rnd.choice(["", "all", "all in"]))


MEMBERS = [core_cut_behind, core_cut_behind, replace_core, replace_core, wipe, seed_turnover, node_kill, config_change]
DISKS = [disk, disk, disk, wipe, after_ack_kill, config_change]
MIXED = [core_cut, core_cut, core_cut_behind, node_kill, node_kill, wipe, after_ack_kill, seed_turnover, replace_core,
         replace_core, disk, disk, herd_kill, reset_conns, clock_step, node_freeze, roll_term, zone_loss, lossy,
         config_change, config_change]

DISK_LOSSES = [core_cut_behind, replace_core, wipe, wipe]
DELAYS = [disk, disk, disk, lossy, one_way, reset_conns, node_slow, clock_step, big_config, node_freeze, roll_term,
          seed_turnover, zone_loss, config_change, node_kill]


def moments(rnd, profile, length):
    at = 3.0
    result = []
    while at < length:
        result.append(round(at, 1))
        dense = profile == "late" and at > length - 14
        at += rnd.uniform(0.3, 3.0) if dense else rnd.uniform(2.0, 9.0)
    return result


def closing_fault(rnd, kinds):
    kind, forms = rnd.choice(kinds)
    return dict(kind=kind, down_s=rnd.choice([0.5, 0.8, 1.6, 3.0]), how=rnd.choice(forms))


def catch_up_day(rnd):
    """A member that lost its disk catches up slowly when the final fault comes."""
    length = 34
    lost = seconds(rnd, length - 14, length - 3)
    faults = [dict(at=lost, **rnd.choice(DISK_LOSSES)(rnd))]
    for _ in range(rnd.randint(1, 4)):
        faults.append(dict(at=seconds(rnd, lost, length - 0.5), **rnd.choice(DELAYS)(rnd)))
    faults.sort(key=lambda fault: fault["at"])
    return length, closing_fault(rnd, CLOSINGS[:1]), [], faults


def day(profile, seed):
    rnd = random.Random("%s %d" % (profile, seed))
    if profile == "catch-up":
        return catch_up_day(rnd)
    length = rnd.choice([34, 40, 60]) if profile != "late" else rnd.choice([28, 34, 40])
    kinds = {"mixed": MIXED, "late": MIXED, "members": MEMBERS, "disks": DISKS}[profile]
    few = rnd.random() < 0.5
    if few:
        kinds = rnd.sample(kinds, min(4, len(kinds)))
    faults = [dict(at=at, **rnd.choice(kinds)(rnd)) for at in moments(rnd, profile, length)]
    closing = closing_fault(rnd, CLOSINGS[:1] * 3 + CLOSINGS[1:])
    plan = [dict(at=12.0, kind="config_change", how="timeout")]
    return length, closing, plan, faults


def toml(value):
    if isinstance(value, dict):
        return "{ " + ", ".join("%s = %s" % (k, toml(v)) for k, v in value.items()) + " }"
    return '"%s"' % value if isinstance(value, str) else repr(value)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--profile", default="mixed", choices=["mixed", "late", "members", "disks", "catch-up"])
    parser.add_argument("seed", type=int)
    parser.add_argument("file")
    args = parser.parse_args()
    length, closing, plan, faults = day(args.profile, args.seed)
    with open(args.file, "w", encoding="utf-8") as out:
        out.write('name = "%s-%d"\nlength_s = %d\nclosing = %s\n' % (args.profile, args.seed, length, toml(closing)))
        for name, entries in (("plan", plan), ("faults", faults)):
            out.write("%s = [\n%s]\n" % (name, "".join("  %s,\n" % toml(entry) for entry in entries)))


if __name__ == "__main__":
    main()
