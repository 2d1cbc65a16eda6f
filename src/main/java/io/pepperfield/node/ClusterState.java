package io.pepperfield.node;

import io.pepperfield.cloud.Renting;
import io.pepperfield.config.Aims;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Ledger;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.jobs.Job;
import io.pepperfield.loop.Loop;
import io.pepperfield.placement.Room;
import io.pepperfield.placement.Share;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the parts of one leadership share: the jobs, the machines, and what may be alive on them.
 */
record ClusterState(
        Loop loop,
        Settings settings,
        Aims aims,
        MachineTypes types,
        Fleet fleet,
        Ledger ledger,
        Map<String, Job> jobs,
        Renting renting,
        BootTracker boots,
        Latencies passes) {

    double reportS() {
        return settings.deployment().workers().reportS();
    }

    double leaseS() {
        return settings.deployment().workers().leaseS();
    }

    /**
     * A report is due within 1.25 periods; a probe is sent after 1.5 and has half a period for its
     * answer.
     */
    double silentS() {
        return 2.25 * reportS();
    }

    Map<String, Share> shares() {
        Map<String, Share> shares = new HashMap<>();
        settings.deployment()
                .teams()
                .forEach(
                        (name, team) ->
                                shares.put(
                                        name,
                                        new Share(
                                                team,
                                                ledger.cpus(name),
                                                ledger.gpus(name),
                                                ledger.lastingCpus(name),
                                                ledger.lastingGpus(name))));
        return shares;
    }

    /**
     * The machines that may take tasks now; with {@code full} also those that have no room left.
     */
    List<Room> rooms(double now, boolean full) {
        List<Room> rooms = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            MachineType type = types.get(machine.type());
            // What is late, deaf or not yet known to hear this leader gets no work: it could not be
            // told so.
            if (type != null
                    && machine.takesWork(now)
                    && machine.lostFor(now) < 1.5 * reportS()
                    && (full || machine.freeCpus(type) > 0)) {
                rooms.add(
                        new Room(
                                machine.name,
                                machine.type(),
                                machine.zone(),
                                machine.spot(),
                                machine.images(),
                                machine.freeCpus(type),
                                machine.freeGpus(type),
                                machine.freeMemGb(type),
                                machine.beside(type)));
            }
        }
        return rooms;
    }

    /**
     * Seconds run since its last checkpoint or its start, which stopping it at once would throw
     * away.
     */
    static double lostS(Attempt attempt, double now) {
        if (!attempt.running()) {
            return 0;
        }
        double ran = now - attempt.runningSince();
        return attempt.job.spec.saves() ? ran % attempt.job.spec.checkpointEveryS() : ran;
    }
}
