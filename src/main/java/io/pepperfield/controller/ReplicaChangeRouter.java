package io.pepperfield.controller;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.cloud.MachineTypesCodec;
import io.pepperfield.cluster.MachineTypes;
import io.pepperfield.jobs.JobCodec;
import io.pepperfield.jobs.JobIndex;
import io.pepperfield.jobs.Status;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.peer.HeartbeatForwarder;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import java.util.List;

/**
 * Routes each change of the replica to the components that handle it, and notifies the leader of
 * changed jobs. Confined to the event loop.
 */
final class ReplicaChangeRouter implements Replica.Listener {

    private final Replica replica;
    private final StoredStateCompatibility compatibility;
    private final Leadership leadership;
    private final HeartbeatForwarder heartbeatForwarder;
    private final MachineTypes machineTypes;
    private final JobIndex jobIndex;
    private final CurrentLeader currentLeader;

    ReplicaChangeRouter(
            Replica replica,
            StoredStateCompatibility compatibility,
            Leadership leadership,
            HeartbeatForwarder heartbeatForwarder,
            MachineTypes machineTypes,
            JobIndex jobIndex,
            CurrentLeader currentLeader) {
        this.replica = replica;
        this.compatibility = compatibility;
        this.leadership = leadership;
        this.heartbeatForwarder = heartbeatForwarder;
        this.machineTypes = machineTypes;
        this.jobIndex = jobIndex;
        this.currentLeader = currentLeader;
    }

    @Override
    public void changed(String key, JsonNode value, long modRevision) {
        if (key.equals(Keys.LEADER)) {
            leaderKeyChanged(value, modRevision);
        } else if (key.startsWith(Keys.ROLLOUT_PREFIX)) {
            compatibility.replicaChanged(key, value, modRevision);
        } else {
            stateChanged(key, value);
        }
    }

    private void leaderKeyChanged(JsonNode value, long modRevision) {
        leadership.leaderKeyChanged(value, modRevision);
        if (!leadership.leaderNode().isEmpty()) {
            heartbeatForwarder.setLeader(leadership.leaderNode());
        }
    }

    private void stateChanged(String key, JsonNode value) {
        if (key.equals(Keys.MACHINE_TYPES) && value != null && !machineTypes.isLoaded()) {
            machineTypes.update(MachineTypesCodec.decode(value));
        }
        jobIndex.applyChange(key, value);
        compactReplica(key);
        if (key.startsWith(Keys.JOB_PREFIX) || key.startsWith(Keys.FINAL_STATE_PREFIX)) {
            notifyLeader(key.substring(key.lastIndexOf('/') + 1));
        }
    }

    /**
     * Drops the values of job specifications and run records from the replica, which then keeps
     * only the revisions of their keys. The job index holds them in a compact form, run records
     * only while they are relevant.
     */
    private void compactReplica(String key) {
        if (key.startsWith(Keys.JOB_PREFIX)
                || key.startsWith(Keys.RUN_RECORD_PREFIX)
                || key.startsWith(Keys.SHARED_RUN_RECORD_PREFIX)) {
            replica.discardValue(key);
        }
    }

    /**
     * Marks a job as cancelled after another controller has confirmed the cancellation to a user.
     * The cancellation is durable by then, and is applied without waiting for the store.
     */
    void cancelledByPeer(String jobId) {
        jobIndex.applyChange(
                Keys.FINAL_STATE_PREFIX + jobId, JobCodec.encodeFinalStatus(Status.CANCELLED));
        notifyLeader(jobId);
    }

    /** Notifies the leader of the changed job and of the jobs that depend on it. */
    private void notifyLeader(String jobId) {
        List<String> affectedJobs = jobIndex.drainAffectedJobs();
        if (currentLeader.isPresent()) {
            Leader leader = currentLeader.get().get();
            leader.jobChanged(jobId);
            affectedJobs.forEach(leader::jobChanged);
        }
    }
}
