package io.pepperfield.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's view of whether each controller hears the workers of its partition. One that other
 * controllers reach and its workers do not would have them sent home to it again and again, each
 * time with a pause of seconds and no orders.
 */
public final class Reachability {

    private static final Logger LOG = LoggerFactory.getLogger(Reachability.class);

    /** So many strays of one partition at once are no accident of theirs. */
    private static final int SEVERAL = 2;

    /**
     * Periods until a controller's workers have found it: a period at another one, then home, with
     * its patience between.
     */
    private static final double PERIODS = 3;

    /** Each new failure doubles the time without a partition, up to so many leases. */
    private static final int LONGEST = 8;

    /** How well one controller hears the workers of its partition. */
    private static final class Owner {
        double ownsSince = Double.NaN;
        double heardAt = Double.NEGATIVE_INFINITY;
        double deafUntil = Double.NEGATIVE_INFINITY;
        double penalty;
        final Map<String, Stray> strays = new HashMap<>();
    }

    /** A machine that reports elsewhere, since when and until when. */
    private record Stray(double since, double at) {}

    private final double reportS;
    private final double leaseS;
    private final Map<String, Owner> owners = new HashMap<>();

    /** Creates an empty view; both intervals are in seconds. */
    public Reachability(double reportS, double leaseS) {
        this.reportS = reportS;
        this.leaseS = leaseS;
    }

    /** A report of a machine in that owner's partition came through a controller. */
    public void report(String machine, String owner, String through, double now) {
        if (owner.isEmpty()) {
            return;
        }
        Owner its = owners.computeIfAbsent(owner, o -> new Owner());
        if (owner.equals(through)) {
            its.heardAt = now;
            its.strays.remove(machine);
        } else {
            its.strays.merge(
                    machine, new Stray(now, now), (known, news) -> new Stray(known.since, now));
        }
    }

    /**
     * Of the live controllers those that are to have a partition; all of them where none would be
     * left.
     */
    public Set<String> owners(Set<String> live, double now) {
        Set<String> hearing = new TreeSet<>();
        for (String node : live) {
            Owner owner = owners.computeIfAbsent(node, o -> new Owner());
            if (owner.deafUntil > now) {
                continue;
            }
            if (Double.isNaN(owner.ownsSince)) {
                owner.ownsSince = now;
            }
            if (isDeaf(owner, now)) {
                owner.penalty = Math.min(LONGEST, Math.max(1, 2 * owner.penalty));
                owner.deafUntil = now + owner.penalty * leaseS;
                owner.ownsSince = Double.NaN;
                LOG.warn(
                        "{} hears no worker of its partition while others do: they take it for {} s",
                        node,
                        Math.round(owner.penalty * leaseS));
                owner.strays.clear();
            } else {
                if (owner.heardAt > owner.ownsSince && now - owner.ownsSince > LONGEST * leaseS) {
                    owner.penalty = 0;
                }
                hearing.add(node);
            }
        }
        owners.forEach(
                (node, owner) -> {
                    if (!live.contains(node)) {
                        // It begins anew when it is back: its workers need their time to find it.
                        owner.ownsSince = Double.NaN;
                        owner.strays.clear();
                    }
                });
        return hearing.isEmpty() ? live : hearing;
    }

    /** Whether that controller is without a partition for not hearing its workers. */
    public boolean deaf(String node, double now) {
        Owner owner = owners.get(node);
        return owner != null && owner.deafUntil > now;
    }

    /**
     * The workers are refused everywhere for now: until that is over, where they turn up tells
     * nothing.
     */
    public void paused() {
        owners.values()
                .forEach(
                        owner -> {
                            owner.ownsSince = Double.NaN;
                            owner.strays.clear();
                        });
    }

    private boolean isDeaf(Owner owner, double now) {
        // A stray spends most of its time waiting for an answer at home; it is seen elsewhere once
        // in a while.
        owner.strays.values().removeIf(stray -> now - stray.at > leaseS);
        // New machines turn up anywhere and are sent home after a period: until then an owner that
        // had none before has
        // heard nobody for long, and is not deaf for it.
        double firstStray =
                owner.strays.values().stream().mapToDouble(Stray::since).min().orElse(now);
        if (now - Math.max(Math.max(owner.ownsSince, owner.heardAt), firstStray - reportS / 2)
                <= PERIODS * reportS) {
            return false;
        }
        // On a small site a partition may be a single machine: it tells as much if it has strayed
        // for a while.
        return owner.strays.size() >= SEVERAL
                || owner.strays.values().stream()
                        .anyMatch(stray -> stray.at - stray.since > leaseS);
    }
}
